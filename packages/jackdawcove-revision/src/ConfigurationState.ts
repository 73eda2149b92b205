/** State of the replicated configuration, and the format of its snapshot. */

import {failureSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {historyRecordSchema, revisionSchema} from './ConfigurationChange.js';

/** Schema of the outcome of a change. */
export const changeOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('configurationAccepted'),
    record: historyRecordSchema,
  }),
  z.object({kind: z.literal('votersAccepted'), voters: z.array(nameSchema)}),
  z.object({failure: failureSchema, kind: z.literal('refused')}),
]);

const keptResultSchema = z.object({
  changeIdentifier: z.string(),
  /** Digest of the whole change, to detect reused identifiers. */
  contentDigest: z.string(),
  outcome: changeOutcomeSchema,
});

const keptDocumentSchema = z.object({
  documentText: z.string(),
  revision: revisionSchema,
});

/** Schema of the replicated state, as stored in a snapshot. */
export const configurationStateSchema = z.object({
  /** Oldest first; the newest is always kept. */
  documents: z.array(keptDocumentSchema),
  /** Oldest first. */
  history: z.array(historyRecordSchema),
  /** Label set by the newest change that has labels. */
  label: z.int().min(0).default(0),
  ledgerAssignments: z.object({
    content: z.unknown().optional(),
    version: z.int().min(0),
  }),
  /** Oldest first. */
  results: z.array(keptResultSchema),
  revision: revisionSchema,
  /** Names of the daemons that should be voters. */
  voterTarget: z.array(nameSchema),
});

/** Outcome of a change, the same for every resend. */
export type ChangeOutcome = z.infer<typeof changeOutcomeSchema>;

/** Replicated state. */
export type ConfigurationState = z.infer<typeof configurationStateSchema>;

/** Stored outcome of one change. */
export type KeptResult = z.infer<typeof keptResultSchema>;

/** Stored configuration text of one revision. */
export type KeptDocument = z.infer<typeof keptDocumentSchema>;

/** State before the first change. */
export const INITIAL_CONFIGURATION_STATE: ConfigurationState = Object.freeze({
  documents: [],
  history: [],
  label: 0,
  ledgerAssignments: {content: undefined, version: 0},
  results: [],
  revision: 0,
  voterTarget: [],
});
