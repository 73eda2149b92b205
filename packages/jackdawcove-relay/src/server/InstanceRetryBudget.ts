/** Share of one instance in the retry budget of its service. */

import type {RetryBudgetOptions} from '../caller/SharedRetryBudget.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {WindowCount} from 'jackdawcove-shared';

/**
 * Share of the budget that is used. Processes that were replaced within a window may
 * have spent as much before they ended.
 */
const SPENT_SHARE = 0.5;

/**
 * Answers lost and failed calls at a service deep in the call graph, most of which few
 * daemons make: a budget that is divided among all daemons of the fleet is not where the
 * calls are. The daemon beside an instance sees every arrival there, so it applies the
 * instance's share exactly and needs no coordination.
 */
export class InstanceRetryBudget {
  readonly #getInstanceCount: () => number;
  /** Highest number of instances in the present window and in the one before. */
  #highestCount = 1;
  readonly #options: RetryBudgetOptions;
  #previousHighestCount = 1;
  readonly #repeats: WindowCount;
  readonly #requests: WindowCount;
  readonly #startedAt: Milliseconds;
  #windowStartedAt: Milliseconds;

  /** `getInstanceCount` returns the number of instances of the service. */
  constructor(
    options: RetryBudgetOptions,
    getInstanceCount: () => number,
    now: Milliseconds,
  ) {
    this.#getInstanceCount = getInstanceCount;
    this.#options = options;
    this.#repeats = new WindowCount(options.windowMilliseconds);
    this.#requests = new WindowCount(options.windowMilliseconds);
    this.#startedAt = now;
    this.#windowStartedAt = now;
  }

  /** Records the first attempt of a caller's request. */
  recordRequest(now: Milliseconds): void {
    this.#requests.increment(now);
  }

  /** Records a repetition that is not decided here, or a call of a repeated run. */
  recordRepeat(now: Milliseconds): void {
    this.#repeats.increment(now);
  }

  /**
   * Spends budget on the repetition of a call; returns false when too little is left.
   *
   * @example
   * if (budget.spend(clock())) run(offer);
   */
  spend(now: Milliseconds): boolean {
    const {ratio, slack, windowMilliseconds} = this.#options;
    const earned = ratio * this.#requests.get(now);
    const share = slack / this.#getHighestCount(now);
    // A process that has just started does not know what the one before it spent.
    const knownShare = Math.min(
      1,
      (now - this.#startedAt) / windowMilliseconds,
    );
    const allowed = (share + earned) * SPENT_SHARE * knownShare;
    if (this.#repeats.get(now) + 1 > allowed) {
      return false;
    }
    this.#repeats.increment(now);
    return true;
  }

  #getHighestCount(now: Milliseconds): number {
    const count = Math.max(1, this.#getInstanceCount());
    if (now - this.#windowStartedAt >= this.#options.windowMilliseconds) {
      this.#previousHighestCount = this.#highestCount;
      this.#highestCount = count;
      this.#windowStartedAt = now;
    }
    this.#highestCount = Math.max(this.#highestCount, count);
    return Math.max(this.#highestCount, this.#previousHighestCount);
  }
}
