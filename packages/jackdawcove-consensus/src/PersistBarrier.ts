/** Holds effects until what they depend on is durable. */

import type {LogEnd, RaftEffect} from './RaftTypes.js';

type PendingPersist = {
  readonly end: LogEnd;
  readonly deferred: RaftEffect[];
  readonly number: number;
};

/** What became durable, and the effects that waited for it. */
export type ReleasedPersist = {
  readonly effects: readonly RaftEffect[];
  /** End of the log that is durable now, if it is still the log's. */
  readonly end: LogEnd | undefined;
};

/**
 * Numbers persist effects and holds later effects until they are answered.
 *
 * @example
 * const number = barrier.begin({lastIndex: 4, lastTerm: 2});
 * barrier.defer(effect);
 * barrier.release(number).effects; // [effect]
 */
export class PersistBarrier {
  #nextNumber = 1;
  #pending: PendingPersist[] = [];

  /** Starts a persist of the log up to its end and returns its number. */
  begin(end: LogEnd): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    this.#pending.push({deferred: [], end, number});
    return number;
  }

  /** Holds an effect for the newest persist; false when none is pending. */
  defer(effect: RaftEffect): boolean {
    const newest = this.#pending.at(-1);
    newest?.deferred.push(effect);
    return newest !== undefined;
  }

  /** Releases everything up to a persist. */
  release(number: number): ReleasedPersist {
    const released = this.#pending.filter(
      (persist) => persist.number <= number,
    );
    this.#pending = this.#pending.filter((persist) => persist.number > number);
    return {
      effects: released.flatMap(({deferred}) => deferred),
      end: released.at(-1)?.end,
    };
  }
}
