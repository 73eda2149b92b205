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
const RUN_WEIGHT = 0.02;

/** Waits of one importance in one window. */
type BandWaits = {
  count: number;
  total: Milliseconds;
  worstRank: number;
};

function createBands(): readonly BandWaits[] {
  return Array.from({length: RANK_COUNT / RANKS_PER_IMPORTANCE}, () => ({
    count: 0,
    total: 0,
    worstRank: 0,
  }));
}

/**
 * Follows the waits for slots at one instance. Answers the load of a deep service
 * that saturates while its callers have room: the threshold travels back with the
 * answers, so that requests are refused where they begin, before any work. Only
 * the waits of the least important requests count: the others pass them by.
 */
export class PressureThreshold {
  #bands = createBands();
  #meanWait: Milliseconds = 0;
  #threshold = RANK_COUNT;
  #usualRun: Milliseconds = MAXIMUM_TARGET_WAIT_MILLISECONDS;
  #windowBegan: Milliseconds;

  constructor(now: Milliseconds) {
    this.#windowBegan = now;
  }

  getThreshold(): number {
    return this.#threshold;
  }

  /**
   * Notes how long a request waited, or has waited so far. Those that began before
   * the threshold fell below their rank say nothing of where it is now.
   */
  recordWait(shedRank: number, wait: Milliseconds): void {
    const band = this.#bands[Math.floor(shedRank / RANKS_PER_IMPORTANCE)];
    if (shedRank < this.#threshold && band !== undefined) {
      band.count += 1;
      band.total += wait;
      band.worstRank = Math.max(band.worstRank, shedRank);
    }
  }

  /** Notes how long a request ran. */
  recordRun(run: Milliseconds): void {
    this.#usualRun += RUN_WEIGHT * (run - this.#usualRun);
  }

  /** Judges the waits once a window is over. */
  tick(now: Milliseconds): void {
    if (now - this.#windowBegan < PRESSURE_WINDOW_MILLISECONDS) {
      return;
    }
    const least = this.#bands.findLast(({count}) => count > 0);
    const wait = least === undefined ? 0 : least.total / least.count;
    const isWorse = wait >= this.#meanWait;
    this.#meanWait += WAIT_WEIGHT * (wait - this.#meanWait);
    const target = this.#getTargetWait();
    if (this.#meanWait <= target) {
      this.#threshold = Math.min(
        RANK_COUNT,
        this.#threshold + THRESHOLD_RISE_RANKS,
      );
    } else if (isWorse) {
      // A queue that shrinks already needs time, not a lower threshold.
      this.#fall(this.#meanWait / target, least?.worstRank);
    }
    this.#bands = createBands();
    this.#windowBegan = now;
  }

  #getTargetWait(): Milliseconds {
    const wait = this.#usualRun * TARGET_WAIT_SHARE;
    const longest = Math.min(MAXIMUM_TARGET_WAIT_MILLISECONDS, wait);
    return Math.max(MINIMUM_TARGET_WAIT_MILLISECONDS, longest);
  }

  #fall(excess: number, worstRank = RANK_COUNT): void {
    const step = Math.min(
      MAXIMUM_THRESHOLD_FALL_RANKS,
      THRESHOLD_FALL_RANKS * excess,
    );
    // Ranks that nobody has need no steps of their own.
    const from = Math.min(this.#threshold, worstRank + 1);
    this.#threshold = Math.max(MINIMUM_THRESHOLD, from - step);
  }
}
