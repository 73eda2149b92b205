import type {LedgerAssignments, LedgerMessage} from '../../index.js';
import type {LedgerBreaks} from '../LedgerNode.js';
import type {ClaimRun} from 'jackdawcove-checker';

import {ClaimHistoryChecker} from 'jackdawcove-checker';
import t from 'tap';

import {mintIdempotencyKey, parseIdempotencyKey} from '../../index.js';
import {LedgerFleet} from '../LedgerFleet.js';
import {LedgerNode} from '../LedgerNode.js';

type Parcel = {
  readonly from: string;
  readonly message: LedgerMessage;
  readonly to: string;
};

const ZONE = 'zone-0';

function createAssignments(
  version: number,
  names: readonly string[],
  incarnations: Readonly<Record<string, number>>,
  continuing: readonly string[],
): LedgerAssignments {
  const members = names.map((name) => ({
    incarnation: incarnations[name] ?? 1,
    name,
  }));
  const group = {
    availabilityZone: ZONE,
    continuing: [...continuing],
    epochStartedAtMilliseconds: 0,
    generation: version,
    members,
    seeds: members.filter(({name}) => continuing.includes(name)),
    slice: 0,
  };
  return {
    availabilityZones: [ZONE],
    groups: [group],
    slicesPerZone: 1,
    version,
  };
}

/** Nodes whose messages are delivered by hand. */
class Workbench {
  readonly granted: string[] = [];
  readonly nodes = new Map<string, LedgerNode>();
  now = 10_000;
  parcels: Parcel[] = [];

  constructor(names: readonly string[], breaks: LedgerBreaks) {
    for (const name of names) {
      this.nodes.set(
        name,
        new LedgerNode({
          breaks,
          clockOffsetMs: 0,
          getNow: () => this.now,
          name,
          send: (from, to, message) => {
            this.parcels.push({from: from.name, message, to});
          },
          zone: ZONE,
        }),
      );
    }
    const presence = new Map(
      names.map((name) => [name, {incarnation: 1, isInReach: true}]),
    );
    for (const node of this.nodes.values()) {
      node.presence = presence;
    }
  }

  adopt(assignments: LedgerAssignments, names: readonly string[]): void {
    for (const name of names) {
      this.nodes.get(name)?.adopt(assignments);
    }
  }

  claim(name: string, key: string): void {
    this.nodes.get(name)?.claim(key, 'content', ({kind}) => {
      if (kind === 'granted') {
        this.granted.push(name);
      }
    });
  }

  /** Delivers what waits between some nodes, and what that brings about. */
  deliver(names: readonly string[]): void {
    const isWithin = ({from, to}: Parcel): boolean =>
      names.includes(from) && names.includes(to);
    for (;;) {
      const parcel = this.parcels.find(isWithin);
      if (parcel === undefined) {
        return;
      }
      this.parcels = this.parcels.filter((other) => other !== parcel);
      this.nodes.get(parcel.to)?.receive(parcel.message, parcel.from);
    }
  }

  check(key: string): readonly string[] {
    const runs: ClaimRun[] = this.granted.map((name, index) => ({
      answer: name,
      content: 'content',
      key,
      sendNumber: index,
      startedAt: index,
    }));
    const sends = runs.map(({sendNumber}) => ({
      content: 'content',
      key,
      number: sendNumber,
    }));
    return new ClaimHistoryChecker({runs, sends}).check().map(({kind}) => kind);
  }
}

/**
 * Member a acknowledges the first claim and is lost before b hears of it; e takes
 * its place and the second claim goes to e and c.
 */
function runReplacement(breaks: LedgerBreaks): readonly string[] {
  const bench = new Workbench(['a', 'b', 'c', 'e', 'first', 'second'], breaks);
  const all = [...bench.nodes.keys()];
  const key = mintIdempotencyKey(
    ZONE,
    bench.nodes.get('a')?.getWallTime() ?? 0,
    () => 0.5,
  );
  bench.adopt(createAssignments(1, ['a', 'b', 'c'], {}, ['a', 'b', 'c']), all);
  bench.claim('first', key);
  bench.deliver(['a', 'first']);
  bench.adopt(createAssignments(2, ['b', 'c', 'e'], {}, ['b', 'c']), all);
  bench.deliver(['b', 'c', 'e']);
  bench.claim('second', key);
  bench.deliver(['c', 'e', 'second']);
  bench.deliver(['b', 'first']);
  bench.deliver(all);
  return bench.check(key);
}

/** Member a restarts without records and is asked before it has read the others. */
function runRestart(breaks: LedgerBreaks): readonly string[] {
  const bench = new Workbench(['a', 'b', 'c', 'first', 'second'], breaks);
  const all = [...bench.nodes.keys()];
  const key = mintIdempotencyKey(
    ZONE,
    bench.nodes.get('a')?.getWallTime() ?? 0,
    () => 0.5,
  );
  bench.adopt(createAssignments(1, ['a', 'b', 'c'], {}, ['a', 'b', 'c']), all);
  bench.claim('first', key);
  bench.deliver(['a', 'b', 'first']);
  bench.parcels = [];
  const restarted = bench.nodes.get('a');
  restarted?.stop();
  restarted?.start();
  bench.adopt(createAssignments(2, ['a', 'b', 'c'], {a: 2}, ['b', 'c']), all);
  bench.claim('second', key);
  bench.deliver(['a', 'c', 'second']);
  return bench.check(key);
}

