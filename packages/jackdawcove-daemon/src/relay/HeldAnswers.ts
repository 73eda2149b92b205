/** Answers that have been sent, for callers whose session was lost meanwhile. */

import type {RelayPacket} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {HELD_ANSWER_BYTES, HELD_ANSWER_MILLISECONDS} from './RelayConstants.js';

type HeldAnswer = {
  readonly byteCount: number;
  readonly expiresAt: Milliseconds;
  readonly packets: readonly RelayPacket[];
};

function countBytes(packets: readonly RelayPacket[]): number {
  let byteCount = 0;
  for (const packet of packets) {
    byteCount += packet.kind === 'answer' ? packet.body.length : 0;
  }
  return byteCount;
}

/** Holds the newest answers, bounded in time and bytes. */
export class HeldAnswers {
  readonly #answers = new Map<string, HeldAnswer>();
  #byteCount = 0;

  add(key: string, packets: readonly RelayPacket[], now: Milliseconds): void {
    const byteCount = countBytes(packets);
    const expiresAt = now + HELD_ANSWER_MILLISECONDS;
    this.#answers.set(key, {byteCount, expiresAt, packets});
    this.#byteCount += byteCount;
    if (this.#byteCount > HELD_ANSWER_BYTES) {
      this.#dropWhile(() => this.#byteCount > HELD_ANSWER_BYTES);
    }
  }

  get(key: string): readonly RelayPacket[] | undefined {
    return this.#answers.get(key)?.packets;
  }

  expire(now: Milliseconds): void {
    this.#dropWhile(({expiresAt}) => expiresAt <= now);
  }

  /** Drops from the oldest on. */
  #dropWhile(isDropped: (answer: HeldAnswer) => boolean): void {
    for (const [key, answer] of this.#answers) {
      if (!isDropped(answer)) {
        return;
      }
      this.#answers.delete(key);
      this.#byteCount -= answer.byteCount;
    }
  }
}
