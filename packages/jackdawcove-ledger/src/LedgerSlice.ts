/**
 * State of one slice at a ledger member: its group, its records and its pending
 * reads.
 */

import type {LedgerGroup, LedgerGroupMember} from './LedgerAssignments.js';
import type {LedgerMessageOf, LedgerRecord} from './LedgerMessages.js';
import type {DaemonName, Incarnation} from 'jackdawcove-shared';

import {LedgerRecords} from './LedgerRecords.js';

/** A seed whose records have not all been read yet. */
export type PendingRead = {
  readonly cursor: number;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
};

/** State of one slice at a ledger member. */
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

  /**
   * Adopts a newer group; claims under the older generation are not
   * acknowledged any more.
   */
  adopt(group: LedgerGroup): void {
    if (group.generation > this.#group.generation) {
      this.#group = group;
      this.#snapshots.clear();
      this.#planReads();
    }
  }

  /**
   * Merges the records of a seed; returns the cursor of the next page, or
   * undefined if there is none or the answer was not expected.
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

  /** Returns the records as of the first page that a reader requested. */
  getSnapshot(reader: DaemonName, cursor: number): readonly LedgerRecord[] {
    const known = this.#snapshots.get(reader);
    if (known !== undefined && cursor > 0) {
      return known;
    }
    const snapshot = this.records.getAll();
    this.#snapshots.set(reader, snapshot);
    return snapshot;
  }

  /** Returns the newest known group. */
  getGroup(): LedgerGroup {
    return this.#group;
  }

  /** Returns the seeds whose records have not all been read yet. */
  getPendingReads(): readonly PendingRead[] {
    return this.#pendingReads;
  }

  /** Returns whether any seed has not been read completely. */
  isReading(): boolean {
    return this.#pendingReads.length > 0;
  }

  /**
   * Returns whether the member had to read seeds for its group and has read
   * them all.
   */
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
