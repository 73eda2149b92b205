/** Timers of the control subsystem. */

import type {Milliseconds, MonotonicClock, Teardown} from 'jackdawcove-shared';

type Timer = {
  readonly dueAt: Milliseconds;
  readonly onElapsed: () => void;
};

/**
 * Timers that fire when their owner calls `tick`.
 *
 * @example
 * const cancel = timers.schedule(800, onTimeout);
 * timers.tick();
 */
export class ControlTimers {
  readonly #clock: MonotonicClock;
  #timers = new Set<Timer>();

  constructor(clock: MonotonicClock) {
    this.#clock = clock;
  }

  /** Calls a function once after a delay; the teardown cancels it. */
  schedule(delay: Milliseconds, onElapsed: () => void): Teardown {
    const timer = {dueAt: this.#clock() + delay, onElapsed};
    this.#timers.add(timer);
    return () => {
      this.#timers.delete(timer);
    };
  }

  /** Resolves after a delay. */
  sleep(delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(delay, resolve);
    });
  }

  /** Fires the timers that are due. */
  tick(): void {
    const now = this.#clock();
    for (const timer of [...this.#timers]) {
      if (timer.dueAt <= now && this.#timers.delete(timer)) {
        timer.onElapsed();
      }
    }
  }
}
