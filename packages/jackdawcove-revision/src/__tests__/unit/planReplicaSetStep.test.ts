import type {Replica, ReplicaSet} from 'jackdawcove-consensus';

import t from 'tap';

import {planReplicaSetStep} from '../../index.js';

type Step = {
  announced: string[];
  caughtUp: string[];
  expected: string | undefined;
  learners: string[];
  name: string;
  replacing?: ReplicaSet['replacing'];
  standbys?: string[];
  target: string[];
  voters: string[];
};

function toReplica(text: string): Replica {
  return {daemon: text.charAt(0), identity: text};
}

function format(set: ReplicaSet | undefined): string | undefined {
  const list = (replicas: readonly Replica[]) =>
    replicas.map(({identity}) => identity).join(' ');
  const {added, removed} = set?.replacing ?? {};
  const replaced = added && removed ? `${removed} by ${added}` : '';
  return set && `${list(set.voters)} / ${list(set.learners)}${replaced}`;
}

const THREE_VOTERS = ['a1', 'b1', 'c1'];

const STEPS: Step[] = [
  {
    announced: THREE_VOTERS,
    caughtUp: THREE_VOTERS,
    expected: undefined,
    learners: [],
    name: 'no step when the target is reached',
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: THREE_VOTERS,
    caughtUp: THREE_VOTERS,
    expected: undefined,
    learners: [],
    name: 'no step for an empty target',
    target: [],
    voters: THREE_VOTERS,
  },
  {
    announced: ['a1', 'b1', 'c2'],
    caughtUp: [],
    expected: 'a1 b1 c1 / c2',
    learners: [],
    name: 'a learner is added for a lost replica',
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: ['a1', 'b1', 'c2'],
    caughtUp: [],
    expected: undefined,
    learners: ['c2'],
    name: 'a lagging learner is not promoted yet',
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: ['a1', 'b1', 'c2'],
    caughtUp: ['c2'],
    expected: 'a1 b1 c1 c2 / c1 by c2',
    learners: ['c2'],
    name: 'a caught-up learner is promoted',
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: ['a1', 'b1', 'c2'],
    caughtUp: ['c2'],
    expected: 'a1 b1 c2 / ',
    learners: [],
    name: 'the lost replica is removed after the promotion',
    target: ['a', 'b', 'c'],
    voters: ['a1', 'b1', 'c1', 'c2'],
  },
  {
    announced: ['a1', 'b1', 'c3'],
    caughtUp: ['c2'],
    expected: 'a1 b1 c1 / ',
    learners: ['c2'],
    name: 'a learner that was lost as well is removed',
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: ['a1', 'b1', 'c3'],
    caughtUp: ['c3'],
    expected: 'a1 b1 c2 / c3',
    learners: ['c3'],
    name: 'a replacement is finished though the new voter was lost as well',
    replacing: {added: 'c2', removed: 'c1'},
    target: ['a', 'b', 'c'],
    voters: ['a1', 'b1', 'c1', 'c2'],
  },
  {
    announced: [...THREE_VOTERS, 'd1', 'e1'],
    caughtUp: ['d1'],
    expected: 'a1 b1 c1 d1 / ',
    learners: ['d1'],
    name: 'growth replaces no voter',
    target: ['a', 'b', 'c', 'd', 'e'],
    voters: THREE_VOTERS,
  },
  {
    announced: [...THREE_VOTERS, 'd1', 'e1'],
    caughtUp: [],
    expected: 'a1 b1 c1 / d1',
    learners: [],
    name: 'growth to five voters starts with a learner',
    target: ['a', 'b', 'c', 'd', 'e'],
    voters: THREE_VOTERS,
  },
  {
    announced: THREE_VOTERS,
    caughtUp: [],
    expected: undefined,
    learners: [],
    name: 'no step before a target daemon announces its replica',
    target: ['a', 'b', 'd'],
    voters: THREE_VOTERS,
  },
  {
    announced: [...THREE_VOTERS, 'd1'],
    caughtUp: ['d1'],
    expected: 'a1 b1 d1 / ',
    learners: [],
    name: 'an extra voter is removed last',
    target: ['a', 'b', 'd'],
    voters: ['a1', 'b1', 'c1', 'd1'],
  },
  {
    announced: [...THREE_VOTERS, 'd1'],
    caughtUp: [],
    expected: 'a1 b1 c1 / d1',
    learners: [],
    name: 'a standby becomes a learner',
    standbys: ['d'],
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: [...THREE_VOTERS, 'd1'],
    caughtUp: ['d1'],
    expected: undefined,
    learners: ['d1'],
    name: 'a standby that has caught up stays without a vote',
    standbys: ['d'],
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
  {
    announced: ['a1', 'b1', 'd1'],
    caughtUp: ['d1'],
    expected: 'a1 b1 c1 d1 / c1 by d1',
    learners: ['d1'],
    name: 'a standby that is a target is promoted',
    target: ['a', 'b', 'd'],
    voters: THREE_VOTERS,
  },
  {
    announced: [...THREE_VOTERS, 'd1', 'e1'],
    caughtUp: ['d1'],
    expected: 'a1 b1 c1 / e1',
    learners: ['d1', 'e1'],
    name: 'a learner that is no standby any more is removed',
    standbys: ['e'],
    target: ['a', 'b', 'c'],
    voters: THREE_VOTERS,
  },
];

t.test('steps to the target voters', async (t) => {
  for (const step of STEPS) {
    const next = planReplicaSetStep({
      getAnnounced: (daemon) =>
        step.announced
          .map(toReplica)
          .find((replica) => replica.daemon === daemon),
      isCaughtUp: (identity) => step.caughtUp.includes(identity),
      replicaSet: {
        learners: step.learners.map(toReplica),
        replacing: step.replacing,
        voters: step.voters.map(toReplica),
      },
      standbys: step.standbys ?? [],
      target: step.target,
    });
    t.equal(format(next), step.expected, step.name);
  }
});
