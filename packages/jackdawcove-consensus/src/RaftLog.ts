/** In-memory log of a replica: the entries after a base index and a snapshot. */

import type {Entry, Snapshot} from './RaftMessages.js';
import type {LogEnd} from './RaftTypes.js';
import type {ReplicaSet} from './Replica.js';

import {invariant} from 'jackdawcove-shared';

import {EMPTY_REPLICA_SET} from './ConsensusConstants.js';

/** Replica set and the index of the entry that introduced it. */
export type IndexedReplicaSet = {
  readonly index: number;
  readonly replicaSet: ReplicaSet;
};

/** Outcome of merging the entries of a leader. */
export type MergeOutcome = {
  /** Entries that were appended to this log. */
  readonly appended: readonly Entry[];
  /** Index of the first conflicting entry that was dropped. */
  readonly truncatedFrom: number | undefined;
};

/**
 * Log of a replica.
 *
 * @example
 * const log = new RaftLog(undefined, []);
 * log.append([{content: {kind: 'noop'}, index: 1, term: 1}]);
 */
export class RaftLog {
  #baseIndex: number;
  #baseTerm: number;
  #entries: Entry[];
  #replicaSet: IndexedReplicaSet;
  #snapshot: Snapshot | undefined;

  constructor(snapshot: Snapshot | undefined, entries: readonly Entry[]) {
    this.#baseIndex = snapshot?.index ?? 0;
    this.#baseTerm = snapshot?.term ?? 0;
    this.#entries = [...entries];
    this.#snapshot = snapshot;
    this.#replicaSet = this.#findReplicaSet(this.getEnd().lastIndex);
  }

  /** Appends entries that follow the last one. */
  append(entries: readonly Entry[]): void {
    for (const entry of entries) {
      invariant(entry.index === this.getEnd().lastIndex + 1, 1);
      this.#entries.push(entry);
      const {content, index} = entry;
      if (content.kind === 'replicaSet') {
        this.#replicaSet = {index, replicaSet: content.replicaSet};
      }
    }
  }

  /** Merges the entries of a leader that follow a matching entry. */
  merge(entries: readonly Entry[], commitIndex: number): MergeOutcome {
    const firstNew = entries.findIndex(
      ({index, term}) =>
        this.getTerm(index) !== term && index > this.#baseIndex,
    );
    if (firstNew === -1) {
      return {appended: [], truncatedFrom: undefined};
    }
    const appended = entries.slice(firstNew);
    const from = appended[0]?.index ?? 0;
    const isConflict = from <= this.getEnd().lastIndex;
    invariant(!isConflict || from > commitIndex, 2, `index ${String(from)}`);
    this.#entries.length = from - this.#baseIndex - 1;
    this.#replicaSet = this.#findReplicaSet(from - 1);
    this.append(appended);
    return {appended, truncatedFrom: isConflict ? from : undefined};
  }

  /** Replaces committed entries by a snapshot, retaining the newest of them. */
  compact(index: number, data: string, retainedEntries: number): Snapshot {
    const term = this.getTerm(index);
    invariant(term !== undefined, 1, `snapshot at ${String(index)}`);
    const {replicaSet} = this.#findReplicaSet(index);
    const snapshot = {content: {data, replicaSet}, index, term};
    const baseIndex = Math.max(this.#baseIndex, index - retainedEntries);
    this.#baseTerm = this.getTerm(baseIndex) ?? 0;
    this.#entries = this.#entries.slice(baseIndex - this.#baseIndex);
    this.#baseIndex = baseIndex;
    this.#snapshot = snapshot;
    return snapshot;
  }

  /** Replaces the log by a snapshot, keeping the entries that continue it. */
  install(snapshot: Snapshot): void {
    const isContinued = this.getTerm(snapshot.index) === snapshot.term;
    this.#entries = isContinued ? this.getEntriesAfter(snapshot.index) : [];
    this.#baseIndex = snapshot.index;
    this.#baseTerm = snapshot.term;
    this.#snapshot = snapshot;
    this.#replicaSet = this.#findReplicaSet(this.getEnd().lastIndex);
  }

  getBaseIndex(): number {
    return this.#baseIndex;
  }

  getEnd(): LogEnd {
    const last = this.#entries.at(-1);
    return {
      lastIndex: last?.index ?? this.#baseIndex,
      lastTerm: last?.term ?? this.#baseTerm,
    };
  }

  getEntriesAfter(index: number): Entry[] {
    return this.#entries.slice(Math.max(0, index - this.#baseIndex));
  }

  getEntriesBetween(after: number, last: number): Entry[] {
    const start = after - this.#baseIndex;
    return this.#entries.slice(Math.max(0, start), last - this.#baseIndex);
  }

  /** Returns the newest replica set in the log, committed or not. */
  getReplicaSet(): IndexedReplicaSet {
    return this.#replicaSet;
  }

  /** Returns the replica set in effect before the entry at an index. */
  getReplicaSetBefore(index: number): ReplicaSet {
    return this.#findReplicaSet(index - 1).replicaSet;
  }

  getSnapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** Returns the term of an entry, or undefined when the log does not hold it. */
  getTerm(index: number): number | undefined {
    return index === this.#baseIndex
      ? this.#baseTerm
      : this.#entries[index - this.#baseIndex - 1]?.term;
  }

  #findReplicaSet(lastIndex: number): IndexedReplicaSet {
    for (const {content, index} of this.#entries.toReversed()) {
      if (index <= lastIndex && content.kind === 'replicaSet') {
        return {index, replicaSet: content.replicaSet};
      }
    }
    const {content, index} = this.#snapshot ?? {};
    return {
      index: index ?? 0,
      replicaSet: content?.replicaSet ?? EMPTY_REPLICA_SET,
    };
  }
}
