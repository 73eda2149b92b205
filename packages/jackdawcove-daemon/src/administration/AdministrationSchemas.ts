/** Schemas of the inputs and answers of the administration API. */

import {daemonRecordSchema} from 'jackdawcove-membership';
import {
  configurationChangeSchema,
  configurationRecordSchema,
  historyRecordSchema,
  voterChangeSchema,
} from 'jackdawcove-revision';
import {nameSchema} from 'jackdawcove-shared';
import {timelineEventSchema, timelineFilterSchema} from 'jackdawcove-timeline';
import {z} from 'zod';

const MAXIMUM_FINGERPRINT_LENGTH = 256;
const MAXIMUM_REASON_LENGTH = 1_024;

const countSchema = z.int().min(0);

/** Schema of an empty input. */
export const emptyInputSchema = z.strictObject({});

/** Schema of the answer to a failed request. */
export const failureAnswerSchema = z.object({
  description: z.string(),
  detail: z.string(),
  executed: z.enum(['no', 'unknown', 'yes']),
  name: z.string(),
  number: countSchema,
});

/** Schema of the load of the local backend server. */
const backendServerLoadSchema = z.object({
  inFlight: countSchema,
  instance: nameSchema,
  limit: countSchema,
  queued: countSchema,
  queueingDelayMilliseconds: z.number().min(0),
  service: nameSchema,
  slots: countSchema,
});

/** Schema of the loads of one daemon. */
export const daemonLoadsSchema = z.object({
  backendServer: backendServerLoadSchema.optional(),
  bufferedBytes: countSchema,
  eventLoopDelayMilliseconds: z.number().min(0),
  openCalls: countSchema,
  residentBytes: countSchema,
});

/** Schema of the status of one daemon. */
export const daemonStatusSchema = z.object({
  availabilityZone: nameSchema,
  configuration: z.object({
    digest: z.string(),
    isConfirmed: z.boolean(),
    revision: countSchema,
  }),
  daemon: nameSchema,
  incarnation: countSchema,
  isDraining: z.boolean(),
  isReady: z.boolean(),
  loads: daemonLoadsSchema,
  region: nameSchema,
  uptimeMilliseconds: z.number().min(0),
  version: z.string(),
});

/** Schema of the members of the fleet. */
export const membersSchema = z.object({members: z.array(daemonRecordSchema)});

/** Schema of the revision to read; defaults to the newest one. */
export const revisionQuerySchema = z.strictObject({
  revision: z.coerce.number().int().min(1).optional(),
});

/** Schema of the history of the configuration, newest first. */
export const historySchema = z.object({changes: z.array(historyRecordSchema)});

/** Schema of the configuration that is in effect on the queried daemon. */
export const appliedConfigurationSchema = z.object({
  digest: z.string(),
  documentText: z.string(),
  isConfirmed: z.boolean(),
  revision: countSchema,
});

/** Schema of a member that does not run the newest revision. */
const missingMemberSchema = z.object({
  daemon: nameSchema,
  reason: z.enum(['behind', 'digestDiffers', 'unreachable']),
  revision: countSchema.optional(),
});

/** Schema of the status of the configuration in the fleet. */
export const configurationStatusSchema = z.object({
  digest: z.string(),
  inForceCount: countSchema,
  isInForce: z.boolean(),
  leader: nameSchema.optional(),
  memberCount: countSchema,
  missing: z.array(missingMemberSchema),
  revision: countSchema,
  voters: z.array(nameSchema),
});

/** Schema of the voters and their leader. */
export const votersSchema = z.object({
  leader: nameSchema.optional(),
  voters: z.array(nameSchema),
});

/** Schema of a suspect or a quarantined fingerprint. */
export const quarantineEntrySchema = z.object({
  crashes: countSchema,
  fingerprint: z.string(),
  service: nameSchema,
  suspicion: z.enum(['clear', 'quarantined', 'suspect']),
});

/** Schema of the suspects and the quarantined fingerprints. */
export const quarantineSchema = z.object({
  entries: z.array(quarantineEntrySchema),
});

/** Schema of the release of a fingerprint. */
export const quarantineReleaseSchema = z.strictObject({
  author: z.string().min(1).max(MAXIMUM_REASON_LENGTH),
  fingerprint: z.string().min(1).max(MAXIMUM_FINGERPRINT_LENGTH),
  reason: z.string().trim().min(1).max(MAXIMUM_REASON_LENGTH),
});

/** Schema of the command to drain the queried daemon. */
export const drainSchema = z.strictObject({
  author: z.string().min(1).max(MAXIMUM_REASON_LENGTH),
  reason: z.string().trim().min(1).max(MAXIMUM_REASON_LENGTH),
});

/** Schema of the answer to a drain command. */
export const drainAnswerSchema = z.object({
  daemon: nameSchema,
  isDraining: z.boolean(),
});

/** Schema of a query of the timeline. */
export const timelineQuerySchema = z.strictObject({
  ...timelineFilterSchema.shape,
  since: z.coerce.number().min(0).optional(),
});

/** Schema of a daemon whose events are missing from an answer. */
export const missingDaemonSchema = z.object({
  daemon: nameSchema,
  reason: z.enum(['noAnswer', 'unreachable']),
});

/** Schema of the merged timeline. */
export const timelineAnswerSchema = z.object({
  answered: z.array(nameSchema),
  /** Events that the daemons have already evicted from their timelines. */
  dropped: countSchema,
  events: z.array(timelineEventSchema),
  /** True if a daemon had more matching events than its limit. */
  isTruncated: z.boolean(),
  missing: z.array(missingDaemonSchema),
});

/** Schema of a change of the configuration; rejects unknown keys. */
export const configurationChangeInputSchema = z.strictObject(
  configurationChangeSchema.shape,
);

/** Schema of a change of the voters; rejects unknown keys. */
export const voterChangeInputSchema = z.strictObject(voterChangeSchema.shape);

export {configurationRecordSchema};

/** Status of one daemon. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;

/** Loads of one daemon. */
export type DaemonLoads = z.infer<typeof daemonLoadsSchema>;

/** Suspect or quarantined fingerprint. */
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;

/** Release of a fingerprint. */
export type QuarantineRelease = z.infer<typeof quarantineReleaseSchema>;

/** Merged timeline. */
export type TimelineAnswer = z.infer<typeof timelineAnswerSchema>;

/** Daemon whose events are missing from an answer. */
export type MissingDaemon = z.infer<typeof missingDaemonSchema>;
