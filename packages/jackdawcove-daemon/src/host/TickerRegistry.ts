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
  readonly #ownTimers = new Set<NodeJS.Timeout>();
  readonly #shared = new Set<SharedTicker>();
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
      ? this.#registerOwn(intervalMilliseconds, onTick)
      : this.#registerShared(intervalMilliseconds, onTick);
  }

  /** Clears every timer. */
  clear(): void {
    for (const timer of this.#ownTimers) {
      clearInterval(timer);
    }
    this.#ownTimers.clear();
    this.#shared.clear();
    clearInterval(this.#sharedTimer);
  }

  #registerOwn(intervalMilliseconds: number, onTick: () => void): Teardown {
    const timer = setInterval(onTick, intervalMilliseconds);
    this.#ownTimers.add(timer);
    return () => {
      clearInterval(timer);
      this.#ownTimers.delete(timer);
    };
  }

  #registerShared(intervalMilliseconds: number, onTick: () => void): Teardown {
    const dueAt = this.#clock() + intervalMilliseconds;
    const ticker: SharedTicker = {dueAt, intervalMilliseconds, onTick};
    this.#shared.add(ticker);
    this.#sharedTimer ??= setInterval(() => {
      this.#runDue();
    }, SHARED_INTERVAL_MILLISECONDS);
    return () => {
      this.#shared.delete(ticker);
    };
  }

  #runDue(): void {
    // Half an interval early beats half an interval late.
    const limit = this.#clock() + SHARED_INTERVAL_MILLISECONDS / 2;
    for (const ticker of this.#shared) {
      if (ticker.dueAt <= limit) {
        ticker.dueAt = Math.max(
          ticker.dueAt,
          limit - ticker.intervalMilliseconds,
        );
        ticker.dueAt += ticker.intervalMilliseconds;
        ticker.onTick();
      }
    }
  }
}
