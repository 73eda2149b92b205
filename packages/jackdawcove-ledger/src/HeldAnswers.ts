/** Answers kept for resends, up to a total size in bytes. */

import type {KeyIdentifier} from './IdempotencyKey.js';
import type {HeldAnswer} from './LedgerTypes.js';

import {
  MAXIMUM_HELD_ANSWER_BYTES,
  MAXIMUM_HELD_BYTES,
} from './LedgerConstants.js';

function getAnswerBytes({body, headers}: HeldAnswer): number {
  return headers.reduce(
    (bytes, [name, value]) => bytes + name.length + value.length,
    body.byteLength,
  );
}

/** Answers by key; the oldest are evicted first. */
export class HeldAnswers {
  readonly #answers = new Map<KeyIdentifier, HeldAnswer>();
  #bytes = 0;

  /** Stores an answer unless it is too large. */
  add(key: KeyIdentifier, answer: HeldAnswer): void {
    const bytes = getAnswerBytes(answer);
    if (bytes > MAXIMUM_HELD_ANSWER_BYTES) {
      return;
    }
    this.#answers.set(key, answer);
    this.#bytes += bytes;
    for (const oldest of this.#answers.keys()) {
      if (this.#bytes <= MAXIMUM_HELD_BYTES) {
        return;
      }
      this.remove(oldest);
    }
  }

  /** Removes the answer of a key. */
  remove(key: KeyIdentifier): void {
    const answer = this.#answers.get(key);
    if (answer !== undefined) {
      this.#bytes -= getAnswerBytes(answer);
      this.#answers.delete(key);
    }
  }

  /** Returns the answer of a key, or undefined. */
  get(key: KeyIdentifier): HeldAnswer | undefined {
    return this.#answers.get(key);
  }

  /** Returns the total size of the stored answers in bytes. */
  getBytes(): number {
    return this.#bytes;
  }
}
