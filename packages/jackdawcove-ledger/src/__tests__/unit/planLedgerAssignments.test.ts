import type {LedgerAssignments, LedgerCandidate} from '../../index.js';

import t from 'tap';

import {EMPTY_LEDGER_ASSIGNMENTS, planLedgerAssignments} from '../../index.js';

const ZONE = 'erie-dock';
const FIRST_NOW = 1_000;
const NOW = 50_000;

type Change = Partial<LedgerCandidate>;

function createCandidate(name: string, change: Change = {}): LedgerCandidate {
  return {
    availabilityZone: ZONE,
    hasLeft: false,
    incarnation: 1,
    isDraining: false,
    isReachable: true,
    ledgerGeneration: 1,
    name,
    ...change,
  };
}

function plan(
  previous: LedgerAssignments,
  candidates: readonly LedgerCandidate[],
  now: number,
): LedgerAssignments {
  return planLedgerAssignments({
    availabilityZones: [ZONE],
    candidates,
    now,
    previous,
    slicesPerZone: 1,
  });
}

function createInitialAssignments(names: readonly string[]): LedgerAssignments {
  const candidates = names.map((name) => createCandidate(name));
  return plan(EMPTY_LEDGER_ASSIGNMENTS, candidates, FIRST_NOW);
}

type Case = {
  readonly changes: Readonly<Record<string, Change>>;
  readonly expected: {
    readonly continuing: readonly string[];
    readonly isNewEpoch: boolean;
    readonly members: readonly string[];
  } | null;
  readonly first: readonly string[];
  readonly name: string;
  readonly addedDaemons?: readonly string[];
};

const UNREACHABLE: Change = {isReachable: false};
const LEFT: Change = {hasLeft: true, isReachable: false};
const RESTARTED: Change = {incarnation: 2, ledgerGeneration: 0};

const CASES: readonly Case[] = [
  {
    changes: {},
    expected: null,
    first: ['a', 'b', 'c'],
    name: 'no change in the fleet',
  },
  {
    changes: {a: UNREACHABLE},
    expected: null,
    first: ['a', 'b', 'c'],
    name: 'an unreachable member without a replacement stays',
  },
  {
    addedDaemons: ['d'],
    changes: {a: UNREACHABLE},
    expected: {
      continuing: ['b', 'c'],
      isNewEpoch: false,
      members: ['b', 'c', 'd'],
    },
    first: ['a', 'b', 'c'],
    name: 'an unreachable member is replaced',
  },
  {
    addedDaemons: ['d'],
    changes: {a: {isDraining: true}},
    expected: {
      continuing: ['b', 'c'],
      isNewEpoch: false,
      members: ['b', 'c', 'd'],
    },
    first: ['a', 'b', 'c'],
    name: 'a draining member hands over its records',
  },
  {
    changes: {a: RESTARTED},
    expected: {
      continuing: ['b', 'c'],
      isNewEpoch: false,
      members: ['a', 'b', 'c'],
    },
    first: ['a', 'b', 'c'],
    name: 'a restarted member reads the other members',
  },
  {
    addedDaemons: ['d'],
    changes: {a: UNREACHABLE, b: UNREACHABLE},
    expected: null,
    first: ['a', 'b', 'c'],
    name: 'two unreachable members may still serve: no new epoch',
  },
  {
    addedDaemons: ['d', 'e'],
    changes: {a: UNREACHABLE, b: LEFT},
    expected: {continuing: ['c'], isNewEpoch: true, members: ['c', 'd', 'e']},
    first: ['a', 'b', 'c'],
    name: 'one unreachable member cannot serve alone: new epoch',
  },
  {
    changes: {a: RESTARTED, b: RESTARTED, c: RESTARTED},
    expected: {
      continuing: ['a', 'b', 'c'],
      isNewEpoch: true,
      members: ['a', 'b', 'c'],
    },
    first: ['a', 'b', 'c'],
    name: 'a group that lost all members starts a new epoch',
  },
  {
    changes: {a: LEFT},
    expected: null,
    first: ['a'],
    name: 'no eligible daemon is left',
  },
  {
    addedDaemons: ['b'],
    changes: {},
    expected: {
      continuing: ['a'],
      isNewEpoch: false,
      members: ['a', 'b'],
    },
    first: ['a'],
    name: 'a group grows when a daemon joins its zone',
  },
];

for (const {addedDaemons = [], changes, expected, first, name} of CASES) {
  t.test(name, async (t) => {
    const previous = createInitialAssignments(first);
    const candidates = [...first, ...addedDaemons].map((daemon) =>
      createCandidate(daemon, changes[daemon]),
    );
    const next = plan(previous, candidates, NOW);
    if (expected === null) {
      t.equal(next, previous);
      return;
    }
    const [group] = next.groups;
    t.same(
      {
        continuing: group?.continuing.toSorted(),
        isNewEpoch: group?.epochStartedAtMilliseconds === NOW,
        members: group?.members.map((member) => member.name).toSorted(),
      },
      expected,
    );
    t.equal(next.version, 2);
    t.equal(group?.generation, 2);
  });
}
