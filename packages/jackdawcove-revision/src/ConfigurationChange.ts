/** Changes of the fleet configuration, their results and their history. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const MAXIMUM_AUTHOR_LENGTH = 128;
const MAXIMUM_CHANGE_IDENTIFIER_LENGTH = 128;
const MAXIMUM_REASON_LENGTH = 1_024;

/** Largest accepted text of a configuration, in characters. */
export const MAXIMUM_DOCUMENT_LENGTH = 1_048_576;

/** Numbers of voters that a fleet may have. */
export const ALLOWED_VOTER_COUNTS: readonly number[] = [3, 5, 7];

/** Schema of a revision: 0 before the first accepted change. */
export const revisionSchema = z.int().min(0);

/** Schema of the part that every change has. */
const changeOriginSchema = z.object({
  author: z.string().min(1).max(MAXIMUM_AUTHOR_LENGTH),
  changeIdentifier: z.string().min(1).max(MAXIMUM_CHANGE_IDENTIFIER_LENGTH),
  reason: z.string().max(MAXIMUM_REASON_LENGTH),
});

/** Schema of a label: the number that the author of a change gave it. */
const labelSchema = z.int().min(0);

/** Schema of the label that a change builds on and of the one it sets. */
export const changeLabelsSchema = z.object({
  expected: labelSchema,
  next: labelSchema,
});

/** Schema of a change of the fleet configuration. */
export const configurationChangeSchema = changeOriginSchema.extend({
  documentText: z.string().max(MAXIMUM_DOCUMENT_LENGTH),
  expectedRevision: revisionSchema,
  /** Compared instead of the revision by authors that number changes themselves. */
  labels: changeLabelsSchema.optional(),
});

/** Schema of a change of the set of daemons that vote. */
export const voterChangeSchema = changeOriginSchema.extend({
  voters: z.array(nameSchema),
});

/** Schema of an accepted change, without its text. */
export const historyRecordSchema = changeOriginSchema.extend({
  acceptedAt: z.number(),
  digest: z.string(),
  revision: revisionSchema,
});

/** Schema of an accepted configuration: who changed what when, and the text. */
export const configurationRecordSchema = historyRecordSchema.extend({
  documentText: z.string(),
});

/** A change of the fleet configuration. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** A change of the set of daemons that vote. */
export type VoterChange = z.infer<typeof voterChangeSchema>;

/** Accepted change without its text. */
export type HistoryRecord = z.infer<typeof historyRecordSchema>;

/** Accepted configuration with its text. */
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;
