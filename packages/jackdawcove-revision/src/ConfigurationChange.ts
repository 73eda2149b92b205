/** Changes of the fleet configuration and of the voters, and their history. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const MAXIMUM_AUTHOR_LENGTH = 128;
const MAXIMUM_CHANGE_IDENTIFIER_LENGTH = 128;
const MAXIMUM_REASON_LENGTH = 1_024;

/** Maximum length of a configuration text, in characters. */
export const MAXIMUM_DOCUMENT_LENGTH = 1_048_576;

/** Numbers of voters that a fleet may have. */
export const ALLOWED_VOTER_COUNTS: readonly number[] = [3, 5, 7];

/** Schema of a revision: 0 before the first accepted change. */
export const revisionSchema = z.int().min(0);

/** Schema of the fields that all changes share. */
const changeOriginSchema = z.object({
  author: z.string().min(1).max(MAXIMUM_AUTHOR_LENGTH),
  changeIdentifier: z.string().min(1).max(MAXIMUM_CHANGE_IDENTIFIER_LENGTH),
  reason: z.string().max(MAXIMUM_REASON_LENGTH),
});

/** Schema of a label: a version number that the author of a change assigns. */
const labelSchema = z.int().min(0);

/** Schema of the label that a change expects and the label that it sets. */
export const changeLabelsSchema = z.object({
  expected: labelSchema,
  next: labelSchema,
});

/** Schema of a change of the fleet configuration. */
export const configurationChangeSchema = changeOriginSchema.extend({
  documentText: z.string().max(MAXIMUM_DOCUMENT_LENGTH),
  expectedRevision: revisionSchema,
  /** Compared instead of the revision, for authors that number their changes. */
  labels: changeLabelsSchema.optional(),
});

/** Schema of a change of the daemons that are voters. */
export const voterChangeSchema = changeOriginSchema.extend({
  voters: z.array(nameSchema),
});

/** Schema of an accepted change, without its text. */
export const historyRecordSchema = changeOriginSchema.extend({
  acceptedAt: z.number(),
  digest: z.string(),
  revision: revisionSchema,
});

/** Schema of an accepted configuration: author, reason, time and text. */
export const configurationRecordSchema = historyRecordSchema.extend({
  documentText: z.string(),
});

/** A change of the fleet configuration. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** A change of the daemons that are voters. */
export type VoterChange = z.infer<typeof voterChangeSchema>;

/** Accepted change without its text. */
export type HistoryRecord = z.infer<typeof historyRecordSchema>;

/** Accepted configuration with its text. */
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;
