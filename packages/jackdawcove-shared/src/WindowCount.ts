/** Count of the events in a sliding window. */

import type {Milliseconds} from './Time.js';

/** Slots that a window is divided into. */
const WINDOW_SLOTS = 10;

/**
 * Counts events in the last window, to the slot: an event leaves the count at most
 * one slot late.
 */
export class WindowCount {
  readonly #counts = new Uint32Array(WINDOW_SLOTS + 1);
  #slot = 0;
  readonly #slotMilliseconds: Milliseconds;
  #total = 0;

  constructor(windowMilliseconds: Milliseconds) {
    this.#slotMilliseconds = windowMilliseconds / WINDOW_SLOTS;
  }

  /** Returns the number of events in the window that ends now. */
  get(now: Milliseconds): number {
    this.#advance(now);
    return this.#total;
  }

  increment(now: Milliseconds): void {
    this.#advance(now);
    const index = this.#slot % this.#counts.length;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#total += 1;
  }

  /** Takes back an event of the current slot, if there is one. */
  decrement(now: Milliseconds): void {
    this.#advance(now);
    const index = this.#slot % this.#counts.length;
    const count = this.#counts[index] ?? 0;
    if (count > 0) {
      this.#counts[index] = count - 1;
      this.#total -= 1;
    }
  }

  #advance(now: Milliseconds): void {
    const slot = Math.floor(now / this.#slotMilliseconds);
    if (slot - this.#slot > WINDOW_SLOTS) {
      this.#counts.fill(0);
      this.#total = 0;
      this.#slot = slot;
      return;
    }
    while (this.#slot < slot) {
      this.#slot += 1;
      const index = this.#slot % this.#counts.length;
      this.#total -= this.#counts[index] ?? 0;
      this.#counts[index] = 0;
    }
  }
}
