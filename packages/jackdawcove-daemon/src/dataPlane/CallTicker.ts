/** Ticks of the call path: frequent while calls are open, rare otherwise. */

import type {RegisterTicker} from '../DaemonHost.js';
import type {Teardown} from 'jackdawcove-shared';

/** What the call path's ticks are wired to. */
export type CallTickerOptions = {
  readonly busyIntervalMilliseconds: number;
  readonly hasOpenCalls: () => boolean;
  readonly idleIntervalMilliseconds: number;
  readonly onTick: () => void;
  readonly registerTicker: RegisterTicker;
};

/** An idle daemon wakes up a few times a second, not a hundred times. */
export class CallTicker {
  readonly #options: CallTickerOptions;
  #removeBusy: Teardown | undefined;
  readonly #removeIdle: Teardown;

  constructor(options: CallTickerOptions) {
    this.#options = options;
    this.#removeIdle = options.registerTicker(
      options.idleIntervalMilliseconds,
      options.onTick,
    );
  }

  /** Ticks often from now on, until no call is open. */
  wake(): void {
    if (this.#removeBusy !== undefined) {
      return;
    }
    const {busyIntervalMilliseconds, registerTicker} = this.#options;
    this.#removeBusy = registerTicker(busyIntervalMilliseconds, () => {
      this.#tickBusy();
    });
  }

  /** Ticks no more. */
  stop(): void {
    this.#removeIdle();
    this.#removeBusy?.();
  }

  #tickBusy(): void {
    this.#options.onTick();
    if (!this.#options.hasOpenCalls()) {
      this.#removeBusy?.();
      this.#removeBusy = undefined;
    }
  }
}
