/** Backend server with slots: a request holds one until it is answered. */

import type {EventLoop} from './EventLoop.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** One request at a fake backend server. */
export type FakeRequest = {
  /** Runs once the request has a slot. */
  readonly start: () => void;
};

const CONTENTION_EXPONENT = 1.5;

/** Slots and a queue without a bound, as a thread pool has. */
export class FakeBackend {
  readonly #loop: EventLoop;
  readonly #parallelism: number;
  #running = 0;
  readonly #slots: number;
  #slowness = 1;
  readonly #waiting: FakeRequest[] = [];

  /** Beyond the parallelism, requests hold each other up. */
  constructor(loop: EventLoop, slots: number, parallelism = slots) {
    this.#loop = loop;
    this.#parallelism = parallelism;
    this.#slots = slots;
  }

  /** Takes a request; it waits when no slot is free. */
  submit(request: FakeRequest): void {
    if (this.#running < this.#slots) {
      this.#running += 1;
      request.start();
      return;
    }
    this.#waiting.push(request);
  }

  /** Removes a request that has not started. */
  remove(request: FakeRequest): boolean {
    const index = this.#waiting.indexOf(request);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
    return index >= 0;
  }

  /** Frees a slot. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#running -= 1;
      return;
    }
    next.start();
  }

  /** Works for a time, longer while the backend server is slow. */
  work(milliseconds: Milliseconds, onDone: () => void): void {
    const excess = Math.max(1, this.#running / this.#parallelism);
    const factor = this.#slowness * excess ** CONTENTION_EXPONENT;
    this.#loop.schedule(milliseconds * factor, onDone);
  }

  /** Makes all further work longer by a factor. */
  setSlowness(factor: number): void {
    this.#slowness = factor;
  }
}
