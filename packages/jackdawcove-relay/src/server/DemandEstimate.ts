/** Demand of each importance, from the shed ranks that callers admit in full. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  PROBE_RANKS,
  RANK_COUNT,
  RANKS_PER_IMPORTANCE,
} from '../RelayConstants.js';

/** Ranks that are counted together; the first of an importance are its probes. */
const BUCKET_RANKS = PROBE_RANKS;
const BUCKETS_PER_IMPORTANCE = RANKS_PER_IMPORTANCE / BUCKET_RANKS;
const BUCKET_COUNT = RANK_COUNT / BUCKET_RANKS;
const IMPORTANCE_COUNT = RANK_COUNT / RANKS_PER_IMPORTANCE;

/** Time constants of the two averages: the long one is exact, the short one is fast. */
const LONG_AVERAGE_MILLISECONDS = 800;
const SHORT_AVERAGE_MILLISECONDS = 160;

/**
 * Difference between the two averages, in standard deviations, that counts as chance. The
 * rest of it counts as a change of the demand.
 */
const CHANCE_DEVIATIONS = 1;

/** Arrivals come in groups, the calls of one run, which widens their deviation. */
const CALLS_PER_GROUP = 2;

/** Updates for which a threshold must have stood before callers are known to follow. */
const FOLLOWING_UPDATES = 10;

/**
 * Share of the admitted ranks that is counted. Callers know the mean of the thresholds of
 * all instances, which may lie below that of this one.
 */
const COUNTED_SHARE = 0.8;

/** Moving average of arrivals per bucket, with the time for which each was counted. */
class ArrivalAverage {
  readonly #arrivals = new Float64Array(BUCKET_COUNT);
  readonly #countedSeconds = new Float64Array(BUCKET_COUNT);
  readonly #timeConstant: Milliseconds;

  constructor(timeConstant: Milliseconds) {
    this.#timeConstant = timeConstant;
  }

  decay(elapsed: Milliseconds): void {
    const factor = Math.exp(-elapsed / this.#timeConstant);
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      this.#arrivals[bucket] = (this.#arrivals[bucket] ?? 0) * factor;
      this.#countedSeconds[bucket] =
        (this.#countedSeconds[bucket] ?? 0) * factor;
    }
  }

  add(bucket: number, arrivals: number, seconds: number): void {
    this.#arrivals[bucket] = (this.#arrivals[bucket] ?? 0) + arrivals;
    this.#countedSeconds[bucket] =
      (this.#countedSeconds[bucket] ?? 0) + seconds;
  }

  /** Returns the arrivals of an importance and the seconds of all its buckets. */
  sum(importance: number): {arrivals: number; seconds: number} {
    const start = importance * BUCKETS_PER_IMPORTANCE;
    let arrivals = 0;
    let seconds = 0;
    for (
      let bucket = start;
      bucket < start + BUCKETS_PER_IMPORTANCE;
      bucket += 1
    ) {
      arrivals += this.#arrivals[bucket] ?? 0;
      seconds += this.#countedSeconds[bucket] ?? 0;
    }
    return {arrivals, seconds};
  }
}

/**
 * Estimates the demand per second that callers have, although they refuse part of it.
 * Cohorts are uniform, so the ranks that are admitted in full, and the probes of an
 * importance that is refused, show the demand of the whole importance.
 */
export class DemandEstimate {
  readonly #arrivals = new Float64Array(BUCKET_COUNT);
  readonly #longAverage = new ArrivalAverage(LONG_AVERAGE_MILLISECONDS);
  readonly #shortAverage = new ArrivalAverage(SHORT_AVERAGE_MILLISECONDS);
  /** The newest thresholds, oldest first. */
  readonly #thresholds: number[] = [];

  recordArrival(shedRank: number): void {
    const bucket = Math.floor(shedRank / BUCKET_RANKS);
    if (bucket >= 0 && bucket < BUCKET_COUNT) {
      this.#arrivals[bucket] = (this.#arrivals[bucket] ?? 0) + 1;
    }
  }

  /** Counts the arrivals since the last update, in which `threshold` was stated. */
  update(elapsed: Milliseconds, threshold: number): void {
    this.#thresholds.push(threshold);
    if (this.#thresholds.length > FOLLOWING_UPDATES) {
      this.#thresholds.shift();
    }
    const followed = Math.min(...this.#thresholds);
    const seconds = elapsed / MILLISECONDS_PER_SECOND;
    this.#longAverage.decay(elapsed);
    this.#shortAverage.decay(elapsed);
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      if (isCounted(bucket, followed)) {
        const arrivals = this.#arrivals[bucket] ?? 0;
        this.#longAverage.add(bucket, arrivals, seconds);
        this.#shortAverage.add(bucket, arrivals, seconds);
      }
    }
    this.#arrivals.fill(0);
  }

  /**
   * Returns the demand in requests per second of each importance, the most important
   * first. Where less is admitted than that importance asks for, the estimate includes
   * its own uncertainty: a threshold that rises too far refuses work that has begun.
   *
   * @example
   * estimate.getDemands(2_400); // [180, 240, 610, 0]
   */
  getDemands(threshold: number): readonly number[] {
    const demands: number[] = [];
    for (let importance = 0; importance < IMPORTANCE_COUNT; importance += 1) {
      demands.push(this.#estimate(importance, threshold));
    }
    return demands;
  }

  #estimate(importance: number, threshold: number): number {
    const long = this.#longAverage.sum(importance);
    const short = this.#shortAverage.sum(importance);
    if (long.seconds === 0) {
      return 0;
    }
    const longRate = long.arrivals / long.seconds;
    const expected = longRate * short.seconds;
    const deviation = Math.sqrt(CALLS_PER_GROUP * Math.max(1, expected));
    const difference = short.arrivals - expected;
    const excess = Math.max(
      0,
      Math.abs(difference) - CHANCE_DEVIATIONS * deviation,
    );
    const rate =
      longRate +
      (Math.sign(difference) * excess) /
        Math.max(Number.EPSILON, short.seconds);
    const isAdmitted = threshold >= (importance + 1) * RANKS_PER_IMPORTANCE;
    const caution = isAdmitted ? 0 : 1 / Math.sqrt(1 + long.arrivals);
    return rate * BUCKETS_PER_IMPORTANCE * (1 + caution);
  }
}

function isCounted(bucket: number, threshold: number): boolean {
  const importance = Math.floor(bucket / BUCKETS_PER_IMPORTANCE);
  const end = (bucket % BUCKETS_PER_IMPORTANCE) * BUCKET_RANKS + BUCKET_RANKS;
  const admitted = Math.min(
    RANKS_PER_IMPORTANCE,
    threshold - importance * RANKS_PER_IMPORTANCE,
  );
  return end <= PROBE_RANKS || end <= admitted * COUNTED_SHARE;
}
