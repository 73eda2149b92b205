/** Exponentially decaying estimates of a rate. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  DEMAND_TIME_CONSTANT_MILLISECONDS,
  QUOTA_INTERVAL_MILLISECONDS,
} from './QuotaConstants.js';

/** Estimate of the sum of many sources, whose counts arrive at different times. */
export class DemandEstimate {
  #requestsPerSecond = 0;
  #updatedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#updatedAt = now;
  }

  record(requests: number, now: Milliseconds): void {
    this.#requestsPerSecond =
      this.get(now) +
      (requests * MILLISECONDS_PER_SECOND) / DEMAND_TIME_CONSTANT_MILLISECONDS;
    this.#updatedAt = now;
  }

  get(now: Milliseconds): number {
    const elapsed = Math.max(0, now - this.#updatedAt);
    return this.#requestsPerSecond * getDecay(elapsed);
  }
}

/** Time for which the estimate of a source holds until its next count. */
const HOLD_MILLISECONDS = QUOTA_INTERVAL_MILLISECONDS;
const LONGEST_COUNT_MILLISECONDS = 2 * QUOTA_INTERVAL_MILLISECONDS;

/**
 * Estimate of one source. A count is spread over the time since the last one, so
 * that the estimate is not too high just after a count.
 */
export class SourceDemandEstimate {
  #requestsPerSecond = 0;
  #updatedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#updatedAt = now - LONGEST_COUNT_MILLISECONDS;
  }

  record(requests: number, now: Milliseconds): void {
    const elapsed = Math.max(1, now - this.#updatedAt);
    const counted = Math.min(elapsed, LONGEST_COUNT_MILLISECONDS);
    const rate = (requests * MILLISECONDS_PER_SECOND) / counted;
    this.#requestsPerSecond =
      this.#requestsPerSecond * getDecay(elapsed) +
      rate * (1 - getDecay(counted));
    this.#updatedAt = now;
  }

  /** Replaces the estimate by a stated one. */
  set(requestsPerSecond: number, now: Milliseconds): void {
    this.#requestsPerSecond = requestsPerSecond;
    this.#updatedAt = now;
  }

  get(now: Milliseconds): number {
    const elapsed = now - this.#updatedAt - HOLD_MILLISECONDS;
    return this.#requestsPerSecond * getDecay(Math.max(0, elapsed));
  }

  /** Returns the estimate at the time of the last count. */
  getLast(): number {
    return this.#requestsPerSecond;
  }
}

function getDecay(elapsed: Milliseconds): number {
  return Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MILLISECONDS);
}
