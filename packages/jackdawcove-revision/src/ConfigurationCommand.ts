/** Commands of the replicated state machine. */

import {z} from 'zod';

import {
  configurationChangeSchema,
  voterChangeSchema,
} from './ConfigurationChange.js';

/** Schema of a command: the content of an entry of the replicated log. */
export const configurationCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    acceptedAt: z.number(),
    change: configurationChangeSchema,
    kind: z.literal('change'),
  }),
  z.object({
    acceptedAt: z.number(),
    change: voterChangeSchema,
    kind: z.literal('voterChange'),
  }),
  z.object({
    content: z.unknown(),
    kind: z.literal('ledgerAssignments'),
    /** The command has no effect unless this follows the current version. */
    version: z.int().min(1),
  }),
]);

/** Command of the replicated state machine. */
export type ConfigurationCommand = z.infer<typeof configurationCommandSchema>;
