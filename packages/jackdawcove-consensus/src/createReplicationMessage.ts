/** Message that replicates the log of the leader to one replica. */

import type {RaftLog} from './RaftLog.js';
import type {Entry, RaftMessage} from './RaftMessages.js';
import type {RaftOptions} from './RaftTypes.js';
import type {Replica} from './Replica.js';
import type {ReplicationProgress} from './ReplicationProgress.js';

import {invariant} from 'jackdawcove-shared';

import {MAXIMUM_APPEND_REQUEST_SIZE} from './ConsensusConstants.js';

/** Fields that all replication messages of a leader share. */
export type LeaderContext = {
  readonly commitIndex: number;
  readonly from: Replica;
  readonly log: RaftLog;
  readonly options: RaftOptions;
  readonly round: number;
  readonly term: number;
};

function selectEntries(context: LeaderContext, after: number): Entry[] {
  const {log, options} = context;
  const selected: Entry[] = [];
  let size = 0;
  for (const entry of log.getEntriesAfter(after)) {
    const {content} = entry;
    size +=
      content.kind === 'command' ? options.measureCommand(content.command) : 1;
    if (selected.length > 0 && size > MAXIMUM_APPEND_REQUEST_SIZE) {
      break;
    }
    selected.push(entry);
  }
  return selected;
}

function createSnapshotRequest(
  context: LeaderContext,
  progress: ReplicationProgress,
): RaftMessage {
  const snapshot = context.log.getSnapshot();
  invariant(snapshot !== undefined, 1, 'no snapshot for a lagging replica');
  progress.startSnapshot(snapshot.index);
  const {data, replicaSet} = snapshot.content;
  const offset = progress.getSnapshotOffset();
  const end = offset + context.options.snapshotChunkCharacters;
  return {
    chunk: data.slice(offset, end),
    from: context.from,
    isLast: end >= data.length,
    kind: 'snapshotRequest',
    offset,
    replicaSet,
    round: context.round,
    snapshotIndex: snapshot.index,
    snapshotTerm: snapshot.term,
    term: context.term,
    to: progress.replica.identity,
  };
}

/**
 * Creates the next message for a replica: entries, or a chunk of the snapshot
 * when the log no longer holds the entries that the replica needs. Marks the
 * entries as sent.
 *
 * @example
 * const message = createReplicationMessage(context, progress);
 */
export function createReplicationMessage(
  context: LeaderContext,
  progress: ReplicationProgress,
): RaftMessage {
  const previousIndex = progress.getNextIndex() - 1;
  const previousTerm = context.log.getTerm(previousIndex);
  if (previousTerm === undefined) {
    return createSnapshotRequest(context, progress);
  }
  const entries = selectEntries(context, previousIndex);
  progress.markSent(previousIndex + entries.length);
  return {
    commitIndex: context.commitIndex,
    entries,
    from: context.from,
    kind: 'appendRequest',
    previousIndex,
    previousTerm,
    round: context.round,
    term: context.term,
    to: progress.replica.identity,
  };
}
