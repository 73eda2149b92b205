/** Order in which a daemon handles what it read late. */

import type {Milliseconds, MonotonicClock} from 'jackdawcove-shared';

import {
  BUSY_TICK_MILLISECONDS,
  MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS,
} from './RelayConstants.js';

/** Dependencies of an order of arrivals. */
export type ArrivalOrderOptions<Arrival> = {
  readonly clock: MonotonicClock;
  readonly onArrival: (arrival: Arrival) => void;
  /** Called after late arrivals were handled. */
  readonly onHandled: () => void;
};

/**
 * A daemon that was paused or is lagging reads requests late, when their callers may
 * have left. That is read one iteration of the event loop after the request, so a late
 * request is handled only once everything that had arrived has been read.
 *
 * The event loop accepts one connection an iteration. While it does, others may have
 * been waiting for long, and are accepted before the requests that were read are handled.
 */
export class ArrivalOrder<Arrival> {
  #connectionCount = 0;
  #isAccepting = false;
  /** Undefined until something was read in the current iteration of the event loop. */
  #iterationStartedAt: Milliseconds | undefined;
  #isTickPunctual = false;
  #lastActiveAt: Milliseconds = 0;
  #late: Arrival[] = [];
  /** Time since when the first of the late arrivals has waited. */
  #lateSince: Milliseconds = 0;
  #lastTickAt: Milliseconds = 0;
  readonly #options: ArrivalOrderOptions<Arrival>;

  constructor(options: ArrivalOrderOptions<Arrival>) {
    this.#options = options;
  }

  /** Records a tick; a late tick shows that the event loop is delayed. */
  recordTick(): void {
    const now = this.#options.clock();
    this.#isTickPunctual =
      now - this.#lastTickAt <=
      BUSY_TICK_MILLISECONDS + MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS;
    this.#lastTickAt = now;
    this.#lastActiveAt = now;
  }

  /** Records that a connection was accepted. */
  recordConnection(): void {
    this.#isAccepting = true;
    this.#connectionCount += 1;
    const count = this.#connectionCount;
    afterPendingReads(() => {
      if (this.#connectionCount === count) {
        this.#isAccepting = false;
      }
    });
  }

  /**
   * Handles an arrival now if it was read in time, else after pending reads.
   *
   * @example
   * order.add({body, exchange, head});
   */
  add(arrival: Arrival): void {
    if (this.#isPunctual() && this.#late.length === 0) {
      this.#options.onArrival(arrival);
      return;
    }
    this.#late.push(arrival);
    if (this.#late.length === 1) {
      this.#lateSince = this.#lastActiveAt;
      this.#scheduleLate();
    }
  }

  /** Also false late in a long iteration: what it reads then may have arrived early in it. */
  #isPunctual(): boolean {
    const now = this.#options.clock();
    const idleMilliseconds = now - this.#lastActiveAt;
    this.#lastActiveAt = now;
    const startedAt = this.#getIterationStart(now);
    return (
      this.#isTickPunctual &&
      !this.#isAccepting &&
      Math.max(idleMilliseconds, now - startedAt) <=
        MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS
    );
  }

  #getIterationStart(now: Milliseconds): Milliseconds {
    if (this.#iterationStartedAt === undefined) {
      this.#iterationStartedAt = now;
      setImmediate(() => {
        this.#iterationStartedAt = undefined;
      });
    }
    return this.#iterationStartedAt;
  }

  #scheduleLate(): void {
    afterPendingReads(() => {
      this.#handleLate();
    });
  }

  /** Reads again before it goes on, when handling what was late takes long itself. */
  #handleLate(): void {
    const {clock, onArrival, onHandled} = this.#options;
    const startedAt = clock();
    const isAwaited =
      startedAt - this.#lateSince <= MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS;
    if (this.#isAccepting && isAwaited) {
      this.#scheduleLate();
      return;
    }
    const late = this.#late;
    let count = 0;
    for (const arrival of late) {
      if (clock() - startedAt > MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS) {
        break;
      }
      onArrival(arrival);
      count += 1;
    }
    this.#late = late.slice(count);
    this.#lateSince = clock();
    if (this.#late.length > 0) {
      this.#scheduleLate();
    }
    onHandled();
  }
}

/**
 * Calls back once the event loop has read what had arrived, and reported which
 * connections had ended, by now.
 */
export function afterPendingReads(onRead: () => void): void {
  setImmediate(() => {
    setImmediate(onRead);
  });
}
