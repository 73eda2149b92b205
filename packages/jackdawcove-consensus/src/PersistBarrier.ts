/** Defers effects until the writes that they depend on are durable. */

import type {LogEnd, RaftEffect} from './RaftTypes.js';

type PendingPersist = {
  readonly deferred: RaftEffect[];
  readonly end: LogEnd;
  readonly number: number;
};

/** Durable end of the log and the effects that were deferred until then. */
export type ReleasedPersist = {
  readonly effects: readonly RaftEffect[];
  /** End of the log when the newest released persist began. */
  readonly end: LogEnd | undefined;
};

/**
 * Numbers persist effects and defers later effects until the persist completes.
 *
 * @example
 * const number = barrier.begin({lastIndex: 4, lastTerm: 2});
 * barrier.defer(effect);
 * barrier.release(number).effects; // [effect]
 */
export class PersistBarrier {
  #nextNumber = 1;
  #pending: PendingPersist[] = [];

  /** Begins a persist of the log up to the given end and returns its number. */
  begin(end: LogEnd): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    this.#pending.push({deferred: [], end, number});
    return number;
  }

  /** Defers an effect until the newest persist; false when none is pending. */
  defer(effect: RaftEffect): boolean {
    const newest = this.#pending.at(-1);
    newest?.deferred.push(effect);
    return newest !== undefined;
  }

  /** Releases the effects deferred until the persist with this number or before. */
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