/** The claimant restarts and claims again; answers to its earlier process come late. */
function runClaimantRestart(breaks: LedgerBreaks): readonly string[] {
  const bench = new Workbench(['a', 'b', 'c', 'first'], breaks);
  const all = [...bench.nodes.keys()];
  const key = mintIdempotencyKey(
    ZONE,
    bench.nodes.get('a')?.getWallTime() ?? 0,
    () => 0.5,
  );
  const assignments = createAssignments(1, ['a', 'b', 'c'], {}, [
    'a',
    'b',
    'c',
  ]);
  bench.adopt(assignments, all);
  bench.claim('first', key);
  bench.deliver(all);
  const claimant = bench.nodes.get('first');
  const late = claimant?.incarnation ?? 0;
  claimant?.stop();
  claimant?.start();
  bench.adopt(assignments, ['first']);
  bench.claim('first', key);
  for (const from of ['a', 'b']) {
    claimant?.receive(
      {
        claimantIncarnation: late,
        generation: 1,
        incarnation: 1,
        key: parseIdempotencyKey(key)?.identifier ?? '',
        kind: 'claimAnswer',
        sequence: 1,
      },
      from,
    );
  }
  bench.deliver(all);
  return bench.check(key);
}

const CASES = [
  {
    breaks: {},
    expected: [],
    name: 'the claimant restarts while answers are on their way',
    run: runClaimantRestart,
  },
  {
    breaks: {},
    expected: [],
    name: 'a member is replaced under a pending claim',
    run: runReplacement,
  },
  {
    breaks: {acceptsOlderAcknowledgements: true},
    expected: ['ranTwice'],
    name: 'the checker notices: older acknowledgements count',
    run: runReplacement,
  },
  {
    breaks: {},
    expected: [],
    name: 'a member restarts without records',
    run: runRestart,
  },
  {
    breaks: {answersBeforeSeeding: true},
    expected: ['ranTwice'],
    name: 'the checker notices: a restarted member answers at once',
    run: runRestart,
  },
];

for (const {breaks, expected, name, run} of CASES) {
  t.test(name, async (t) => {
    t.same(run(breaks), expected);
  });
}

const CONTENTION_CASES = [
  {daemonsPerZone: 5, loss: 0, name: 'three members', zoneCount: 1},
  {daemonsPerZone: 2, loss: 0, name: 'two members', zoneCount: 2},
  {daemonsPerZone: 1, loss: 0, name: 'one member', zoneCount: 3},
  {daemonsPerZone: 3, loss: 0.2, name: 'lossy network', zoneCount: 2},
];

for (const {daemonsPerZone, loss, name, zoneCount} of CONTENTION_CASES) {
  t.test(`one key claimed by every daemon at once: ${name}`, async (t) => {
    const fleet = new LedgerFleet({
      daemonsPerZone,
      longDelayMs: 0,
      longDelayShare: 0,
      loss,
      planIntervalMs: 400,
      presenceIntervalMs: 400,
      seed: 5,
      slicesPerZone: 1,
      zoneCount,
    });
    fleet.events.run(5_000);
    for (let round = 0; round < 20; round += 1) {
      const outcomes: string[] = [];
      const key = mintIdempotencyKey(
        'zone-0',
        fleet.nodes[0]?.getWallTime() ?? 0,
        fleet.randomNumber,
      );
      for (const node of fleet.nodes) {
        node.claim(key, 'content', (outcome) => {
          outcomes.push(outcome.kind);
          if (outcome.kind === 'granted') {
            fleet.events.after(300, () => {
              node.complete(key, 'answered', 'answer');
            });
          }
        });
      }
      fleet.events.run(loss === 0 ? 800 : 5_000);
      const answers = outcomes.filter((kind) => kind === 'answered');
      t.equal(answers.length, fleet.nodes.length - 1, 'the others join');
      t.ok(outcomes.includes('granted'), 'one is granted');
    }
  });
}

t.test('only a member that had to read publishes a generation', async (t) => {
  const bench = new Workbench(['a', 'b', 'c', 'e', 'other'], {});
  const all = [...bench.nodes.keys()];
  bench.adopt(createAssignments(1, ['a', 'b', 'c'], {}, ['a', 'b', 'c']), all);
  bench.adopt(createAssignments(2, ['b', 'c', 'e'], {}, ['b', 'c']), all);
  bench.deliver(['b', 'e']);
  const getPublished = (): readonly number[] =>
    all.map((name) => bench.nodes.get(name)?.ledgerGeneration ?? -1);
  t.same(getPublished(), [0, 0, 0, 0, 0], 'one of two seeds read');
  bench.deliver(all);
  t.same(getPublished(), [0, 0, 0, 2, 0], 'both seeds read');
});
