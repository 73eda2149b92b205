/** Next step of a replica set change towards the target voters. */

import type {Replica, ReplicaSet} from 'jackdawcove-consensus';
import type {DaemonName} from 'jackdawcove-shared';

import {ALLOWED_VOTER_COUNTS} from './ConfigurationChange.js';

/** Input for planning a step. */
export type ReplicaSetStepInput = {
  /** Returns the replica that a daemon currently announces. */
  readonly getAnnounced: (daemon: DaemonName) => Replica | undefined;
  /** Returns whether the leader knows that a replica holds the committed log. */
  readonly isCaughtUp: (identity: string) => boolean;
  readonly replicaSet: ReplicaSet;
  /** Names of the daemons that should be learners and stay without a vote. */
  readonly standbys: readonly DaemonName[];
  /** Names of the daemons that should be voters. */
  readonly target: readonly DaemonName[];
};

function includesReplica(
  replicas: readonly Replica[],
  replica: Replica,
): boolean {
  return replicas.some(({identity}) => identity === replica.identity);
}

function removeReplica(
  replicas: readonly Replica[],
  removed: Replica,
): Replica[] {
  return replicas.filter(({identity}) => identity !== removed.identity);
}

function isWanted(
  {standbys, target}: ReplicaSetStepInput,
  daemon: DaemonName,
): boolean {
  return target.includes(daemon) || standbys.includes(daemon);
}

function isSuperseded(input: ReplicaSetStepInput, replica: Replica): boolean {
  const announced = input.getAnnounced(replica.daemon);
  return announced !== undefined && announced.identity !== replica.identity;
}

function promoteLearner(input: ReplicaSetStepInput): ReplicaSet | undefined {
  const {learners, voters} = input.replicaSet;
  const ready = learners.find(
    (learner) =>
      input.target.includes(learner.daemon) &&
      !isSuperseded(input, learner) &&
      input.isCaughtUp(learner.identity),
  );
  if (ready === undefined) {
    return undefined;
  }
  const replaced = findReplacedVoter(input, ready);
  return {
    learners: removeReplica(learners, ready),
    ...(replaced && {
      replacing: {added: ready.identity, removed: replaced.identity},
    }),
    voters: [...voters, ready],
  };
}

/** Returns the voter that a new voter replaces: one of its daemon, else an extra one. */
function findReplacedVoter(
  {replicaSet, target}: ReplicaSetStepInput,
  {daemon}: Replica,
): Replica | undefined {
  const {voters} = replicaSet;
  return (
    voters.find((voter) => voter.daemon === daemon) ??
    (voters.length >= target.length
      ? voters.find((voter) => !target.includes(voter.daemon))
      : undefined)
  );
}

function finishReplacement({
  replicaSet: {learners, replacing, voters},
}: ReplicaSetStepInput): ReplicaSet | undefined {
  return (
    replacing && {
      learners,
      voters: voters.filter(({identity}) => identity !== replacing.removed),
    }
  );
}

function removeReplacedVoter(
  input: ReplicaSetStepInput,
): ReplicaSet | undefined {
  const {learners, voters} = input.replicaSet;
  const replaced = voters.find((voter) => {
    const announced = input.getAnnounced(voter.daemon);
    return (
      announced !== undefined &&
      announced.identity !== voter.identity &&
      includesReplica(voters, announced)
    );
  });
  return replaced && {learners, voters: removeReplica(voters, replaced)};
}

function removeObsoleteLearner(
  input: ReplicaSetStepInput,
): ReplicaSet | undefined {
  const {learners, voters} = input.replicaSet;
  const obsolete = learners.find(
    (learner) =>
      !isWanted(input, learner.daemon) || isSuperseded(input, learner),
  );
  return obsolete && {learners: removeReplica(learners, obsolete), voters};
}

function addLearner(input: ReplicaSetStepInput): ReplicaSet | undefined {
  const {learners, voters} = input.replicaSet;
  const missing = [...input.target, ...input.standbys]
    .flatMap((daemon) => input.getAnnounced(daemon) ?? [])
    .find(
      (replica) =>
        !includesReplica(voters, replica) &&
        !includesReplica(learners, replica),
    );
  return missing && {learners: [...learners, missing], voters};
}

function removeExtraVoter(input: ReplicaSetStepInput): ReplicaSet | undefined {
  const {learners, voters} = input.replicaSet;
  const isComplete = input.target.every((daemon) =>
    voters.some((voter) => voter.daemon === daemon),
  );
  const extra = voters.find(({daemon}) => !input.target.includes(daemon));
  return isComplete && extra !== undefined
    ? {learners, voters: removeReplica(voters, extra)}
    : undefined;
}

/**
 * Returns the next replica set towards the target, or undefined when there is no
 * step to take. A new replica of a daemon is added as a learner and promoted once
 * it has caught up; then the lost replica of that daemon is removed. A voter that
 * is not in the target is removed after all target daemons have a voter. Standbys
 * become learners last.
 *
 * @example
 * planReplicaSetStep({getAnnounced, isCaughtUp, replicaSet, standbys, target});
 */
export function planReplicaSetStep(
  input: ReplicaSetStepInput,
): ReplicaSet | undefined {
  if (!ALLOWED_VOTER_COUNTS.includes(input.target.length)) {
    return undefined;
  }
  return (
    finishReplacement(input) ??
    removeReplacedVoter(input) ??
    promoteLearner(input) ??
    removeExtraVoter(input) ??
    removeObsoleteLearner(input) ??
    addLearner(input)
  );
}
