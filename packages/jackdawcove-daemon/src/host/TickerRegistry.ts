/** Timers of the daemon, all cleared when it stops. */

import type {MonotonicClock, Teardown} from 'jackdawcove-shared';

/** Interval of the timer that the slower tickers share. */
const SHARED_INTERVAL_MILLISECONDS = 50;

type SharedTicker = {
  dueAt: number;
  readonly intervalMilliseconds: number;
  readonly onTick: () => void;
};

/**
 * Calls functions at intervals. Intervals of 50 ms or more share one timer, so
 * that an idle daemon wakes up once for all of them.
 */
export class TickerRegistry {
  readonly #clock: MonotonicClock;
  readonly #dedicatedTimers = new Set<NodeJS.Timeout>();
  readonly #sharedTickers = new Set<SharedTicker>();
  #sharedTimer: NodeJS.Timeout | undefined;

  constructor(clock: MonotonicClock) {
    this.#clock = clock;
  }

  /**
   * Calls a function at an interval, in milliseconds, until the teardown is
   * called.
   *
   * @example
   * const teardown = tickers.register(100, () => membership.tick(clock()));
   */
  register(intervalMilliseconds: number, onTick: () => void): Teardown {
    return intervalMilliseconds < SHARED_INTERVAL_MILLISECONDS
      ? this.#registerDedicated(intervalMilliseconds, onTick)
      : this.#registerShared(intervalMilliseconds, onTick);
  }

  /** Clears every timer. */
  clear(): void {
    for (const timer of this.#dedicatedTimers) {
      clearInterval(timer);
    }
    this.#dedicatedTimers.clear();
    this.#sharedTickers.clear();
    clearInterval(this.#sharedTimer);
  }

  #registerDedicated(
    intervalMilliseconds: number,
    onTick: () => void,
  ): Teardown {
    const timer = setInterval(onTick, intervalMilliseconds);
    this.#dedicatedTimers.add(timer);
    return () => {
      clearInterval(timer);
      this.#dedicatedTimers.delete(timer);
    };
  }

  #registerShared(intervalMilliseconds: number, onTick: () => void): Teardown {
    const dueAt = this.#clock() + intervalMilliseconds;
    const ticker: SharedTicker = {dueAt, intervalMilliseconds, onTick};
    this.#sharedTickers.add(ticker);
    this.#sharedTimer ??= setInterval(() => {
      this.#runDue();
    }, SHARED_INTERVAL_MILLISECONDS);
    return () => {
      this.#sharedTickers.delete(ticker);
    };
  }

  #runDue(): void {
    // Runs a ticker up to half a shared interval early; on the next tick it would
    // be late by at least as much.
    const latestDueAt = this.#clock() + SHARED_INTERVAL_MILLISECONDS / 2;
    for (const ticker of this.#sharedTickers) {
      if (ticker.dueAt <= latestDueAt) {
        ticker.dueAt = Math.max(
          ticker.dueAt,
          latestDueAt - ticker.intervalMilliseconds,
        );
        ticker.dueAt += ticker.intervalMilliseconds;
        ticker.onTick();
      }
    }
  }
}
