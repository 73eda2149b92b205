/** Times at which refused callers of an organisation are asked to return. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MAXIMUM_RETURN_DELAY_MILLISECONDS} from './QuotaConstants.js';

/**
 * Gives each refused caller the next free unit, so that callers neither return in
 * step nor compete for one unit. Beyond the longest delay it begins again.
 */
export class ReturnSchedule {
  #nextAt = 0;

  /**
   * Returns the delay of a caller that was refused now.
   *
   * @example
   * schedule.getDelay(share.getDelay(now), share.getInterval(), now);
   */
  getDelay(
    firstDelay: Milliseconds,
    interval: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    const earliestAt =
      now + Math.min(firstDelay, MAXIMUM_RETURN_DELAY_MILLISECONDS);
    const latestAt = now + MAXIMUM_RETURN_DELAY_MILLISECONDS;
    if (this.#nextAt < earliestAt || this.#nextAt > latestAt) {
      this.#nextAt = earliestAt;
    }
    const delay = this.#nextAt - now;
    this.#nextAt += Math.min(interval, MAXIMUM_RETURN_DELAY_MILLISECONDS);
    return Math.max(1, delay);
  }
}
