/** Answers held for resends, bounded in bytes. */

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

/** Held answers by key; the oldest are evicted first. */
export class HeldAnswers {
  readonly #answers = new Map<KeyIdentifier, HeldAnswer>();
  #bytes = 0;

  /** Holds an answer unless it is too large. */
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

  /** Returns the bytes held. */
  getBytes(): number {
    return this.#bytes;
  }
}
