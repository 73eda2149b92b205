/** Keys that are remembered for as long as a late or repeated packet may name them. */

import type {Milliseconds} from 'jackdawcove-shared';

import {ATTEMPT_RETENTION_MILLISECONDS} from './RelayConstants.js';

/** Forgets each key some time after it was added. */
export class RecentKeys {
  /** Times when the keys were added; oldest first. */
  readonly #addedAt = new Map<string, Milliseconds>();

  add(key: string, now: Milliseconds): void {
    this.#addedAt.set(key, now);
  }

  delete(key: string): void {
    this.#addedAt.delete(key);
  }

  has(key: string): boolean {
    return this.#addedAt.has(key);
  }

  /** Forgets the keys that were added too long ago. */
  expire(now: Milliseconds): void {
    for (const [key, addedAt] of this.#addedAt) {
      if (now - addedAt <= ATTEMPT_RETENTION_MILLISECONDS) {
        return;
      }
      this.#addedAt.delete(key);
    }
  }
}
