/** Queue of requests that wait for a slot, ordered strictly by priority. */

import type {Importance, Milliseconds} from 'jackdawcove-shared';

/** A request for admission. */
export type AdmissionRequest = {
  /** Point in time from which the request is no longer worth running. */
  readonly deadline: Milliseconds;
  readonly identifier: string;
  readonly importance: Importance;
  /** True when the request has to run alone. */
  readonly isExclusive: boolean;
  /** Rank of the importance plus the cohort. */
  readonly priority: number;
};

/** A request in the queue. */
export type QueueEntry = {
  readonly enqueuedAt: Milliseconds;
  readonly request: AdmissionRequest;
};

/** Queue with the highest priority first; equal priorities are first in, first out. */
export class AdmissionQueue {
  #entries: QueueEntry[] = [];

  /** Inserts an entry behind all entries of the same or a higher priority. */
  add(entry: QueueEntry): void {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.#entries[middle] as QueueEntry;
      if (other.request.priority >= entry.request.priority) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#entries.splice(low, 0, entry);
  }

  /** Removes and returns the entry with the highest priority. */
  takeFirst(): QueueEntry | undefined {
    return this.#entries.shift();
  }

  /** Removes and returns the entry with the lowest priority. */
  takeLast(): QueueEntry | undefined {
    return this.#entries.pop();
  }

  /** Removes and returns all entries that match the predicate. */
  takeWhere(isTaken: (entry: QueueEntry) => boolean): readonly QueueEntry[] {
    const taken = this.#entries.filter(isTaken);
    if (taken.length > 0) {
      this.#entries = this.#entries.filter((entry) => !taken.includes(entry));
    }
    return taken;
  }

  /** Returns the entry with the lowest priority. */
  getLast(): QueueEntry | undefined {
    return this.#entries.at(-1);
  }

  /** Number of entries. */
  getLength(): number {
    return this.#entries.length;
  }
}
