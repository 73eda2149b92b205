/** Applies the messages of a leader to the log. */

import type {RaftCore} from './RaftCore.js';
import type {RaftMessageOf, Snapshot} from './RaftMessages.js';

import {SnapshotReceiver} from './SnapshotReceiver.js';

/**
 * Handles requests from the leader of the current term.
 *
 * @example
 * follower.handleAppendRequest(request);
 */
export class RaftFollower {
  readonly #core: RaftCore;
  readonly #receiver = new SnapshotReceiver();

  constructor(core: RaftCore) {
    this.#core = core;
  }

  /** Merges the entries of the request and answers it. */
  handleAppendRequest(request: RaftMessageOf<'appendRequest'>): void {
    const core = this.#core;
    const {entries, previousIndex, previousTerm} = request;
    if (previousIndex < core.log.getBaseIndex()) {
      this.#answer(request, true, core.getCommitIndex());
      return;
    }
    if (core.log.getTerm(previousIndex) !== previousTerm) {
      this.#answer(
        request,
        false,
        this.#findHighestPossibleMatch(previousIndex),
      );
      return;
    }
    const merged = core.log.merge(entries, core.getCommitIndex());
    core.output.saveEntries(merged.appended);
    if (merged.truncatedFrom !== undefined) {
      core.markTruncated(merged.truncatedFrom);
    }
    const lastIndex = previousIndex + entries.length;
    core.commitTo(Math.min(request.commitIndex, lastIndex));
    this.#answer(request, true, lastIndex);
  }

  /** Adds a snapshot chunk, installs the complete snapshot, and answers. */
  handleSnapshotRequest(request: RaftMessageOf<'snapshotRequest'>): void {
    const core = this.#core;
    if (request.snapshotIndex <= core.getCommitIndex()) {
      this.#answer(request, true, core.getCommitIndex());
      return;
    }
    const received = this.#receiver.receive(request);
    if (received.kind === 'complete') {
      this.#install(received.snapshot);
      this.#answer(request, true, received.snapshot.index);
      return;
    }
    core.send(
      {
        from: core.localReplica,
        kind: 'snapshotAnswer',
        nextOffset: received.nextOffset,
        round: request.round,
        snapshotIndex: request.snapshotIndex,
        term: core.getTerm(),
        to: request.from.identity,
      },
      request.from,
    );
  }

  /** Rejects a request of a stale leader; the answer carries the current term. */
  rejectStaleRequest(
    request: RaftMessageOf<'appendRequest' | 'snapshotRequest'>,
  ): void {
    this.#answer(request, false, 0);
  }

  #install(snapshot: Snapshot): void {
    const core = this.#core;
    core.log.install(snapshot);
    core.resetToSnapshot(snapshot.index);
    core.output.add({kind: 'installSnapshot', snapshot});
    core.output.saveSnapshot(snapshot);
  }

  /** Skips the whole conflicting term: one rejection per term, not per entry. */
  #findHighestPossibleMatch(previousIndex: number): number {
    const {log} = this.#core;
    const {lastIndex} = log.getEnd();
    if (lastIndex < previousIndex) {
      return lastIndex;
    }
    const conflictingTerm = log.getTerm(previousIndex);
    let index = previousIndex - 1;
    while (
      index > this.#core.getCommitIndex() &&
      log.getTerm(index) === conflictingTerm
    ) {
      index -= 1;
    }
    return index;
  }

  #answer(
    request: RaftMessageOf<'appendRequest' | 'snapshotRequest'>,
    isSuccess: boolean,
    index: number,
  ): void {
    const core = this.#core;
    core.send(
      {
        from: core.localReplica,
        index,
        isSuccess,
        kind: 'appendAnswer',
        round: request.round,
        term: core.getTerm(),
        to: request.from.identity,
      },
      request.from,
    );
  }
}
