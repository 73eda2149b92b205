/** Timers of the daemon, all cleared at its stop. */

import type {MonotonicClock, Teardown} from 'jackdawcove-shared';

/** Interval of the timer that the slower tickers share. */
const SHARED_INTERVAL_MILLISECONDS = 50;

type SharedTicker = {
  dueAt: number;
  readonly intervalMilliseconds: number;
  readonly onTick: () => void;
};

/**
 * Runs functions at intervals. Those of 50 ms and more share one timer, so that
 * an idle daemon wakes up for all of them at once.
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
   * Runs a function every interval, in milliseconds, until the teardown.
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
    // Half an interval early beats half an interval late.
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
