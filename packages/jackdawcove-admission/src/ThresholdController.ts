/**
 * Priority threshold below which requests are shed.
 *
 * After a window with a standing queue the threshold rises towards the value at which
 * the arrivals above it match the completions, with a margin. After a window in which
 * the queue was empty at some point it falls; the steps double, so that it is back at
 * zero a fraction of a second after the pressure ends.
 */

import type {Milliseconds} from 'jackdawcove-shared';

import {IMPORTANCES} from 'jackdawcove-shared';

import {
  ADMITTED_PER_COMPLETION,
  BUCKETS_PER_IMPORTANCE,
  FIRST_THRESHOLD_FALL,
  MAXIMUM_THRESHOLD_FALL,
  MINIMUM_THRESHOLD_RISE,
  PREVIOUS_COUNT_WEIGHT,
  STANDING_QUEUE_SHARE,
  THRESHOLD_GAIN,
  WINDOW_MILLISECONDS,
} from './AdmissionConstants.js';

const BUCKET_COUNT = IMPORTANCES.length * BUCKETS_PER_IMPORTANCE;
const FALL_GROWTH_FACTOR = 2;

/** Highest possible threshold: only the top bucket is admitted. */
export const MAXIMUM_THRESHOLD =
  IMPORTANCES.length - 1 / BUCKETS_PER_IMPORTANCE;

/** Adjusts the threshold from arrivals, completions and the queue. */
export class ThresholdController {
  #meanArrivals = new Float64Array(BUCKET_COUNT);
  #meanCompletions = 0;
  #windowArrivals = new Float64Array(BUCKET_COUNT);
  #windowCompletions = 0;
  #nextFall = FIRST_THRESHOLD_FALL;
  #threshold = 0;
  #minimumQueueShare = 0;
  #windowEnd = 0;

  /** Records an arrival, admitted or not. */
  recordArrival(priority: number): void {
    const bucket = Math.floor(priority * BUCKETS_PER_IMPORTANCE);
    const index = Math.min(BUCKET_COUNT - 1, Math.max(0, bucket));
    this.#windowArrivals[index] = (this.#windowArrivals[index] ?? 0) + 1;
  }

  /** Records that a request completed. */
  recordCompletion(): void {
    this.#windowCompletions += 1;
  }

  /** Records the share of the queue that is occupied. */
  recordQueueShare(share: number): void {
    this.#minimumQueueShare = Math.min(this.#minimumQueueShare, share);
  }

  /** Ends the window when it is over and adjusts the threshold. */
  advance(now: Milliseconds, queueShare: number, maximum: number): void {
    if (now < this.#windowEnd) {
      return;
    }
    this.#updateMeans();
    if (this.#minimumQueueShare >= STANDING_QUEUE_SHARE) {
      this.#raise();
    } else if (this.#minimumQueueShare === 0) {
      this.#lower();
    }
    this.#threshold = Math.min(this.#threshold, maximum);
    this.#minimumQueueShare = queueShare;
    this.#windowEnd = now + WINDOW_MILLISECONDS;
  }

  /** Priority below which requests are shed. */
  getThreshold(): number {
    return this.#threshold;
  }

  #raise(): void {
    const excess = this.#findMatchingThreshold() - this.#threshold;
    const rise = Math.max(MINIMUM_THRESHOLD_RISE, excess * THRESHOLD_GAIN);
    this.#threshold += rise;
    this.#nextFall = FIRST_THRESHOLD_FALL;
  }

  #lower(): void {
    this.#threshold = Math.max(0, this.#threshold - this.#nextFall);
    this.#nextFall = Math.min(
      this.#nextFall * FALL_GROWTH_FACTOR,
      MAXIMUM_THRESHOLD_FALL,
    );
  }

  /** Finds the threshold above which the arrivals match the completions. */
  #findMatchingThreshold(): number {
    let capacity = this.#meanCompletions * ADMITTED_PER_COMPLETION;
    for (let index = BUCKET_COUNT - 1; index >= 0; index -= 1) {
      const arrivals = this.#meanArrivals[index] ?? 0;
      if (arrivals > capacity) {
        const share = 1 - capacity / arrivals;
        return (index + share) / BUCKETS_PER_IMPORTANCE;
      }
      capacity -= arrivals;
    }
    return 0;
  }

  #updateMeans(): void {
    const weight = 1 - PREVIOUS_COUNT_WEIGHT;
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      const previous = (this.#meanArrivals[index] ?? 0) * PREVIOUS_COUNT_WEIGHT;
      this.#meanArrivals[index] =
        previous + (this.#windowArrivals[index] ?? 0) * weight;
    }
    this.#meanCompletions =
      this.#meanCompletions * PREVIOUS_COUNT_WEIGHT +
      this.#windowCompletions * weight;
    this.#windowArrivals.fill(0);
    this.#windowCompletions = 0;
  }
}
