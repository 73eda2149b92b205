import type {LedgerAssignments, LedgerMessage} from '../../index.js';
import type {InjectedLedgerBugs} from '../LedgerNode.js';
import type {ClaimRun} from 'jackdawcove-checker';

import {ClaimHistoryChecker} from 'jackdawcove-checker';
import t from 'tap';

import {mintIdempotencyKey, parseIdempotencyKey} from '../../index.js';
import {LedgerFleet} from '../LedgerFleet.js';
import {LedgerNode} from '../LedgerNode.js';

type Envelope = {
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

/** Nodes whose messages are delivered only by explicit calls. */
class ProtocolHarness {
  readonly granted: string[] = [];
  readonly nodes = new Map<string, LedgerNode>();
  now = 10_000;
  envelopes: Envelope[] = [];

  constructor(names: readonly string[], injectedBugs: InjectedLedgerBugs) {
    for (const name of names) {
      this.nodes.set(
        name,
        new LedgerNode({
          clockOffsetMs: 0,
          getNow: () => this.now,
          injectedBugs,
          name,
          send: (from, to, message) => {
            this.envelopes.push({from: from.name, message, to});
          },
          zone: ZONE,
        }),
      );
    }
    const presence = new Map(
      names.map((name) => [name, {incarnation: 1, isReachable: true}]),
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

  /**
   * Delivers the queued messages among the given nodes, and the messages that
   * follow from them.
   */
  deliver(names: readonly string[]): void {
    const isWithin = ({from, to}: Envelope): boolean =>
      names.includes(from) && names.includes(to);
    for (;;) {
      const envelope = this.envelopes.find(isWithin);
      if (envelope === undefined) {
        return;
      }
      this.envelopes = this.envelopes.filter((other) => other !== envelope);
      this.nodes.get(envelope.to)?.receive(envelope.message, envelope.from);
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
 * Member a acknowledges the first claim and is replaced by e before the claim
 * reaches b. The second claim is acknowledged by c and e. A double grant would
 * result if the first claimant still counted the acknowledgement of a.
 */
function runReplacement(injectedBugs: InjectedLedgerBugs): readonly string[] {
  const harness = new ProtocolHarness(
    ['a', 'b', 'c', 'e', 'first', 'second'],
    injectedBugs,
  );
  const all = [...harness.nodes.keys()];
  const key = mintIdempotencyKey(
    ZONE,
    harness.nodes.get('a')?.getWallTime() ?? 0,
    () => 0.5,
  );
  harness.adopt(
    createAssignments(1, ['a', 'b', 'c'], {}, ['a', 'b', 'c']),
    all,
  );
  harness.claim('first', key);
  harness.deliver(['a', 'first']);
  harness.adopt(createAssignments(2, ['b', 'c', 'e'], {}, ['b', 'c']), all);
  harness.deliver(['b', 'c', 'e']);
  harness.claim('second', key);
  harness.deliver(['c', 'e', 'second']);
  harness.deliver(['b', 'first']);
  harness.deliver(all);
  return harness.check(key);
}

/**
 * Member a restarts without records and receives a claim before it has read its
 * seeds.
 */
function runRestart(injectedBugs: InjectedLedgerBugs): readonly string[] {
  const harness = new ProtocolHarness(
    ['a', 'b', 'c', 'first', 'second'],
    injectedBugs,
  );
  const all = [...harness.nodes.keys()];
  const key = mintIdempotencyKey(
    ZONE,
    harness.nodes.get('a')?.getWallTime() ?? 0,
    () => 0.5,
  );
  harness.adopt(
    createAssignments(1, ['a', 'b', 'c'], {}, ['a', 'b', 'c']),
    all,
  );
  harness.claim('first', key);
  harness.deliver(['a', 'b', 'first']);
  harness.envelopes = [];
  const restarted = harness.nodes.get('a');
  restarted?.stop();
  restarted?.start();
  harness.adopt(createAssignments(2, ['a', 'b', 'c'], {a: 2}, ['b', 'c']), all);
  harness.claim('second', key);
  harness.deliver(['a', 'c', 'second']);
  return harness.check(key);
}

/**
 * The claimant restarts and claims again; answers to its earlier process arrive
 * late.
 */
function runClaimantRestart(
  injectedBugs: InjectedLedgerBugs,
): readonly string[] {
  const harness = new ProtocolHarness(['a', 'b', 'c', 'first'], injectedBugs);
  const all = [...harness.nodes.keys()];
  const key = mintIdempotencyKey(
    ZONE,
    harness.nodes.get('a')?.getWallTime() ?? 0,
    () => 0.5,
  );
  const assignments = createAssignments(1, ['a', 'b', 'c'], {}, [
    'a',
    'b',
    'c',
  ]);
  harness.adopt(assignments, all);
  harness.claim('first', key);
  harness.deliver(all);
  const claimant = harness.nodes.get('first');
  const earlierIncarnation = claimant?.incarnation ?? 0;
  claimant?.stop();
  claimant?.start();
  harness.adopt(assignments, ['first']);
  harness.claim('first', key);
  for (const from of ['a', 'b']) {
    claimant?.receive(
      {
        claimantIncarnation: earlierIncarnation,
        generation: 1,
        incarnation: 1,
        key: parseIdempotencyKey(key)?.identifier ?? '',
        kind: 'claimAnswer',
        sequence: 1,
      },
      from,
    );
  }
  harness.deliver(all);
  return harness.check(key);
}

const CASES = [
  {
    expected: [],
    injectedBugs: {},
    name: 'the claimant restarts while answers are in flight',
    run: runClaimantRestart,
  },
  {
    expected: [],
    injectedBugs: {},
    name: 'a member is replaced while a claim is pending',
    run: runReplacement,
  },
  {
    expected: ['ranTwice'],
    injectedBugs: {acceptsStaleAcknowledgements: true},
    name: 'the checker detects: stale acknowledgements are accepted',
    run: runReplacement,
  },
  {
    expected: [],
    injectedBugs: {},
    name: 'a member restarts without records',
    run: runRestart,
  },
  {
    expected: ['ranTwice'],
    injectedBugs: {answersBeforeSeeding: true},
    name: 'the checker detects: a restarted member answers before it has read its seeds',
    run: runRestart,
  },
];

for (const {expected, injectedBugs, name, run} of CASES) {
  t.test(name, async (t) => {
    t.same(run(injectedBugs), expected);
  });
}

const CONTENTION_CASES = [
  {daemonsPerZone: 5, lossProbability: 0, name: 'three members', zoneCount: 1},
  {daemonsPerZone: 2, lossProbability: 0, name: 'two members', zoneCount: 2},
  {daemonsPerZone: 1, lossProbability: 0, name: 'one member', zoneCount: 3},
  {
    daemonsPerZone: 3,
    lossProbability: 0.2,
    name: 'lossy network',
    zoneCount: 2,
  },
];

for (const {
  daemonsPerZone,
  lossProbability,
  name,
  zoneCount,
} of CONTENTION_CASES) {
  t.test(`all daemons claim the same key concurrently: ${name}`, async (t) => {
    const fleet = new LedgerFleet({
      daemonsPerZone,
      longDelayMs: 0,
      longDelayProbability: 0,
      lossProbability,
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
      fleet.events.run(lossProbability === 0 ? 800 : 5_000);
      const answers = outcomes.filter((kind) => kind === 'answered');
      t.equal(
        answers.length,
        fleet.nodes.length - 1,
        'the other claims join and get the answer',
      );
      t.ok(outcomes.includes('granted'), 'one claim is granted');
    }
  });
}

t.test(
  'only a member that had to read seeds publishes a generation',
  async (t) => {
    const harness = new ProtocolHarness(['a', 'b', 'c', 'e', 'other'], {});
    const all = [...harness.nodes.keys()];
    harness.adopt(
      createAssignments(1, ['a', 'b', 'c'], {}, ['a', 'b', 'c']),
      all,
    );
    harness.adopt(createAssignments(2, ['b', 'c', 'e'], {}, ['b', 'c']), all);
    harness.deliver(['b', 'e']);
    const getPublished = (): readonly number[] =>
      all.map((name) => harness.nodes.get(name)?.ledgerGeneration ?? -1);
    t.same(getPublished(), [0, 0, 0, 0, 0], 'one of two seeds has been read');
    harness.deliver(all);
    t.same(getPublished(), [0, 0, 0, 2, 0], 'both seeds have been read');
  },
);
