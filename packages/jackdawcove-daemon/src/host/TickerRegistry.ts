/** Timers of the daemon, all cleared at its stop. */

import type {Teardown} from 'jackdawcove-shared';

/** Runs functions at intervals. */
export class TickerRegistry {
  readonly #timers = new Set<NodeJS.Timeout>();

  /**
   * Runs a function every interval, in milliseconds, until the teardown.
   *
   * @example
   * const teardown = tickers.register(100, () => membership.tick(clock()));
   */
  register(intervalMilliseconds: number, onTick: () => void): Teardown {
    const timer = setInterval(onTick, intervalMilliseconds);
    this.#timers.add(timer);
    return () => {
      clearInterval(timer);
      this.#timers.delete(timer);
    };
  }

  /** Clears every timer. */
  clear(): void {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
    this.#timers.clear();
  }
}
