/** Use of one organisation's quota, as an aggregator sees it. */

import type {BucketLimits} from './QuotaBucket.js';
import type {Quota, QuotaRule} from './QuotaTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {DemandEstimate} from './DemandEstimate.js';
import {isSurge} from './isSurge.js';
import {QuotaBucket} from './QuotaBucket.js';
import {
  LIFTING_FILL,
  LIFTING_RATIO,
  LIMITING_FILL,
  LIMITING_RATIO,
} from './QuotaConstants.js';

/** Bucket and demand of an organisation. */
export class OrganisationUse {
  /** Requests that the aggregator's own daemons admitted. */
  admitted = 0;
  /** Time of the last count of an own daemon. */
  countedAt: Milliseconds = 0;
  readonly asked: DemandEstimate;
  readonly #bucket: QuotaBucket;
  #limitedSince: Milliseconds | undefined;
  readonly #rule: QuotaRule;
  #sent = 0;

  constructor(tokens: number, rule: QuotaRule, now: Milliseconds) {
    this.#rule = rule;
    this.asked = new DemandEstimate(now);
    this.#bucket = new QuotaBucket(tokens, now);
  }

  /** Counts requests of an own daemon. */
  recordOwn(spent: number, asked: number, now: Milliseconds): void {
    this.admitted += spent;
    this.asked.record(asked, now);
    this.countedAt = now;
  }

  /** Whether so much was admitted since the last sums that they cannot wait. */
  isSurging(quota: Quota): boolean {
    return isSurge(quota, this.admitted - this.#sent);
  }

  /** Records that the sums were sent to the other aggregators. */
  markSent(): void {
    this.#sent = this.admitted;
  }

  spend(units: number): void {
    this.#bucket.spend(units);
  }

  scale(factor: number): void {
    this.#bucket.scale(factor);
  }

  setTokens(tokens: number): void {
    this.#bucket.set(tokens);
  }

  getTokens(): number {
    return this.#bucket.getTokens();
  }

  isLimited(): boolean {
    return this.#limitedSince !== undefined;
  }

  /** Refills the bucket and decides whether daemons need shares. */
  update(quotaLimits: BucketLimits, demand: number, now: Milliseconds): void {
    const limits = this.#extend(quotaLimits, now);
    this.#bucket.refill(limits, now);
    const allowed = this.#bucket.getAllowedRate(limits);
    const tokens = this.#bucket.getTokens();
    const isLimited = this.isLimited()
      ? allowed < demand * LIFTING_RATIO &&
        tokens < limits.capacity * LIFTING_FILL
      : allowed < demand * LIMITING_RATIO &&
        tokens < limits.capacity * LIMITING_FILL;
    this.#limitedSince = isLimited ? (this.#limitedSince ?? now) : undefined;
  }

  /** Returns the rate that all daemons in contact may admit together. */
  getAllowedRate(limits: BucketLimits, now: Milliseconds): number {
    return this.#bucket.getAllowedRate(this.#extend(limits, now));
  }

  /**
   * Adds the burst to the rate, spread over a window, once the surge that led to the
   * limit has left the window: the organisation may use the burst in every window.
   */
  #extend(limits: BucketLimits, now: Milliseconds): BucketLimits {
    const {windowMilliseconds} = this.#rule;
    if (now - (this.#limitedSince ?? now) <= windowMilliseconds) {
      return limits;
    }
    const spread =
      (limits.capacity * MILLISECONDS_PER_SECOND) / windowMilliseconds;
    return {...limits, unitsPerSecond: limits.unitsPerSecond + spread};
  }
}
