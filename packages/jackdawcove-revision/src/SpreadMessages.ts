/** Messages that spread committed records from daemon to daemon. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of what a record is about. */
export const spreadTopicSchema = z.enum([
  'configuration',
  'ledgerAssignments',
  'leader',
  'voters',
]);

/** Schema of the version of a record that a daemon has applied. */
export const recordVersionSchema = z.object({
  digest: z.string(),
  topic: spreadTopicSchema,
  version: z.int().min(1),
});

/** Schema of a committed record; a higher version replaces a lower one. */
export const spreadRecordSchema = recordVersionSchema.extend({
  content: z.unknown(),
});

/** Schema of a message of the spread. */
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
    /** Daemon at the root of the push tree; undefined for an answer. */
    root: nameSchema.optional(),
  }),
]);

/** What a record is about. */
export type SpreadTopic = z.infer<typeof spreadTopicSchema>;

/** Version of a record. */
export type RecordVersion = z.infer<typeof recordVersionSchema>;

/** Committed record. */
export type SpreadRecord = z.infer<typeof spreadRecordSchema>;

/** Message of the spread. */
export type SpreadMessage = z.infer<typeof spreadMessageSchema>;
