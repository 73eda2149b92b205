/**
 * Ticks of the call path: frequent while calls are open, infrequent otherwise.
 */

import type {RegisterTicker} from '../DaemonHost.js';
import type {Teardown} from 'jackdawcove-shared';

/** Dependencies and intervals of the call path's ticks. */
export type CallTickerOptions = {
  readonly busyIntervalMilliseconds: number;
  readonly hasOpenCalls: () => boolean;
  readonly idleIntervalMilliseconds: number;
  readonly onTick: () => void;
  readonly registerTicker: RegisterTicker;
};

/**
 * Switches between the busy and the idle interval, so that an idle daemon wakes
 * up a few times a second instead of a hundred times.
 */
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

  /** Ticks at the busy interval until no call is open. */
  wake(): void {
    if (this.#removeBusy !== undefined) {
      return;
    }
    const {busyIntervalMilliseconds, registerTicker} = this.#options;
    this.#removeBusy = registerTicker(busyIntervalMilliseconds, () => {
      this.#tickBusy();
    });
  }

  /** Stops all ticks. */
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
