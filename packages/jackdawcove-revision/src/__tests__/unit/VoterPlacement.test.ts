import type {VoterTargetChange} from '../../index.js';
import type {Replica} from 'jackdawcove-consensus';

import t from 'tap';

import {getVoterCount, VoterPlacement} from '../../index.js';

type Case = {
  readonly candidates: readonly string[];
  readonly expected: string;
  readonly faultTolerance?: number;
  readonly learners?: readonly string[];
  readonly name: string;
  /** Milliseconds for which a voter has been silent. */
  readonly silent?: Readonly<Record<string, number>>;
  readonly standbys?: string;
  readonly target: readonly string[];
  readonly voters?: readonly string[];
};

const THREE = ['a1', 'b1', 'c1'];
const FIVE = ['a1', 'b1', 'c1', 'd1', 'e1'];
const SHORT_SILENCE = 1_900;
const LONG_SILENCE = 2_000;
const VERY_LONG_SILENCE = 5_000;

/** The first letter of a daemon is its availability zone; a1 leads. */
const CASES: readonly Case[] = [
  {
    candidates: THREE,
    expected: '',
    name: 'healthy voters stay',
    target: THREE,
  },
  {
    candidates: ['a1', 'b1', 'c2'],
    expected: '',
    name: 'a short silence replaces nobody',
    silent: {c1: SHORT_SILENCE},
    target: THREE,
  },
  {
    candidates: ['a1', 'b1', 'c2'],
    expected: 'lostVoter a1 b1 c2',
    name: 'a lost voter is replaced by a machine at another address',
    silent: {c1: LONG_SILENCE},
    target: THREE,
  },
  {
    candidates: ['a1', 'b1'],
    expected: '',
    name: 'a lost voter stays while nobody can take its place',
    silent: {c1: VERY_LONG_SILENCE},
    target: THREE,
  },
  {
    candidates: ['a1', 'b1', 'c2'],
    expected: '',
    faultTolerance: 0,
    name: 'operators alone change the voters without a fault tolerance',
    silent: {c1: VERY_LONG_SILENCE},
    target: THREE,
  },
  {
    candidates: ['a1', 'a2', 'b1', 'c2'],
    expected: 'lostVoter a1 b1 c2',
    name: 'the successor is in the zone with the fewest votes',
    silent: {c1: LONG_SILENCE},
    target: THREE,
  },
  {
    candidates: ['a1', 'a2', 'b1', 'c1'],
    expected: '',
    name: 'no zone of three gets a majority',
    silent: {c1: LONG_SILENCE},
    target: THREE,
  },
  {
    candidates: ['a1', 'b1', 'c1', 'f1', 'f2'],
    expected: '',
    faultTolerance: 2,
    name: 'two silent voters are more likely cut off than lost',
    silent: {d1: LONG_SILENCE, e1: LONG_SILENCE},
    target: FIVE,
  },
  {
    candidates: ['a1', 'b1', 'c1', 'f1', 'f2'],
    expected: 'lostVoter a1 b1 c1 e1 f1',
    faultTolerance: 2,
    name: 'of two voters that stay silent, one is replaced',
    silent: {d1: VERY_LONG_SILENCE, e1: VERY_LONG_SILENCE},
    target: FIVE,
  },
  {
    candidates: ['a1', 'a2', 'b1', 'b2', 'c1', 'd1', 'e1', 'f1'],
    expected: 'growth a1 b1 c1 d1 e1',
    faultTolerance: 2,
    name: 'growth takes two machines in other zones',
    standbys: 'd1 e1',
    target: THREE,
  },
  {
    candidates: ['a1', 'b1', 'c1', 'd1'],
    expected: '',
    faultTolerance: 2,
    name: 'four machines keep three voters',
    standbys: 'd1',
    target: THREE,
  },
  {
    candidates: ['a1', 'a2', 'b1', 'c1'],
    expected: 'zoneBalance a1 b1 c1',
    name: 'a vote moves to a zone without one',
    target: ['a1', 'a2', 'b1'],
  },
  {
    candidates: FIVE,
    expected: '',
    name: 'more voters than needed stay as an operator set them',
    target: FIVE,
  },
  {
    candidates: ['a1', 'b1', 'd1'],
    expected: 'lostVoter a1 b1 d1',
    name: 'a target that never became a voter and is gone is replaced',
    target: ['a1', 'b1', 'c1'],
    voters: ['a1', 'b1'],
  },
  {
    candidates: ['a1', 'b1', 'c1', 'd1', 'e1'],
    expected: '',
    learners: ['e1'],
    name: 'a standby that follows already remains the standby',
    standbys: 'e1',
    target: THREE,
  },
];

function format(change: undefined | VoterTargetChange): string {
  return change === undefined
    ? ''
    : `${change.reason} ${change.voters.join(' ')}`;
}

function toReplica(daemon: string): Replica {
  return {daemon, identity: `${daemon}-disk`};
}

t.test('the voters follow the machines', async (t) => {
  for (const row of CASES) {
    const placement = new VoterPlacement({
      candidates: row.candidates.map((daemon) => ({
        availabilityZone: daemon.charAt(0),
        daemon,
      })),
      faultTolerance: row.faultTolerance ?? 1,
      getAvailabilityZone: (daemon) => daemon.charAt(0),
      getSilence: ({daemon}) => row.silent?.[daemon] ?? 0,
      leader: 'a1',
      replicaSet: {
        learners: (row.learners ?? []).map(toReplica),
        voters: (row.voters ?? row.target).map(toReplica),
      },
      target: row.target,
    });
    t.equal(format(placement.planTarget()), row.expected, row.name);
    if (row.standbys !== undefined) {
      t.equal(
        placement.planStandbys().join(' '),
        row.standbys,
        `standbys: ${row.name}`,
      );
    }
  }
});

t.test('the number of voters follows the tolerated losses', async (t) => {
  const rows = [
    {expected: 3, faultTolerance: 0},
    {expected: 3, faultTolerance: 1},
    {expected: 5, faultTolerance: 2},
    {expected: 7, faultTolerance: 3},
    {expected: 7, faultTolerance: 9},
  ];
  for (const {expected, faultTolerance} of rows) {
    t.equal(getVoterCount(faultTolerance), expected, String(faultTolerance));
  }
});
