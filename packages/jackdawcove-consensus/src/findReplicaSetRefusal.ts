/** Check of one step of a change of the replica set. */

import type {LeaderState} from './LeaderState.js';
import type {RaftLog} from './RaftLog.js';
import type {Replica, ReplicaSet} from './Replica.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** State of the leader that checks a step. */
export type ReplicaSetContext = {
  readonly commitIndex: number;
  readonly activeSince: Milliseconds;
  readonly leader: LeaderState;
  readonly log: RaftLog;
};

function subtract(
  replicas: readonly Replica[],
  removed: readonly Replica[],
): readonly Replica[] {
  const identities = new Set(removed.map(({identity}) => identity));
  return replicas.filter(({identity}) => !identities.has(identity));
}

function findLaggingVoter(
  added: readonly Replica[],
  context: ReplicaSetContext,
): Replica | undefined {
  return added.find(({identity}) => {
    const progress = context.leader.getProgress(identity);
    return (progress?.getMatchIndex() ?? 0) < context.commitIndex;
  });
}

/**
 * Returns why a step must not be taken, or undefined when it is safe: one voter
 * at a time, after the last step was committed, a new voter as complete as the
 * committed log, and a majority of the next voters in reach.
 *
 * @example
 * findReplicaSetRefusal(next, context); // 'the last step is not committed'
 */
export function findReplicaSetRefusal(
  next: ReplicaSet,
  context: ReplicaSetContext,
): string | undefined {
  const {commitIndex, leader, log} = context;
  const current = log.getReplicaSet();
  const added = subtract(next.voters, current.replicaSet.voters);
  const removed = subtract(current.replicaSet.voters, next.voters);
  if (commitIndex < leader.firstIndex) {
    return 'the term has no committed entry yet';
  }
  if (current.index > commitIndex) {
    return 'the last step is not committed';
  }
  if (added.length + removed.length > 1) {
    return 'more than one voter would change';
  }
  const lagging = findLaggingVoter(added, context);
  if (lagging !== undefined) {
    return `${lagging.daemon} has not caught up`;
  }
  return leader.isMajorityActive(next.voters, context.activeSince)
    ? undefined
    : 'no majority of the voters would be in reach';
}
