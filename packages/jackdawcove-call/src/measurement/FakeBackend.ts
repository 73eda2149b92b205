/** Backend server with slots: a request occupies one until it is answered. */

import type {EventLoop} from './EventLoop.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** One request at a fake backend server. */
export type FakeRequest = {
  /** Runs once the request has a slot. */
  readonly start: () => void;
};

const CONTENTION_EXPONENT = 1.5;

/** Slots and an unbounded queue, like a thread pool. */
export class FakeBackend {
  readonly #loop: EventLoop;
  readonly #parallelism: number;
  #running = 0;
  readonly #slots: number;
  #slowness = 1;
  readonly #waiting: FakeRequest[] = [];

  /** Requests beyond the parallelism slow all requests down by contention. */
  constructor(loop: EventLoop, slots: number, parallelism = slots) {
    this.#loop = loop;
    this.#parallelism = parallelism;
    this.#slots = slots;
  }

  /** Starts a request, or queues it if no slot is free. */
  submit(request: FakeRequest): void {
    if (this.#running < this.#slots) {
      this.#running += 1;
      request.start();
      return;
    }
    this.#waiting.push(request);
  }

  /** Removes a queued request; returns false if it is not queued. */
  remove(request: FakeRequest): boolean {
    const index = this.#waiting.indexOf(request);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
    return index >= 0;
  }

  /** Frees a slot and starts the next queued request in it. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#running -= 1;
      return;
    }
    next.start();
  }

  /** Simulates work, which takes longer under contention or a slowdown. */
  work(milliseconds: Milliseconds, onDone: () => void): void {
    const excess = Math.max(1, this.#running / this.#parallelism);
    const factor = this.#slowness * excess ** CONTENTION_EXPONENT;
    this.#loop.schedule(milliseconds * factor, onDone);
  }

  /** Multiplies the duration of all further work by a factor. */
  setSlowness(factor: number): void {
    this.#slowness = factor;
  }
}
