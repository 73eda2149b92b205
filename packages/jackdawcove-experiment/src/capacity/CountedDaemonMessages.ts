/** Messages to the process of a counted daemon. */

import {z} from 'zod';

/** Schema of a message to a counted daemon; the answer is its traffic. */
export const countedDaemonMessageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('readTraffic')}),
  z.object({kind: z.literal('start'), settingsText: z.string()}),
]);

/** A message to a counted daemon. */
export type CountedDaemonMessage = z.infer<typeof countedDaemonMessageSchema>;
