/** Timers of the daemon, all cleared when it stops. */

import type {MonotonicClock, Teardown} from 'jackdawcove-shared';

/** Tickers with this interval or a longer one share a timer. */
const MINIMUM_SHARED_INTERVAL_MILLISECONDS = 50;

type SharedTicker = {
  dueAt: number;
  readonly intervalMilliseconds: number;
  readonly onTick: () => void;
};

/**
 * Calls functions at intervals. Intervals of 50 ms or more share one timer, so
 * that an idle daemon wakes up once for all of them, as often as the shortest of
 * them needs.
 */
export class TickerRegistry {
  readonly #clock: MonotonicClock;
  readonly #dedicatedTimers = new Set<NodeJS.Timeout>();
  #sharedInterval = Number.POSITIVE_INFINITY;
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
    return intervalMilliseconds < MINIMUM_SHARED_INTERVAL_MILLISECONDS
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
    this.#adjustSharedTimer();
    return () => {
      this.#sharedTickers.delete(ticker);
      this.#adjustSharedTimer();
    };
  }

  #adjustSharedTimer(): void {
    const interval = Math.min(
      ...[...this.#sharedTickers].map(
        ({intervalMilliseconds}) => intervalMilliseconds,
      ),
    );
    if (interval === this.#sharedInterval) {
      return;
    }
    clearInterval(this.#sharedTimer);
    this.#sharedInterval = interval;
    this.#sharedTimer = Number.isFinite(interval)
      ? setInterval(() => {
          this.#runDue();
        }, interval)
      : undefined;
  }

  #runDue(): void {
    // Runs a ticker up to half a shared interval early; on the next tick it would
    // be late by at least as much.
    const latestDueAt = this.#clock() + this.#sharedInterval / 2;
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
