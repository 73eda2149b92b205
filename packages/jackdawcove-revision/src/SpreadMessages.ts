/** Messages that distribute committed records between daemons. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of the topic of a record. */
export const spreadTopicSchema = z.enum([
  'configuration',
  'ledgerAssignments',
  'leader',
  'voters',
]);

/** Schema of the version of a record that a daemon holds. */
export const recordVersionSchema = z.object({
  digest: z.string(),
  topic: spreadTopicSchema,
  version: z.int().min(1),
});

/** Schema of a committed record; a higher version replaces a lower one. */
export const spreadRecordSchema = recordVersionSchema.extend({
  content: z.unknown(),
});

/** Schema of a message of the record spread. */
export const spreadMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    isAnswerWanted: z.boolean(),
    kind: z.literal('digest'),
    versions: z.array(recordVersionSchema),
  }),
  z.object({kind: z.literal('pull'), topics: z.array(spreadTopicSchema)}),
  z.object({
    kind: z.literal('records'),
    records: z.array(spreadRecordSchema),
    /** Daemon at the root of the push tree; undefined outside of a push. */
    root: nameSchema.optional(),
  }),
]);

/** Topic of a record. */
export type SpreadTopic = z.infer<typeof spreadTopicSchema>;

/** Version of a record. */
export type RecordVersion = z.infer<typeof recordVersionSchema>;

/** Committed record. */
export type SpreadRecord = z.infer<typeof spreadRecordSchema>;

/** Message of the record spread. */
export type SpreadMessage = z.infer<typeof spreadMessageSchema>;
