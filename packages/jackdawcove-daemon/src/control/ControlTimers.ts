/** Timers that follow the clock of the host. */

import type {Milliseconds, MonotonicClock, Teardown} from 'jackdawcove-shared';

type Timer = {
  readonly dueAt: Milliseconds;
  readonly onElapsed: () => void;
};

/**
 * Timers that run on the tick of their owner.
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

  /** Runs a function once after a delay unless cancelled. */
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

  /** Runs the timers whose time has come. */
  tick(): void {
    const now = this.#clock();
    for (const timer of [...this.#timers]) {
      if (timer.dueAt <= now && this.#timers.delete(timer)) {
        timer.onElapsed();
      }
    }
  }
}
