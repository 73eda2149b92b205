/** Importance of a request, decided once for its root request. */

import {z} from 'zod';

/** Importances in the order in which they are shed. */
export const IMPORTANCES = ['background', 'normal', 'high', 'urgent'] as const;

/** Schema of an importance. */
export const importanceSchema = z.enum(IMPORTANCES);

/** Importance of a request. */
export type Importance = z.infer<typeof importanceSchema>;

/**
 * Returns the rank of an importance. Rank 0 is shed first.
 *
 * @example
 * getImportanceRank('urgent'); // 3
 */
export function getImportanceRank(importance: Importance): number {
  return IMPORTANCES.indexOf(importance);
}
