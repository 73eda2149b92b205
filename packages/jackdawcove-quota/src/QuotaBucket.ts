/** Token bucket of an organisation that may go into debt. */

import type {Quota} from './QuotaTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {CORRECTION_MILLISECONDS} from './QuotaConstants.js';

/** What a bucket is refilled with. */
export type BucketLimits = {
  readonly capacity: number;
  readonly unitsPerSecond: number;
};

/**
 * Scales a quota to a part of the fleet; `reserve` is the part of the tolerance
 * that may be used as burst.
 *
 * @example
 * scaleQuota(quota, 0.25, 10); // a zone that holds a quarter of the daemons
 */
export function scaleQuota(
  {burst, requestsPerSecond}: Quota,
  fraction: number,
  reserve: number,
): BucketLimits {
  return {
    capacity: (burst + reserve) * fraction,
    unitsPerSecond: requestsPerSecond * fraction,
  };
}

/**
 * Units that an organisation may still use. Requests are counted after they were
 * admitted, so the bucket can be overdrawn; the debt lowers what is allowed until
 * it is repaid.
 */
export class QuotaBucket {
  #tokens: number;
  #updatedAt: Milliseconds;

  constructor(tokens: number, now: Milliseconds) {
    this.#tokens = tokens;
    this.#updatedAt = now;
  }

  /** Adds what was refilled since the last call. */
  refill({capacity, unitsPerSecond}: BucketLimits, now: Milliseconds): void {
    const elapsed = Math.max(0, now - this.#updatedAt);
    const refilled = (unitsPerSecond * elapsed) / MILLISECONDS_PER_SECOND;
    this.#tokens = Math.min(capacity, this.#tokens + refilled);
    this.#updatedAt = now;
  }

  /** Takes units; there may be fewer. */
  spend(units: number): void {
    this.#tokens -= units;
  }

  /** Keeps a part of the units, or of the debt. */
  scale(factor: number): void {
    this.#tokens *= factor;
  }

  /** Replaces the units, for example by those that another aggregator counted. */
  set(tokens: number): void {
    this.#tokens = tokens;
  }

  getTokens(): number {
    return this.#tokens;
  }

  /** Returns the rate at which all daemons together may admit requests. */
  getAllowedRate({unitsPerSecond}: BucketLimits): number {
    const correction =
      (this.#tokens * MILLISECONDS_PER_SECOND) / CORRECTION_MILLISECONDS;
    return Math.max(0, unitsPerSecond + correction);
  }
}
