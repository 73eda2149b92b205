/** Choice of the aggregator that a daemon reports to. */

import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {
  AGGREGATOR_AVOIDANCE_MILLISECONDS,
  AGGREGATOR_TIMEOUT_MILLISECONDS,
} from './QuotaConstants.js';
import {selectAggregator} from './selectAggregator.js';

/** Passes over an aggregator that does not answer, before the view shows it. */
export class AggregatorChoice {
  #avoided: DaemonName | undefined;
  #avoidedUntil: Milliseconds = 0;
  #chosen: DaemonName | undefined;
  #waitingSince: Milliseconds | undefined;

  /**
   * Returns the daemon that the next report goes to.
   *
   * @example
   * const aggregator = choice.choose(reachableDaemonsOfZone, clock());
   */
  choose(
    candidates: readonly DaemonName[],
    now: Milliseconds,
  ): DaemonName | undefined {
    if (
      this.#waitingSince !== undefined &&
      now - this.#waitingSince > AGGREGATOR_TIMEOUT_MILLISECONDS
    ) {
      this.#avoided = this.#chosen;
      this.#avoidedUntil = now + AGGREGATOR_AVOIDANCE_MILLISECONDS;
      this.#waitingSince = undefined;
    }
    if (now >= this.#avoidedUntil) {
      this.#avoided = undefined;
    }
    const others = candidates.filter((name) => name !== this.#avoided);
    const chosen = selectAggregator(others.length > 0 ? others : candidates);
    if (chosen !== this.#chosen) {
      this.#chosen = chosen;
      this.#waitingSince = undefined;
    }
    this.#waitingSince ??= now;
    return chosen;
  }

  /** Records an answer; returns whether it is from the chosen aggregator. */
  recordAnswer(from: DaemonName): boolean {
    if (from !== this.#chosen) {
      return false;
    }
    this.#waitingSince = undefined;
    return true;
  }
}
