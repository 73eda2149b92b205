/** Holds effects until what they depend on is durable. */

import type {LogEnd, RaftEffect} from './RaftTypes.js';

type PendingPersist = {
  readonly end: LogEnd;
  readonly held: RaftEffect[];
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
 * const number = gate.open({lastIndex: 4, lastTerm: 2});
 * gate.hold(effect);
 * gate.release(number).effects; // [effect]
 */
export class PersistGate {
  #nextNumber = 1;
  #pending: PendingPersist[] = [];

  /** Starts a persist of the log up to its end and returns its number. */
  open(end: LogEnd): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    this.#pending.push({end, held: [], number});
    return number;
  }

  /** Holds an effect for the newest persist; false when none is pending. */
  hold(effect: RaftEffect): boolean {
    const newest = this.#pending.at(-1);
    newest?.held.push(effect);
    return newest !== undefined;
  }

  /** Releases everything up to a persist. */
  release(number: number): ReleasedPersist {
    const released = this.#pending.filter(
      (persist) => persist.number <= number,
    );
    this.#pending = this.#pending.filter((persist) => persist.number > number);
    return {
      effects: released.flatMap(({held}) => held),
      end: released.at(-1)?.end,
    };
  }
}
