/** Unsafe steps of a replica set, which the checks of a run must detect. */

import type {ReplicaSetStepInput} from '../index.js';
import type {InjectedBug} from './SimulatedVoter.js';
import type {ReplicaSet} from 'jackdawcove-consensus';

/** Replaces all voters by the announced replicas of the target in one step. */
function replaceAll(input: ReplicaSetStepInput): ReplicaSet | undefined {
  const voters = input.target.flatMap(
    (daemon) => input.getAnnounced(daemon) ?? [],
  );
  const isChanged = voters.some(({identity}) =>
    input.replicaSet.voters.every((voter) => voter.identity !== identity),
  );
  return isChanged ? {learners: [], voters} : undefined;
}

/** Removes voters that are not announced before their successors hold the log. */
function removeLost(input: ReplicaSetStepInput): ReplicaSet | undefined {
  const {learners, voters} = input.replicaSet;
  const present = voters.filter(
    ({daemon, identity}) => input.getAnnounced(daemon)?.identity === identity,
  );
  return present.length === voters.length
    ? undefined
    : {learners, voters: present};
}

/**
 * Returns the step that an injected bug takes, or undefined for the usual one.
 *
 * @example
 * planBuggyStep('removeUnchecked', input);
 */
export function planBuggyStep(
  bug: InjectedBug | undefined,
  input: ReplicaSetStepInput,
): ReplicaSet | undefined {
  switch (bug) {
    case 'removeUnchecked':
      return removeLost(input);
    case 'replaceAllAtOnce':
      return replaceAll(input);
    default:
      return undefined;
  }
}
