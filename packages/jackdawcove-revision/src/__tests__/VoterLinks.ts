/** Connections between simulated voters. */

import type {SimulatedVoter} from './SimulatedVoter.js';

/**
 * Isolated voters and the split of a simulated cluster. Times are in milliseconds.
 *
 * @example
 * links.isolate(voter, now + 1_000);
 * links.areConnected(voter, other, now); // false
 */
export class VoterLinks {
  readonly #isolatedUntil = new Map<SimulatedVoter, number>();
  #splitOff: ReadonlySet<SimulatedVoter> = new Set();
  #splitUntil = 0;

  /** Cuts one voter off from all others. */
  isolate(voter: SimulatedVoter, until: number): void {
    this.#isolatedUntil.set(voter, until);
  }

  /** Cuts a part of the voters off from the others. */
  split(part: readonly SimulatedVoter[], until: number): void {
    this.#splitOff = new Set(part);
    this.#splitUntil = until;
  }

  /** Ends every cut. */
  heal(): void {
    this.#isolatedUntil.clear();
    this.#splitUntil = 0;
  }

  areConnected(
    left: SimulatedVoter,
    right: SimulatedVoter,
    now: number,
  ): boolean {
    const isSplit =
      this.#splitUntil > now &&
      this.#splitOff.has(left) !== this.#splitOff.has(right);
    return (
      left === right ||
      (!isSplit &&
        !this.#isIsolated(left, now) &&
        !this.#isIsolated(right, now))
    );
  }

  #isIsolated(voter: SimulatedVoter, now: number): boolean {
    return (this.#isolatedUntil.get(voter) ?? 0) > now;
  }
}
