/** Replication progress from a leader to one other replica. */

import type {Replica} from './Replica.js';
import type {Milliseconds} from 'jackdawcove-shared';

/**
 * State that a leader tracks for one other replica.
 *
 * @example
 * progress.acknowledge(12);
 * progress.getNextIndex(); // 13
 */
export class ReplicationProgress {
  readonly replica: Replica;
  #lastContactAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #matchIndex = 0;
  #nextIndex: number;
  #round = 0;
  #snapshotIndex = 0;
  #snapshotOffset = 0;

  constructor(replica: Replica, nextIndex: number) {
    this.#nextIndex = nextIndex;
    this.replica = replica;
  }

  /** Records that the replica answered in a heartbeat round. */
  recordContact(round: number, now: Milliseconds): void {
    this.#lastContactAt = now;
    this.#round = Math.max(this.#round, round);
  }

  /** Records that the replica durably holds the log up to an index. */
  acknowledge(index: number): void {
    this.#matchIndex = Math.max(this.#matchIndex, index);
    this.#nextIndex = Math.max(this.#nextIndex, this.#matchIndex + 1);
  }

  /** Moves the next index back after the replica rejected entries. */
  backtrack(highestPossibleMatch: number): void {
    const retryIndex = Math.min(this.#nextIndex, highestPossibleMatch + 1);
    this.#nextIndex = Math.max(this.#matchIndex + 1, retryIndex);
  }

  /** Records that the entries up to an index were sent. */
  markSent(lastIndex: number): void {
    this.#nextIndex = Math.max(this.#nextIndex, lastIndex + 1);
  }

  /** Moves the next index back so that unacknowledged entries are resent. */
  rewind(): void {
    if (this.#matchIndex > 0) {
      this.#nextIndex = this.#matchIndex + 1;
    }
  }

  /** Continues the current snapshot transfer at an offset. */
  continueSnapshot(index: number, offset: number): void {
    if (index === this.#snapshotIndex) {
      this.#snapshotOffset = offset;
    }
  }

  /** Starts the transfer of a snapshot unless it is already in progress. */
  startSnapshot(index: number): void {
    if (index !== this.#snapshotIndex) {
      this.#snapshotIndex = index;
      this.#snapshotOffset = 0;
    }
  }

  getLastContactAt(): Milliseconds {
    return this.#lastContactAt;
  }

  getMatchIndex(): number {
    return this.#matchIndex;
  }

  getNextIndex(): number {
    return this.#nextIndex;
  }

  getRound(): number {
    return this.#round;
  }

  getSnapshotOffset(): number {
    return this.#snapshotOffset;
  }
}
