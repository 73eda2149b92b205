/** Discrete-event simulation loop. */

import type {Milliseconds} from 'jackdawcove-shared';

type Event = {
  readonly at: Milliseconds;
  readonly order: number;
  readonly run: () => void;
};

/** Runs scheduled functions in order of simulated time, without waiting. */
export class EventLoop {
  readonly #heap: Event[] = [];
  #now: Milliseconds = 0;
  #scheduled = 0;

  /** Runs a function after a delay. */
  schedule(delay: Milliseconds, run: () => void): void {
    this.#scheduled += 1;
    this.#heap.push({at: this.#now + delay, order: this.#scheduled, run});
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all events up to a time. */
  runUntil(end: Milliseconds): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined || first.at > end) {
        this.#now = end;
        return;
      }
      this.#removeFirst();
      this.#now = first.at;
      first.run();
    }
  }

  /** Returns the current simulated time. */
  getNow(): Milliseconds {
    return this.#now;
  }

  #removeFirst(): void {
    const last = this.#heap.pop() as Event;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.#heap.length && this.#isBefore(left, least)) {
        least = left;
      }
      if (right < this.#heap.length && this.#isBefore(right, least)) {
        least = right;
      }
      if (least === index) {
        return;
      }
      this.#swap(index, least);
      index = least;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const first = this.#heap[left] as Event;
    const second = this.#heap[right] as Event;
    return first.at === second.at
      ? first.order < second.order
      : first.at < second.at;
  }

  #swap(left: number, right: number): void {
    const previous = this.#heap[left] as Event;
    this.#heap[left] = this.#heap[right] as Event;
    this.#heap[right] = previous;
  }
}
