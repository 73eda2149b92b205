/** Quotas and the rule under which they are summed. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Requests that an organisation may send, over all daemons together. */
export type Quota = {
  readonly burst: number;
  readonly organisation: string;
  readonly requestsPerSecond: number;
};

/**
 * Tolerance of a quota: in any window, at most
 * (rate x window + burst) x (1 + overRatio) + slack requests may run.
 */
export type QuotaRule = {
  readonly overRatio: number;
  readonly slack: number;
  readonly windowMilliseconds: Milliseconds;
};

/** Returns the quota of an organisation; undefined if it has no limit. */
export type FindQuota = (organisation: string) => Quota | undefined;
