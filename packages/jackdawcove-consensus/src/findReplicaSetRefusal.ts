/** Safety check for one step of a replica set change. */

import type {LeaderState} from './LeaderState.js';
import type {RaftLog} from './RaftLog.js';
import type {Replica, ReplicaSet} from './Replica.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** State of the leader that checks the step. */
export type ReplicaSetContext = {
  /** Voters that have not answered since this time do not count as active. */
  readonly activeSince: Milliseconds;
  readonly commitIndex: number;
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
 * Returns the reason to refuse a step, or undefined when the step is safe. A step
 * is safe when it changes at most one voter, the previous step is committed, a
 * new voter holds the committed log, and a majority of the next voters is active.
 * A replaced voter has to be removed before any other step.
 *
 * @example
 * findReplicaSetRefusal(next, context); // 'the previous step is not committed'
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
    return 'no entry of the current term is committed yet';
  }
  if (current.index > commitIndex) {
    return 'the previous step is not committed';
  }
  if (added.length + removed.length > 1) {
    return 'more than one voter would change';
  }
  const lagging = findLaggingVoter(added, context);
  if (lagging !== undefined) {
    return `${lagging.daemon} has not caught up`;
  }
  const {replacing} = current.replicaSet;
  if (replacing !== undefined && removed[0]?.identity !== replacing.removed) {
    return 'a voter is being replaced';
  }
  return leader.isMajorityActive(next, context.activeSince)
    ? undefined
    : 'no majority of the next voters is active';
}
