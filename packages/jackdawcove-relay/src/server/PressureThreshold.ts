/** The shed rank from which an instance wants no more requests at their roots. */

import type {Milliseconds} from 'jackdawcove-shared';

import {
  MAXIMUM_TARGET_WAIT_MILLISECONDS,
  MAXIMUM_THRESHOLD_FALL_RANKS,
  MINIMUM_TARGET_WAIT_MILLISECONDS,
  MINIMUM_THRESHOLD,
  PRESSURE_WINDOW_MILLISECONDS,
  RANK_COUNT,
  RANKS_PER_IMPORTANCE,
  TARGET_WAIT_SHARE,
  THRESHOLD_FALL_RANKS,
  THRESHOLD_RISE_RANKS,
} from '../RelayConstants.js';

/** Weight of the newest window in the mean wait. */
const WAIT_WEIGHT = 0.4;

/** Weight of the newest run in the usual one. */
const RUN_TIME_WEIGHT = 0.02;

/** Waits of one importance in one window. */
type ImportanceWaits = {
  count: number;
  total: Milliseconds;
  highestRank: number;
};

function createWaitsByImportance(): readonly ImportanceWaits[] {
  return Array.from({length: RANK_COUNT / RANKS_PER_IMPORTANCE}, () => ({
    count: 0,
    highestRank: 0,
    total: 0,
  }));
}

/**
 * Follows the waits for slots at one instance. Answers the load of a deep service
 * that saturates while its callers have room: the threshold travels back with the
 * answers, so that requests are refused where they begin, before any work. Only
 * the waits of the least important requests count: the others pass them by.
 */
export class PressureThreshold {
  #waitsByImportance = createWaitsByImportance();
  #meanWait: Milliseconds = 0;
  #threshold = RANK_COUNT;
  #meanRunTime: Milliseconds = MAXIMUM_TARGET_WAIT_MILLISECONDS;
  #windowStartedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#windowStartedAt = now;
  }

  getThreshold(): number {
    return this.#threshold;
  }

  /**
   * Notes how long a request waited, or has waited so far. Those that began before
   * the threshold fell below their rank say nothing of where it is now.
   */
  recordWait(shedRank: number, wait: Milliseconds): void {
    const waits =
      this.#waitsByImportance[Math.floor(shedRank / RANKS_PER_IMPORTANCE)];
    if (shedRank < this.#threshold && waits !== undefined) {
      waits.count += 1;
      waits.total += wait;
      waits.highestRank = Math.max(waits.highestRank, shedRank);
    }
  }

  /** Notes how long a request ran. */
  recordRunTime(runTime: Milliseconds): void {
    this.#meanRunTime += RUN_TIME_WEIGHT * (runTime - this.#meanRunTime);
  }

  /** Judges the waits once a window is over. */
  tick(now: Milliseconds): void {
    if (now - this.#windowStartedAt < PRESSURE_WINDOW_MILLISECONDS) {
      return;
    }
    const leastImportant = this.#waitsByImportance.findLast(
      ({count}) => count > 0,
    );
    const wait =
      leastImportant === undefined
        ? 0
        : leastImportant.total / leastImportant.count;
    const isRising = wait >= this.#meanWait;
    this.#meanWait += WAIT_WEIGHT * (wait - this.#meanWait);
    const target = this.#getTargetWait();
    if (this.#meanWait <= target) {
      this.#threshold = Math.min(
        RANK_COUNT,
        this.#threshold + THRESHOLD_RISE_RANKS,
      );
    } else if (isRising) {
      // A queue that shrinks already needs time, not a lower threshold.
      this.#lowerThreshold(
        this.#meanWait / target,
        leastImportant?.highestRank,
      );
    }
    this.#waitsByImportance = createWaitsByImportance();
    this.#windowStartedAt = now;
  }

  #getTargetWait(): Milliseconds {
    const wait = this.#meanRunTime * TARGET_WAIT_SHARE;
    const capped = Math.min(MAXIMUM_TARGET_WAIT_MILLISECONDS, wait);
    return Math.max(MINIMUM_TARGET_WAIT_MILLISECONDS, capped);
  }

  #lowerThreshold(excess: number, highestRank = RANK_COUNT): void {
    const step = Math.min(
      MAXIMUM_THRESHOLD_FALL_RANKS,
      THRESHOLD_FALL_RANKS * excess,
    );
    // Ranks that nobody has need no steps of their own.
    const start = Math.min(this.#threshold, highestRank + 1);
    this.#threshold = Math.max(MINIMUM_THRESHOLD, start - step);
  }
}
