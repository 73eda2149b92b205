/** The shed rank from which an instance wants no more requests at their roots. */

import type {Milliseconds} from 'jackdawcove-shared';

import {
  MAXIMUM_THRESHOLD_FALL_RANKS,
  MINIMUM_THRESHOLD,
  PRESSURE_WINDOW_MILLISECONDS,
  RANK_END,
  TARGET_WAIT_MILLISECONDS,
  THRESHOLD_FALL_RANKS,
  THRESHOLD_RISE_RANKS,
} from '../RelayConstants.js';

/** Weight of the newest window in the mean wait. */
const WAIT_WEIGHT = 0.4;

/**
 * Follows the waits for slots at one instance. Answers the load of a deep service
 * that saturates while its callers have room: the threshold travels back with the
 * answers, so that requests are refused where they begin, before any work.
 */
export class PressureThreshold {
  #meanWait: Milliseconds = 0;
  #threshold = RANK_END;
  #waitCount = 0;
  #waits: Milliseconds = 0;
  #windowBegan: Milliseconds;
  #worstRank = 0;

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
    if (shedRank >= this.#threshold) {
      return;
    }
    this.#waitCount += 1;
    this.#waits += wait;
    this.#worstRank = Math.max(this.#worstRank, shedRank);
  }

  /** Judges the waits once a window is over. */
  tick(now: Milliseconds): void {
    if (now - this.#windowBegan < PRESSURE_WINDOW_MILLISECONDS) {
      return;
    }
    const wait = this.#waitCount === 0 ? 0 : this.#waits / this.#waitCount;
    const isWorse = wait >= this.#meanWait;
    this.#meanWait += WAIT_WEIGHT * (wait - this.#meanWait);
    if (this.#meanWait > TARGET_WAIT_MILLISECONDS) {
      // A queue that shrinks already needs time, not a lower threshold.
      if (isWorse) {
        this.#fall(this.#meanWait / TARGET_WAIT_MILLISECONDS);
      }
    } else {
      this.#threshold = Math.min(
        RANK_END,
        this.#threshold + THRESHOLD_RISE_RANKS,
      );
    }
    this.#waitCount = 0;
    this.#waits = 0;
    this.#windowBegan = now;
    this.#worstRank = 0;
  }

  #fall(excess: number): void {
    const step = Math.min(
      MAXIMUM_THRESHOLD_FALL_RANKS,
      THRESHOLD_FALL_RANKS * excess,
    );
    // Ranks that nobody has need no steps of their own.
    const from = Math.min(this.#threshold, this.#worstRank + 1);
    this.#threshold = Math.max(MINIMUM_THRESHOLD, from - step);
  }
}
