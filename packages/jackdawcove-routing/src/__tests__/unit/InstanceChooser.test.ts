import type {InstanceCandidate, RoutingSwitches} from '../../index.js';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {
  CONSECUTIVE_FAILURES_TO_EJECT,
  DEFAULT_ROUTING_SWITCHES,
  InstanceChooser,
  pickSubset,
  RouteThresholds,
} from '../../index.js';

const PICKS = 200;
const SERVICE = 'shelf';

function createCandidate(
  instance: string,
  overrides: Partial<InstanceCandidate> = {},
): InstanceCandidate {
  return {
    availabilityZone: 'erie-dock',
    daemon: `daemon-${instance}`,
    daemonIncarnation: 1,
    instance,
    instanceIncarnation: 1,
    isDraining: false,
    isReachable: true,
    region: 'lakes',
    slots: 10,
    ...overrides,
  };
}

function createChooser(switches?: Partial<RoutingSwitches>): InstanceChooser {
  return new InstanceChooser({
    availabilityZone: 'erie-dock',
    daemon: 'caller',
    randomNumber: createSeededRandom(2),
    region: 'lakes',
    switches: {...DEFAULT_ROUTING_SWITCHES, ...switches},
  });
}

type ChoiceOptions = {
  readonly excluded?: ReadonlySet<string>;
  readonly now?: number;
  readonly priority?: number;
};

/** Chooses many times and returns the share of each instance. */
function getChoiceShares(
  chooser: InstanceChooser,
  candidates: readonly InstanceCandidate[],
  options: ChoiceOptions = {},
): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  for (let pick = 0; pick < PICKS; pick += 1) {
    const choice = chooser.choose(
      {
        candidates,
        excluded: options.excluded ?? new Set(),
        priority: options.priority ?? 1.5,
        service: SERVICE,
      },
      options.now ?? 0,
    );
    const name =
      choice.kind === 'chosen' ? choice.candidate.instance : choice.kind;
    shares.set(name, (shares.get(name) ?? 0) + 1 / PICKS);
  }
  return shares;
}

const NEAR = createCandidate('near');
const SECOND_NEAR = createCandidate('nearToo');
const OTHER_ZONE = createCandidate('zone', {availabilityZone: 'huron-yard'});
const OTHER_REGION = createCandidate('region', {
  availabilityZone: 'far-zone',
  region: 'far',
});
const DRAINING = createCandidate('draining', {isDraining: true});
const UNREACHABLE = createCandidate('unreachable', {isReachable: false});

type Case = {
  readonly candidates: readonly InstanceCandidate[];
  readonly chosen: readonly string[];
  readonly name: string;
  readonly options?: ChoiceOptions;
};

const CASES: readonly Case[] = [
  {
    candidates: [],
    chosen: ['none'],
    name: 'no instance is chosen when none is announced',
  },
  {
    candidates: [DRAINING, UNREACHABLE, OTHER_ZONE],
    chosen: ['zone'],
    name: 'draining and unreachable instances are not chosen',
  },
  {
    candidates: [DRAINING, UNREACHABLE],
    chosen: ['none'],
    name: 'no instance is chosen when all are draining or unreachable',
  },
  {
    candidates: [OTHER_REGION, OTHER_ZONE, NEAR],
    chosen: ['near'],
    name: "an instance in the chooser's availability zone is preferred",
  },
  {
    candidates: [OTHER_REGION, OTHER_ZONE],
    chosen: ['zone'],
    name: "an instance in the chooser's region is preferred to other regions",
  },
  {
    candidates: [OTHER_REGION],
    chosen: ['region'],
    name: 'an instance in another region is chosen when there is no other',
  },
  {
    candidates: [NEAR, OTHER_ZONE],
    chosen: ['zone'],
    name: 'an instance that was already tried is excluded',
    options: {excluded: new Set(['near'])},
  },
  {
    candidates: [NEAR, SECOND_NEAR],
    chosen: ['near', 'nearToo'],
    name: 'two equal instances are both used',
  },
];

for (const {candidates, chosen, name, options} of CASES) {
  t.test(name, async (t) => {
    const shares = getChoiceShares(createChooser(), candidates, options);
    t.same([...shares.keys()].sort(), [...chosen].sort());
  });
}

