/**
 * Schemas of the fields that the tool reads from answers of the administration
 * API. Other fields are kept, so that --json prints everything that a daemon of
 * another version sends.
 */

import {timelineEventSchema} from 'jackdawcove-timeline';
import {z} from 'zod';

const nameListSchema = z.array(z.string());

/** Schema of a failure. */
export const failureAnswerSchema = z.looseObject({
  detail: z.string(),
  number: z.number(),
});

/** Schema of an accepted configuration. */
export const configurationRecordSchema = z.looseObject({
  acceptedAt: z.number(),
  author: z.string(),
  changeIdentifier: z.string(),
  digest: z.string(),
  documentText: z.string(),
  reason: z.string(),
  revision: z.number(),
});

/** Schema of the history of accepted configuration changes. */
export const historySchema = z.looseObject({
  changes: z.array(
    z.looseObject({
      acceptedAt: z.number(),
      author: z.string(),
      changeIdentifier: z.string(),
      reason: z.string(),
      revision: z.number(),
    }),
  ),
});

/** Schema of the configuration status: which members run the newest revision. */
export const configurationStatusSchema = z.looseObject({
  digest: z.string(),
  inForceCount: z.number(),
  isInForce: z.boolean(),
  leader: z.string().optional(),
  memberCount: z.number(),
  missing: z.array(
    z.looseObject({
      daemon: z.string(),
      reason: z.string(),
      revision: z.number().optional(),
    }),
  ),
  revision: z.number(),
});

/** Schema of the members. */
export const membersSchema = z.looseObject({
  members: z.array(
    z.looseObject({
      availabilityZone: z.string(),
      backendServer: z
        .looseObject({
          connections: z.number(),
          instance: z.string(),
          service: z.string(),
          slots: z.number(),
          state: z.string(),
        })
        .optional(),
      isDraining: z.boolean(),
      isVoter: z.boolean(),
      name: z.string(),
      region: z.string(),
      state: z.string(),
    }),
  ),
});

/** Schema of the status of one daemon. */
export const daemonStatusSchema = z.looseObject({
  availabilityZone: z.string(),
  configuration: z.looseObject({
    digest: z.string(),
    isConfirmed: z.boolean(),
    revision: z.number(),
  }),
  daemon: z.string(),
  isDraining: z.boolean(),
  isReady: z.boolean(),
  loads: z.looseObject({
    backendServer: z
      .looseObject({
        inFlight: z.number(),
        instance: z.string(),
        limit: z.number(),
        queued: z.number(),
        queueingDelayMilliseconds: z.number(),
        service: z.string(),
        slots: z.number(),
      })
      .optional(),
    bufferedBytes: z.number(),
    eventLoopDelayMilliseconds: z.number(),
    openCalls: z.number(),
    residentBytes: z.number(),
  }),
  uptimeMilliseconds: z.number(),
  version: z.string(),
});

/** Schema of the voters. */
export const votersSchema = z.looseObject({
  leader: z.string().optional(),
  voters: nameListSchema,
});

/** Schema of the quarantined fingerprints. */
export const quarantineSchema = z.looseObject({
  entries: z.array(
    z.looseObject({
      crashes: z.number(),
      fingerprint: z.string(),
      service: z.string(),
      suspicion: z.string(),
    }),
  ),
});

/** Schema of the answer to a drain. */
export const drainAnswerSchema = z.looseObject({
  daemon: z.string(),
  isDraining: z.boolean(),
});

/** Schema of the merged timeline. */
export const timelineAnswerSchema = z.looseObject({
  answered: nameListSchema,
  dropped: z.number(),
  events: z.array(timelineEventSchema),
  isTruncated: z.boolean(),
  missing: z.array(z.looseObject({daemon: z.string(), reason: z.string()})),
});
