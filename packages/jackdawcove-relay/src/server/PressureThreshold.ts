/** Shed rank from which requests for an instance are refused at their root. */

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

/** Target wait of an instance with a rate limit, in intervals between two requests. */
const TARGET_WAIT_START_INTERVALS = 2;

/** Weight of the newest window in the moving average of the wait. */
const WAIT_WEIGHT = 0.4;

/** Weight of the newest run in the moving average of the run time. */
const RUN_TIME_WEIGHT = 0.02;

/** Waits of the requests of one importance in one window. */
type ImportanceWaits = {
  count: number;
  total: Milliseconds;
};

function createWaitsByImportance(): readonly ImportanceWaits[] {
  return Array.from({length: RANK_COUNT / RANKS_PER_IMPORTANCE}, () => ({
    count: 0,
    total: 0,
  }));
}

/**
 * Derives a shed threshold from the waits for slots at one instance. It handles a
 * service deep in the call graph that saturates while its callers still have free
 * slots: every answer carries the threshold back, so that requests are refused at
 * their root, before any work is done. Only the waits of the least important
 * requests count, because more important ones overtake them in the queue.
 */
export class PressureThreshold {
  #waitsByImportance = createWaitsByImportance();
  #meanWait: Milliseconds = 0;
  #startInterval: Milliseconds = 0;
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
   * Records how long a request waited, or has waited so far. Requests at or above
   * the threshold are ignored: they were accepted before it fell below their rank. So
   * are those that no threshold refuses, as a lower one does not shorten their waits.
   */
  recordWait(shedRank: number, wait: Milliseconds): void {
    const waits =
      this.#waitsByImportance[Math.floor(shedRank / RANKS_PER_IMPORTANCE)];
    if (
      shedRank >= MINIMUM_THRESHOLD &&
      shedRank < this.#threshold &&
      waits !== undefined
    ) {
      waits.count += 1;
      waits.total += wait;
    }
  }

  /** Refuses nothing from now on; the cause of the waits so far has ended. */
  reset(): void {
    this.#meanWait = 0;
    this.#threshold = RANK_COUNT;
    this.#waitsByImportance = createWaitsByImportance();
  }

  /**
   * Sets the time between two requests that a rate limit imposes; 0: no limit. A queue
   * that keeps the rate in use waits for some of these intervals.
   */
  setStartInterval(interval: Milliseconds): void {
    this.#startInterval = interval;
  }

  /** Records how long a request ran. */
  recordRunTime(runTime: Milliseconds): void {
    this.#meanRunTime += RUN_TIME_WEIGHT * (runTime - this.#meanRunTime);
  }

  /** Adjusts the threshold when a window has ended. */
  tick(now: Milliseconds): void {
    if (now - this.#windowStartedAt < PRESSURE_WINDOW_MILLISECONDS) {
      return;
    }
    const importance = this.#waitsByImportance.findLastIndex(
      ({count}) => count > 0,
    );
    const {count = 0, total = 0} = this.#waitsByImportance[importance] ?? {};
    const wait = count === 0 ? 0 : total / count;
    const isRising = wait >= this.#meanWait;
    this.#meanWait += WAIT_WEIGHT * (wait - this.#meanWait);
    const target = this.#getTargetWait();
    if (this.#meanWait <= target) {
      this.#threshold = Math.min(
        RANK_COUNT,
        this.#threshold + THRESHOLD_RISE_RANKS,
      );
    } else if (isRising && count > 0) {
      // A queue that already shrinks needs time, not a lower threshold.
      this.#lowerThreshold(this.#meanWait / target, importance);
    }
    this.#waitsByImportance = createWaitsByImportance();
    this.#windowStartedAt = now;
  }

  #getTargetWait(): Milliseconds {
    const wait = this.#meanRunTime * TARGET_WAIT_SHARE;
    const capped = Math.min(MAXIMUM_TARGET_WAIT_MILLISECONDS, wait);
    return Math.max(
      MINIMUM_TARGET_WAIT_MILLISECONDS,
      capped,
      this.#startInterval * TARGET_WAIT_START_INTERVALS,
    );
  }

  #lowerThreshold(excess: number, importance: number): void {
    const step = Math.min(
      MAXIMUM_THRESHOLD_FALL_RANKS,
      THRESHOLD_FALL_RANKS * excess,
    );
    // Skips the importances that no request of this window had. Within one, the ranks of
    // a few requests say nothing about the others.
    const start = Math.min(
      this.#threshold,
      (importance + 1) * RANKS_PER_IMPORTANCE,
    );
    this.#threshold = Math.max(MINIMUM_THRESHOLD, start - step);
  }
}
