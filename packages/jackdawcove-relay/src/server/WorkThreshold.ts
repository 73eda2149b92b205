/** Shed threshold of an instance, from the work that arrives and what it finishes. */

import type {ShedThreshold, SlotUse} from './ShedThreshold.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  MINIMUM_THRESHOLD,
  PROBE_RANKS,
  RANK_COUNT,
  RANKS_PER_IMPORTANCE,
} from '../RelayConstants.js';
import {DemandEstimate} from './DemandEstimate.js';

/** Shortest time between two updates. */
const UPDATE_INTERVAL_MILLISECONDS = 40;

/** Weight of the newest run in the moving average of the run time. */
const RUN_TIME_WEIGHT = 0.01;

/** Run time that is presumed before the first run ends. */
const INITIAL_RUN_TIME_MILLISECONDS = 40;

/**
 * Wait at which the instance takes what it finishes, in run times. Placement by expected
 * time lets requests wait for about a run at a fast instance before it uses a slow one.
 */
const TARGET_WAIT_SHARE = 1;
const MINIMUM_TARGET_WAIT_MILLISECONDS = 5;
const MAXIMUM_TARGET_WAIT_MILLISECONDS = 40;

/** Target wait of an instance with a rate limit, in intervals between two requests. */
const TARGET_WAIT_START_INTERVALS = 2;

/** Time in which a queue that is longer than the target is to be worked off. */
const DRAIN_SECONDS = 0.6;

/** Largest share of the capacity that working off the queue may take. */
const MAXIMUM_DRAIN_SHARE = 0.5;

const PROBE_SHARE = PROBE_RANKS / RANKS_PER_IMPORTANCE;

/**
 * Free share of the capacity from which the threshold refuses nothing. Callers average
 * the thresholds of the instances, so one that just has room must not state the highest.
 */
const FREE_SHARE = 0.2;

/** Weight of the newest window in the moving average of the wait. */
const WAIT_WEIGHT = 0.25;

/** Instances differ in their thresholds by about so much; callers know the mean. */
const ADMITTED_MARGIN_RANKS = 200;

/** Change of the admitted share of the capacity at a wait of 0. */
const WAIT_RESPONSE = 0.2;

/** Largest change when waits are too long, as a multiple of the above. */
const MAXIMUM_WAIT_EXCESS = 2;

/** Change per second of the lasting correction at a wait of 0, and its bounds. */
const CORRECTION_PER_SECOND = 0.05;
const MINIMUM_CORRECTION = 0.75;
const MAXIMUM_CORRECTION = 1.15;

/**
 * Answers a surge at a service that calls reach: admits the ranks whose demand, estimated
 * from the ranks that arrive in full, amounts to what the instance finishes. The level
 * follows from the demand in one step, so the delay until callers hear it cannot make it
 * oscillate; a slow correction by the waits makes up for what the estimate misses.
 */
export class WorkThreshold implements ShedThreshold {
  #correction = 1;
  readonly #demand = new DemandEstimate();
  #meanRunTime: Milliseconds = INITIAL_RUN_TIME_MILLISECONDS;
  #meanWait: Milliseconds = 0;
  #isBinding = false;
  #startInterval: Milliseconds = 0;
  #threshold = RANK_COUNT;
  #updatedAt: Milliseconds;
  #waitCount = 0;
  #waitResponse = 0;
  #waitTotal: Milliseconds = 0;

  constructor(now: Milliseconds) {
    this.#updatedAt = now;
  }

  /**
   * Admitted requests of one importance wait in order of arrival: in order of rank, the
   * same few trees would bear every wait and miss their deadlines. Those above the
   * threshold were admitted before it fell and come last, at every hop the same ones.
   */
  getQueueRank(shedRank: number): number {
    return shedRank < this.#threshold + ADMITTED_MARGIN_RANKS
      ? shedRank - (shedRank % RANKS_PER_IMPORTANCE)
      : shedRank;
  }

  getThreshold(): number {
    return this.#threshold;
  }

  recordArrival(shedRank: number): void {
    this.#demand.recordArrival(shedRank);
  }

  recordRunTime(runTime: Milliseconds): void {
    this.#meanRunTime += RUN_TIME_WEIGHT * (runTime - this.#meanRunTime);
  }

  /** Requests above the threshold were admitted before it fell: they wait behind others. */
  recordWait(shedRank: number, wait: Milliseconds): void {
    if (shedRank < this.#threshold) {
      this.#waitCount += 1;
      this.#waitTotal += wait;
    }
  }

