/**
 * Threshold of priority below which requests are shed.
 *
 * In a window in which a part of the queue stood all the time the threshold rises
 * towards where the arrivals above it match the completions, with a margin.
 * In a window in which the queue emptied it falls by steps that double, so that it
 * is back at zero a fraction of a second after the pressure ends.
 */

import type {Milliseconds} from 'jackdawcove-shared';

import {IMPORTANCES} from 'jackdawcove-shared';

import {
  ADMITTED_PER_COMPLETION,
  BUCKETS_PER_IMPORTANCE,
  FIRST_THRESHOLD_FALL,
  KEPT_COUNT_SHARE,
  MAXIMUM_THRESHOLD_FALL,
  MINIMUM_THRESHOLD_RISE,
  STANDING_QUEUE_SHARE,
  THRESHOLD_GAIN,
  WINDOW_MILLISECONDS,
} from './AdmissionConstants.js';

const BUCKETS = IMPORTANCES.length * BUCKETS_PER_IMPORTANCE;
const FALL_FACTOR = 2;

/** Highest threshold there is: only the top bucket of all is let in. */
export const MAXIMUM_THRESHOLD =
  IMPORTANCES.length - 1 / BUCKETS_PER_IMPORTANCE;

/** Decides the threshold from arrivals, completions and the queue. */
export class ThresholdController {
  #arrivals = new Float64Array(BUCKETS);
  #completions = 0;
  #freshArrivals = new Float64Array(BUCKETS);
  #freshCompletions = 0;
  #nextFall = FIRST_THRESHOLD_FALL;
  #threshold = 0;
  #leastQueueShare = 0;
  #windowEnd = 0;

  /** Records an arrival, let in or not. */
  recordArrival(priority: number): void {
    const bucket = Math.floor(priority * BUCKETS_PER_IMPORTANCE);
    const index = Math.min(BUCKETS - 1, Math.max(0, bucket));
    this.#freshArrivals[index] = (this.#freshArrivals[index] ?? 0) + 1;
  }

  /** Records that a request completed. */
  recordCompletion(): void {
    this.#freshCompletions += 1;
  }

  /** Records which share of the queue is in use. */
  recordQueueShare(share: number): void {
    this.#leastQueueShare = Math.min(this.#leastQueueShare, share);
  }

  /** Closes the window when it is over and decides the threshold anew. */
  advance(now: Milliseconds, queueShare: number, maximum: number): void {
    if (now < this.#windowEnd) {
      return;
    }
    this.#foldCounts();
    if (this.#leastQueueShare >= STANDING_QUEUE_SHARE) {
      this.#raise();
    } else if (this.#leastQueueShare === 0) {
      this.#lower();
    }
    this.#threshold = Math.min(this.#threshold, maximum);
    this.#leastQueueShare = queueShare;
    this.#windowEnd = now + WINDOW_MILLISECONDS;
  }

  /** Requests with a lower priority are shed. */
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
      this.#nextFall * FALL_FACTOR,
      MAXIMUM_THRESHOLD_FALL,
    );
  }

  /** Finds the threshold above which the arrivals match the completions. */
  #findMatchingThreshold(): number {
    let room = this.#completions * ADMITTED_PER_COMPLETION;
    for (let index = BUCKETS - 1; index >= 0; index -= 1) {
      const arrivals = this.#arrivals[index] ?? 0;
      if (arrivals > room) {
        const share = 1 - room / arrivals;
        return (index + share) / BUCKETS_PER_IMPORTANCE;
      }
      room -= arrivals;
    }
    return 0;
  }

  #foldCounts(): void {
    const fresh = 1 - KEPT_COUNT_SHARE;
    for (let index = 0; index < BUCKETS; index += 1) {
      const kept = (this.#arrivals[index] ?? 0) * KEPT_COUNT_SHARE;
      this.#arrivals[index] = kept + (this.#freshArrivals[index] ?? 0) * fresh;
    }
    this.#completions =
      this.#completions * KEPT_COUNT_SHARE + this.#freshCompletions * fresh;
    this.#freshArrivals.fill(0);
    this.#freshCompletions = 0;
  }
}
