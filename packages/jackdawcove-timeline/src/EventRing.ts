/** Ring buffer of the latest events. */

import type {TimelineEvent} from './TimelineEvent.js';

/** Retains the latest events up to its capacity and drops the oldest ones. */
export class EventRing {
  readonly #capacity: number;
  #dropped = 0;
  readonly #events: TimelineEvent[] = [];
  #next = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Adds an event and drops the oldest one if the ring is full.
   *
   * @example
   * ring.add(event);
   */
  add(event: TimelineEvent): void {
    if (this.#events.length < this.#capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#next] = event;
    this.#next = (this.#next + 1) % this.#capacity;
    this.#dropped += 1;
  }

  /** Returns the number of events dropped so far. */
  getDropped(): number {
    return this.#dropped;
  }

  /** Returns the events from the oldest to the latest. */
  getEvents(): TimelineEvent[] {
    return [
      ...this.#events.slice(this.#next),
      ...this.#events.slice(0, this.#next),
    ];
  }
}