  reset(): void {
    this.#correction = 1;
    this.#isBinding = false;
    this.#meanWait = 0;
    this.#threshold = RANK_COUNT;
  }

  setStartInterval(interval: Milliseconds): void {
    this.#startInterval = interval;
  }

  /**
   * Sets the threshold anew.
   *
   * @example
   * threshold.tick(clock(), {limit: 59, queued: 12});
   */
  tick(now: Milliseconds, {limit, queued}: SlotUse): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed < UPDATE_INTERVAL_MILLISECONDS) {
      return;
    }
    this.#updatedAt = now;
    this.#demand.update(elapsed, this.#threshold);
    if (limit === 0) {
      return;
    }
    const targetWait = this.#getTargetWait();
    this.#updateCorrection(elapsed, targetWait);
    const capacity = this.#getCapacity(limit);
    const targetQueue = (capacity * targetWait) / MILLISECONDS_PER_SECOND;
    const drain = Math.min(
      capacity * MAXIMUM_DRAIN_SHARE,
      Math.max(0, queued - 2 * targetQueue) / DRAIN_SECONDS,
    );
    this.#threshold = this.#findThreshold(
      capacity * (this.#correction + this.#waitResponse) - drain,
    );
  }

  /** Requests per second that the instance finishes while all slots are in use. */
  #getCapacity(limit: number): number {
    const bySlots =
      (limit * MILLISECONDS_PER_SECOND) / Math.max(1, this.#meanRunTime);
    return this.#startInterval > 0
      ? Math.min(bySlots, MILLISECONDS_PER_SECOND / this.#startInterval)
      : bySlots;
  }

  #getTargetWait(): Milliseconds {
    const wait = Math.min(
      MAXIMUM_TARGET_WAIT_MILLISECONDS,
      this.#meanRunTime * TARGET_WAIT_SHARE,
    );
    return Math.max(
      MINIMUM_TARGET_WAIT_MILLISECONDS,
      wait,
      this.#startInterval * TARGET_WAIT_START_INTERVALS,
    );
  }

  #updateCorrection(elapsed: Milliseconds, targetWait: Milliseconds): void {
    const wait = this.#waitCount === 0 ? 0 : this.#waitTotal / this.#waitCount;
    this.#waitCount = 0;
    this.#waitTotal = 0;
    this.#meanWait += WAIT_WEIGHT * (wait - this.#meanWait);
    const step = (CORRECTION_PER_SECOND * elapsed) / MILLISECONDS_PER_SECOND;
    const error = 1 - this.#meanWait / targetWait;
    this.#waitResponse = WAIT_RESPONSE * Math.max(-MAXIMUM_WAIT_EXCESS, error);
    // With nothing refused, short waits do not show that more could be admitted.
    const goal =
      !this.#isBinding && error > 0
        ? Math.sign(1 - this.#correction) *
          Math.min(step, Math.abs(1 - this.#correction))
        : step * Math.max(-MAXIMUM_WAIT_EXCESS, error);
    this.#correction = Math.min(
      MAXIMUM_CORRECTION,
      Math.max(MINIMUM_CORRECTION, this.#correction + goal),
    );
  }

  /** Finds the threshold below which the demand is what may be admitted per second. */
  #findThreshold(admissible: number): number {
    const demands = this.#demand.getDemands(this.#threshold);
    let remaining = admissible;
    for (const demand of demands) {
      remaining -= demand * PROBE_SHARE;
    }
    let end = 0;
    for (const [importance, demand] of demands.entries()) {
      const beyondProbes = demand * (1 - PROBE_SHARE);
      if (beyondProbes > remaining) {
        this.#isBinding = true;
        const share = Math.max(0, remaining) / beyondProbes;
        const cohorts =
          PROBE_RANKS + share * (RANKS_PER_IMPORTANCE - PROBE_RANKS);
        return Math.max(
          MINIMUM_THRESHOLD,
          importance * RANKS_PER_IMPORTANCE + cohorts,
        );
      }
      remaining -= beyondProbes;
      end = demand > 0 ? (importance + 1) * RANKS_PER_IMPORTANCE : end;
    }
    this.#isBinding = false;
    const freeShare = remaining / Math.max(1, admissible);
    return end + (RANK_COUNT - end) * Math.min(1, freeShare / FREE_SHARE);
  }
}
