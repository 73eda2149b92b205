/** Messages between daemons and the aggregators of quotas. */

import {z} from 'zod';

import {MAXIMUM_ENTRIES} from './QuotaConstants.js';

const countSchema = z.int().min(0);
const organisationSchema = z.string().min(1);
const rateSchema = z.number().min(0);

/**
 * Counts of a daemon. `admitted` and `acknowledged` grow for the life of its
 * process, so that a lost report is made good by the next one; `asked` counts
 * the requests since the last report.
 */
export const quotaReportSchema = z.object({
  entries: z
    .array(
      z.object({
        acknowledged: countSchema,
        admitted: countSchema,
        asked: countSchema,
        organisation: organisationSchema,
      }),
    )
    .max(MAXIMUM_ENTRIES),
  kind: z.literal('report'),
  process: countSchema,
  sequence: countSchema,
});

/** Answer of an aggregator: the limits of the receiving daemon. */
export const quotaAnswerSchema = z.object({
  /** Whether organisations that are not listed have no limit. */
  isComplete: z.boolean(),
  kind: z.literal('answer'),
  limits: z
    .array(
      z.object({
        organisation: organisationSchema,
        requestsPerSecond: rateSchema,
      }),
    )
    .max(MAXIMUM_ENTRIES),
  /** Number of the answered report; 0 if the aggregator was not asked. */
  sequence: countSchema,
});

/** Sums over the daemons that report to an aggregator. */
export const quotaSumsSchema = z.object({
  /** Time since the aggregator began to sum. */
  ageMilliseconds: rateSchema,
  /** Number of daemons that report to it. */
  daemons: countSchema,
  entries: z
    .array(
      z.object({
        admitted: countSchema,
        askedPerSecond: rateSchema,
        organisation: organisationSchema,
        /** Units left for the whole fleet; negative while there is a debt. */
        tokens: z.number(),
      }),
    )
    .max(MAXIMUM_ENTRIES),
  /** Number that changes when the aggregator begins anew. */
  generation: countSchema,
  kind: z.literal('sums'),
});

/** Schema of all messages about quotas. */
export const quotaMessageSchema = z.discriminatedUnion('kind', [
  quotaAnswerSchema,
  quotaReportSchema,
  quotaSumsSchema,
]);

export type QuotaAnswer = z.infer<typeof quotaAnswerSchema>;
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;
export type QuotaReport = z.infer<typeof quotaReportSchema>;
export type QuotaSums = z.infer<typeof quotaSumsSchema>;