t.test(
  'work spills over when the nearest zone is under pressure',
  async (t) => {
    const chooser = createChooser();
    for (let call = 0; call < 8; call += 1) {
      chooser.recordSent(SERVICE, NEAR);
    }
    t.same([...getChoiceShares(chooser, [NEAR, OTHER_ZONE]).keys()], ['zone']);
    const unaware = createChooser({isZoneAware: false});
    t.ok(
      getChoiceShares(unaware, [NEAR, OTHER_ZONE]).has('zone'),
      'zone awareness switched off',
    );
  },
);

const IDLE = {inFlight: 0, limit: 10, queueingDelayMilliseconds: 0};

t.test('sheds what every instance would refuse, then probes', async (t) => {
  const chooser = createChooser();
  const load = {...IDLE, threshold: 1.8};
  chooser.recordLoad(SERVICE, NEAR, load, 0);
  t.ok(
    getChoiceShares(chooser, [NEAR, OTHER_ZONE]).has('zone'),
    'another accepts it',
  );
  t.same([...getChoiceShares(chooser, [NEAR]).keys()], ['shed']);
  t.same(
    [...getChoiceShares(chooser, [NEAR], {priority: 1.9}).keys()],
    ['near'],
  );
  t.same([...getChoiceShares(chooser, [NEAR], {now: 500}).keys()], ['near']);
  const off = createChooser({isSheddingBeforeSending: false});
  off.recordLoad(SERVICE, NEAR, load, 0);
  t.same([...getChoiceShares(off, [NEAR]).keys()], ['near'], 'switched off');
});

function failUntilEjected(
  chooser: InstanceChooser,
  candidate: InstanceCandidate,
): void {
  for (let count = 0; count < CONSECUTIVE_FAILURES_TO_EJECT; count += 1) {
    chooser.recordSent(SERVICE, candidate);
    chooser.recordEnded(SERVICE, candidate, 'failed', 0);
  }
}

t.test('ejects failing instances, but never all', async (t) => {
  const all = ['a', 'b', 'c', 'd'].map((name) => createCandidate(name));
  const chooser = createChooser();
  failUntilEjected(chooser, all[0] as InstanceCandidate);
  t.same([...getChoiceShares(chooser, all).keys()].sort(), ['b', 'c', 'd']);
  t.equal(
    getChoiceShares(chooser, all, {now: 1_001}).size,
    4,
    'the ejection ends',
  );
  for (const candidate of all) {
    failUntilEjected(chooser, candidate);
  }
  t.equal(getChoiceShares(chooser, all).size, 2, 'half of them stay available');
  const off = createChooser({isEjecting: false});
  failUntilEjected(off, all[0] as InstanceCandidate);
  t.ok(getChoiceShares(off, all).has('a'), 'switched off');
});

t.test('an instance is ejected after one call without an answer', async (t) => {
  const chooser = createChooser();
  chooser.recordSent(SERVICE, NEAR);
  chooser.recordEnded(SERVICE, NEAR, 'silent', 0);
  t.same(
    [...getChoiceShares(chooser, [NEAR, SECOND_NEAR]).keys()],
    ['nearToo'],
  );
});

t.test('a restarted instance starts without earlier failures', async (t) => {
  const chooser = createChooser();
  failUntilEjected(chooser, NEAR);
  const restarted = {...NEAR, instanceIncarnation: 2};
  t.ok(getChoiceShares(chooser, [restarted, SECOND_NEAR]).has('near'));
});

t.test('the subset is stable and changes little', async (t) => {
  const names = Array.from({length: 100}, (_, index) => `i${String(index)}`);
  const pick = (items: readonly string[]): readonly string[] =>
    pickSubset('caller', items, 20, (item) => item);
  const subset = pick(names);
  t.equal(subset.length, 20);
  t.same(new Set(pick(names.toReversed())), new Set(subset));
  const without = names.filter((name) => name !== subset[0]);
  const kept = pick(without).filter((name) => subset.includes(name));
  t.equal(kept.length, 19);
});

t.test('the threshold of a route follows reports and decays', async (t) => {
  const thresholds = new RouteThresholds();
  thresholds.observe(SERVICE, 'prices', 2, 0);
  t.equal(thresholds.getThreshold(SERVICE, 'prices', 50), 2);
  t.equal(thresholds.getThreshold(SERVICE, 'stock', 50), 0);
  t.ok(thresholds.getThreshold(SERVICE, 'prices', 200) < 2);
  t.equal(thresholds.getThreshold(SERVICE, 'prices', 1_000), 0);
});
