/** Limits that protect the daemon itself from overload. */

import type {DaemonHost} from '../DaemonHost.js';
import type {ResultName, Teardown} from 'jackdawcove-shared';

import {
  GUARD_INTERVAL_MILLISECONDS,
  GUARD_SAMPLES,
} from './DataPlaneConstants.js';

/** Limits on the load of one daemon. */
export type GuardLimits = {
  readonly bufferedBytes: number;
  readonly eventLoopDelayMilliseconds: number;
  readonly openCalls: number;
};

/** Refuses new calls while the daemon is at one of its limits. */
export class DaemonGuard {
  readonly #limits: GuardLimits;
  #bufferedBytes = 0;
  #eventLoopDelayMilliseconds = 0;
  #isDraining = false;
  #isReady = false;
  #openCalls = 0;

  constructor(limits: GuardLimits) {
    this.#limits = limits;
  }

  /**
   * Returns the result with which a new call is refused, or undefined. The bytes of the
   * call itself, which are buffered already, do not count.
   *
   * @example
   * guard.findRefusal(false); // 'tooManyOpenCalls'
   */
  findRefusal(isFromLoopback: boolean, ownBytes = 0): ResultName | undefined {
    // Running requests make their own calls until the drain is over.
    if (this.#isDraining && !isFromLoopback) {
      return 'daemonDraining';
    }
    if (!this.#isReady) {
      return 'daemonStarting';
    }
    if (this.#openCalls >= this.#limits.openCalls) {
      return 'tooManyOpenCalls';
    }
    if (this.#bufferedBytes - ownBytes >= this.#limits.bufferedBytes) {
      return 'tooManyBufferedBytes';
    }
    const {eventLoopDelayMilliseconds} = this.#limits;
    return this.#eventLoopDelayMilliseconds > eventLoopDelayMilliseconds
      ? 'daemonOverloaded'
      : undefined;
  }

  /** Number of open calls. */
  getOpenCalls(): number {
    return this.#openCalls;
  }

  /** Bytes of request bodies that are buffered. */
  getBufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** Number of bytes that may still be buffered; negative above the limit. */
  getFreeBytes(): number {
    return this.#limits.bufferedBytes - this.#bufferedBytes;
  }

  /** Delay of the event loop over the last interval, in milliseconds. */
  getEventLoopDelay(): number {
    return this.#eventLoopDelayMilliseconds;
  }

  /** Counts a call as open. */
  openCall(): void {
    this.#openCalls += 1;
  }

  /** Counts a call as closed. */
  closeCall(): void {
    this.#openCalls -= 1;
  }

  /** Adds a number of buffered bytes; a negative number removes them. */
  addBufferedBytes(byteCount: number): void {
    this.#bufferedBytes += byteCount;
  }

  /** Accepts calls from now on. */
  markReady(): void {
    this.#isReady = true;
  }

  /** Refuses calls from now on, except those of the local backend server. */
  markDraining(): void {
    this.#isDraining = true;
  }

  /** Sets the delay of the event loop, in milliseconds. */
  setEventLoopDelay(milliseconds: number): void {
    this.#eventLoopDelayMilliseconds = milliseconds;
  }
}

/**
 * Measures the delay of the event loop, that is, how late a timer fires, for a
 * guard. The reported delay is the smallest of the last three, so that a single
 * long pause does not shed calls.
 *
 * @example
 * const teardown = registerEventLoopMonitor(guard, host);
 */
export function registerEventLoopMonitor(
  guard: DaemonGuard,
  {clock, registerTicker}: Pick<DaemonHost, 'clock' | 'registerTicker'>,
): Teardown {
  let lastTickAt = clock();
  let delays: readonly number[] = [];
  return registerTicker(GUARD_INTERVAL_MILLISECONDS, () => {
    const now = clock();
    const delay = Math.max(0, now - lastTickAt - GUARD_INTERVAL_MILLISECONDS);
    lastTickAt = now;
    delays = [...delays, delay].slice(-GUARD_SAMPLES);
    guard.setEventLoopDelay(
      delays.length < GUARD_SAMPLES ? 0 : Math.min(...delays),
    );
  });
}
