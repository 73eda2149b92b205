/** One slice at a ledger member: its group, its records, what is still to be read. */

import type {LedgerGroup, LedgerGroupMember} from './LedgerAssignments.js';
import type {LedgerMessageOf, LedgerRecord} from './LedgerMessages.js';
import type {DaemonName, Incarnation} from 'jackdawcove-shared';

import {LedgerRecords} from './LedgerRecords.js';

/** A seed that has not been read to its end. */
export type PendingRead = {
  readonly cursor: number;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
};

/** One slice at a member. */
export class LedgerSlice {
  readonly records = new LedgerRecords();
  #group: LedgerGroup;
  readonly #incarnation: Incarnation;
  readonly #name: DaemonName;
  #pendingReads: readonly PendingRead[] = [];
  readonly #snapshots = new Map<DaemonName, readonly LedgerRecord[]>();

  constructor(group: LedgerGroup, name: DaemonName, incarnation: Incarnation) {
    this.#group = group;
    this.#incarnation = incarnation;
    this.#name = name;
    this.#planReads();
  }

  /** Takes over a newer group; from then on the older generation is refused. */
  adopt(group: LedgerGroup): void {
    if (group.generation > this.#group.generation) {
      this.#group = group;
      this.#snapshots.clear();
      this.#planReads();
    }
  }

  /**
   * Merges the records of a seed; returns the cursor to read on from.
   *
   * @example
   * const nextCursor = slice.applyRead(answer, 'vm-7');
   */
  applyRead(
    answer: LedgerMessageOf<'readAnswer'>,
    from: DaemonName,
  ): number | undefined {
    const pending = this.#pendingReads.find(({name}) => name === from);
    const isExpected =
      pending?.cursor === answer.cursor &&
      pending.incarnation === answer.incarnation;
    if (!isExpected) {
      return undefined;
    }
    for (const record of answer.records) {
      this.records.merge(record);
    }
    const others = this.#pendingReads.filter(({name}) => name !== from);
    this.#pendingReads =
      answer.nextCursor === undefined
        ? others
        : [...others, {...pending, cursor: answer.nextCursor}];
    return answer.nextCursor;
  }

  /** Returns the records as they were when a reader began. */
  getSnapshot(reader: DaemonName, cursor: number): readonly LedgerRecord[] {
    const known = this.#snapshots.get(reader);
    if (known !== undefined && cursor > 0) {
      return known;
    }
    const snapshot = this.records.getAll();
    this.#snapshots.set(reader, snapshot);
    return snapshot;
  }

  /** Returns the newest group known. */
  getGroup(): LedgerGroup {
    return this.#group;
  }

  /** Returns the seeds that are still to be read. */
  getPendingReads(): readonly PendingRead[] {
    return this.#pendingReads;
  }

  /** Returns whether seeds are still to be read. */
  isReading(): boolean {
    return this.#pendingReads.length > 0;
  }

  /** Returns whether the member had to read for its group and is through. */
  hasFinishedReading(): boolean {
    return this.#mustRead() && !this.isReading();
  }

  /** Returns whether the member answers claims. */
  isServing(): boolean {
    return this.#isIn(this.#group.members) && !this.isReading();
  }

  #isIn(members: readonly LedgerGroupMember[]): boolean {
    return members.some(
      ({incarnation, name}) =>
        name === this.#name && incarnation === this.#incarnation,
    );
  }

  #mustRead(): boolean {
    const {continuing, members} = this.#group;
    return this.#isIn(members) && !continuing.includes(this.#name);
  }

  #planReads(): void {
    this.#pendingReads = this.#mustRead()
      ? this.#group.seeds
          .filter(({name}) => name !== this.#name)
          .map((seed) => ({...seed, cursor: 0}))
      : [];
  }
}
