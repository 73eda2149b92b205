/** Next step from the replica set to the daemons that shall vote. */

import type {Replica, ReplicaSet} from 'jackdawcove-consensus';
import type {DaemonName} from 'jackdawcove-shared';

import {ALLOWED_VOTER_COUNTS} from './ConfigurationChange.js';

/** What the plan of a step looks at. */
export type ReplicaSetPlan = {
  /** Replica that each daemon runs now, as it announced itself. */
  readonly getAnnounced: (daemon: DaemonName) => Replica | undefined;
  /** Whether the leader knows a replica to hold the committed log. */
  readonly isCaughtUp: (identity: string) => boolean;
  readonly replicaSet: ReplicaSet;
  /** Names of the daemons that shall vote. */
  readonly target: readonly DaemonName[];
};

function isIn(replicas: readonly Replica[], replica: Replica): boolean {
  return replicas.some(({identity}) => identity === replica.identity);
}

function without(replicas: readonly Replica[], removed: Replica): Replica[] {
  return replicas.filter(({identity}) => identity !== removed.identity);
}

function isSuperseded(plan: ReplicaSetPlan, replica: Replica): boolean {
  const announced = plan.getAnnounced(replica.daemon);
  return announced !== undefined && announced.identity !== replica.identity;
}

function promoteLearner(plan: ReplicaSetPlan): ReplicaSet | undefined {
  const {learners, voters} = plan.replicaSet;
  const ready = learners.find(
    (learner) =>
      plan.target.includes(learner.daemon) &&
      !isSuperseded(plan, learner) &&
      plan.isCaughtUp(learner.identity),
  );
  return (
    ready && {learners: without(learners, ready), voters: [...voters, ready]}
  );
}

function removeReplacedVoter(plan: ReplicaSetPlan): ReplicaSet | undefined {
  const {learners, voters} = plan.replicaSet;
  const replaced = voters.find((voter) => {
    const announced = plan.getAnnounced(voter.daemon);
    return (
      announced !== undefined &&
      announced.identity !== voter.identity &&
      isIn(voters, announced)
    );
  });
  return replaced && {learners, voters: without(voters, replaced)};
}

function removeUselessLearner(plan: ReplicaSetPlan): ReplicaSet | undefined {
  const {learners, voters} = plan.replicaSet;
  const useless = learners.find(
    (learner) =>
      !plan.target.includes(learner.daemon) || isSuperseded(plan, learner),
  );
  return useless && {learners: without(learners, useless), voters};
}

function addLearner(plan: ReplicaSetPlan): ReplicaSet | undefined {
  const {learners, voters} = plan.replicaSet;
  const missing = plan.target
    .flatMap((daemon) => plan.getAnnounced(daemon) ?? [])
    .find((replica) => !isIn(voters, replica) && !isIn(learners, replica));
  return missing && {learners: [...learners, missing], voters};
}

function removeExtraVoter(plan: ReplicaSetPlan): ReplicaSet | undefined {
  const {learners, voters} = plan.replicaSet;
  const isComplete = plan.target.every((daemon) =>
    voters.some((voter) => voter.daemon === daemon),
  );
  const extra = voters.find(({daemon}) => !plan.target.includes(daemon));
  return isComplete && extra !== undefined
    ? {learners, voters: without(voters, extra)}
    : undefined;
}

/**
 * Returns the next replica set on the way to the target, or undefined when it is
 * reached: a daemon's new replica learns, is promoted, and then its lost one is
 * removed; a voter that is no longer wanted goes once all wanted ones vote.
 *
 * @example
 * planReplicaSetStep({getAnnounced, isCaughtUp, replicaSet, target});
 */
export function planReplicaSetStep(
  plan: ReplicaSetPlan,
): ReplicaSet | undefined {
  if (!ALLOWED_VOTER_COUNTS.includes(plan.target.length)) {
    return undefined;
  }
  return (
    removeReplacedVoter(plan) ??
    promoteLearner(plan) ??
    removeUselessLearner(plan) ??
    addLearner(plan) ??
    removeExtraVoter(plan)
  );
}
