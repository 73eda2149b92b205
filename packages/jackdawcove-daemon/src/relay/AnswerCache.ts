/** Answers that were sent, kept for callers whose session may have been lost. */

import type {RelayPacket} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  CACHED_ANSWER_OVERHEAD_BYTES,
  CACHED_ANSWER_RETENTION_MILLISECONDS,
  MAXIMUM_CACHED_ANSWER_BYTES,
} from './RelayConstants.js';

type CachedAnswer = {
  readonly byteCount: number;
  readonly expiresAt: Milliseconds;
  readonly packets: readonly RelayPacket[];
};

function countBytes(packets: readonly RelayPacket[]): number {
  let byteCount = CACHED_ANSWER_OVERHEAD_BYTES;
  for (const packet of packets) {
    byteCount += packet.kind === 'answer' ? packet.body.length : 0;
  }
  return byteCount;
}

/** Keeps the newest answers, bounded by age and total size. */
export class AnswerCache {
  readonly #answers = new Map<string, CachedAnswer>();
  #byteCount = 0;

  add(key: string, packets: readonly RelayPacket[], now: Milliseconds): void {
    const byteCount = countBytes(packets);
    const expiresAt = now + CACHED_ANSWER_RETENTION_MILLISECONDS;
    this.#answers.set(key, {byteCount, expiresAt, packets});
    this.#byteCount += byteCount;
    if (this.#byteCount > MAXIMUM_CACHED_ANSWER_BYTES) {
      this.#evictWhile(() => this.#byteCount > MAXIMUM_CACHED_ANSWER_BYTES);
    }
  }

  get(key: string): readonly RelayPacket[] | undefined {
    return this.#answers.get(key)?.packets;
  }

  expire(now: Milliseconds): void {
    this.#evictWhile(({expiresAt}) => expiresAt <= now);
  }

  /** Evicts the oldest answers for as long as the condition holds. */
  #evictWhile(isEvicted: (answer: CachedAnswer) => boolean): void {
    for (const [key, answer] of this.#answers) {
      if (!isEvicted(answer)) {
        return;
      }
      this.#answers.delete(key);
      this.#byteCount -= answer.byteCount;
    }
  }
}
