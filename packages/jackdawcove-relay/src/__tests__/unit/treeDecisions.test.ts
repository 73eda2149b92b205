import t from 'tap';

import {RouteCosts} from '../../caller/RouteCosts.js';
import {ServiceThresholds} from '../../caller/ServiceThresholds.js';
import {TreeAdmission} from '../../caller/TreeAdmission.js';
import {decodePacket, encodePacket} from '../../packets/RelayPackets.js';
import {decodeCosts, ServiceCostSum} from '../../packets/ServiceCosts.js';
import {RANK_COUNT} from '../../RelayConstants.js';
import {WorkThreshold} from '../../server/WorkThreshold.js';

const AUDIO = {service: 'audio', slotMilliseconds: 376, threshold: 2_400};
const TOURS = {service: 'tours', slotMilliseconds: 400, threshold: RANK_COUNT};

t.test('a report of costs on the wire', async (t) => {
  const cases: readonly {expected: unknown; name: string; value: unknown}[] = [
    {expected: undefined, name: 'none', value: undefined},
    {expected: undefined, name: 'no list', value: 'audio'},
    {expected: [AUDIO], name: 'one service', value: ['audio', 376, 2_400]},
    {
      expected: [{...AUDIO, threshold: undefined}],
      name: 'no threshold',
      value: ['audio', 376, null],
    },
    {
      expected: [AUDIO],
      name: 'a part of an entry',
      value: ['audio', 376, 2_400, 'tours', 4],
    },
    {expected: [], name: 'not finite', value: ['audio', Infinity, 2_400]},
    {expected: [], name: 'no number', value: ['audio', NaN, 2_400]},
    {expected: [], name: 'a threshold NaN', value: ['audio', 376, NaN]},
    {expected: [], name: 'negative', value: ['audio', -1, 2_400]},
    {expected: [], name: 'a threshold of no rank', value: ['audio', 1, 9_000]},
  ];
  for (const {expected, name, value} of cases) {
    t.strictSame(decodeCosts(value), expected, name);
  }
  const failure = {
    attempt: 4,
    kind: 'failure',
    load: {
      condition: undefined,
      limit: 37,
      queued: 2,
      running: 37,
      threshold: 2_400,
    },
    mayHaveRun: true,
    reason: 'broken',
  } as const;
  const plain = encodePacket(failure);
  const bytes = encodePacket({...failure, costs: [AUDIO, TOURS]});
  t.same(decodePacket(bytes), {...failure, costs: [AUDIO, TOURS]});
  t.same(encodePacket({...failure, costs: undefined}), plain, 'no bytes');
});

t.test('a sum of costs names the largest services', async (t) => {
  const sum = new ServiceCostSum();
  sum.addAll([AUDIO, TOURS]);
  sum.addAll([AUDIO]);
  for (const service of ['a', 'b', 'c']) {
    sum.add(service, 1, undefined);
  }
  t.same(
    sum.list().map(({service}) => service),
    ['audio', 'tours', 'a', 'b'],
  );
  t.equal(sum.list()[0]?.slotMilliseconds, 752);
});

t.test('services that a route uses', async (t) => {
  const complete = {costs: [AUDIO, TOURS], isComplete: true};
  const cut = {costs: [TOURS], isComplete: false};
  const changed = {costs: [TOURS], isComplete: true};
  const trifle = {
    costs: [TOURS, {...AUDIO, slotMilliseconds: 4}],
    isComplete: true,
  };
  const cases = [
    {expected: undefined, name: 'nothing known', reports: []},
    {expected: ['audio', 'tours'], name: 'one report', reports: [complete]},
    {
      expected: ['audio', 'tours'],
      name: 'requests that were cut short',
      reports: [complete, ...Array.from({length: 200}, () => cut)],
    },
    {
      expected: ['tours'],
      name: 'a release that no longer calls',
      reports: [complete, ...Array.from({length: 200}, () => changed)],
    },
    {expected: ['tours'], name: 'a small share', reports: [trifle]},
  ];
  for (const {expected, name, reports} of cases) {
    const routeCosts = new RouteCosts();
    for (const {costs, isComplete} of reports) {
      routeCosts.record('tour-list', costs, isComplete, 0);
    }
    t.same(routeCosts.getUsedServices('tour-list'), expected, name);
  }
});

t.test('threshold of a service', async (t) => {
  const cases = [
    {at: 0, expected: RANK_COUNT, name: 'nothing heard', reports: []},
    {at: 500, expected: 2_400, name: 'heard lately', reports: [2_400]},
    {at: 2_000, expected: 2_900, name: 'not heard for 2 s', reports: [2_400]},
    {at: 60_000, expected: RANK_COUNT, name: 'for a minute', reports: [2_400]},
    {at: 0, expected: 2_400, name: 'no number', reports: [2_400, NaN]},
    {at: 0, expected: 2_400, name: 'infinite', reports: [2_400, Infinity]},
    {at: 0, expected: 2_400, name: 'negative', reports: [2_400, -5]},
  ];
  for (const {at, expected, name, reports} of cases) {
    const thresholds = new ServiceThresholds();
    for (const report of reports) {
      thresholds.record('audio', report, 0);
    }
    t.equal(thresholds.get('audio', at), expected, name);
  }
});

t.test('admission at the root', async (t) => {
  const list = {route: 'tour-list', service: 'tours'};
  const card = {route: 'card', service: 'exhibits'};
  const unknown = {route: 'new', service: 'audio'};
  const cases = [
    {expected: undefined, name: 'below', request: {...list, shedRank: 2_399}},
    {expected: 'audio', name: 'above', request: {...list, shedRank: 2_400}},
    {expected: undefined, name: 'a probe', request: {...list, shedRank: 3_010}},
    {
      expected: undefined,
      name: 'a route that does not use the service',
      request: {...card, shedRank: 2_900},
    },
    {
      expected: 'audio',
      name: 'a new route of the service itself',
      request: {...unknown, shedRank: 2_900},
    },
  ];
  const admission = new TreeAdmission();
  admission.recordThresholds([AUDIO, TOURS], 0);
  admission.recordRoot('tour-list', [AUDIO, TOURS], true, 0);
  admission.recordRoot(
    'card',
    [{service: 'exhibits', slotMilliseconds: 400, threshold: RANK_COUNT}],
    true,
    0,
  );
  for (const {expected, name, request} of cases) {
    t.equal(admission.findBindingService(request, 0), expected, name);
  }
  t.equal(
    new TreeAdmission().findBindingService({...list, shedRank: 2_900}, 0),
    undefined,
    'a daemon that was restarted admits until it hears a threshold',
  );
  t.equal(
    admission.findBindingService({...list, shedRank: 2_900}, 30_000),
    undefined,
    'a daemon that is cut off stops trusting what it heard',
  );
});

const TARGET_WAIT_MILLISECONDS = 40;

/** Plays arrivals at one instance whose callers follow its threshold. */
function playInstance(
  arrivalsPerTick: number,
  limit: number,
  runTime: number,
  startInterval: number,
): number {
  const threshold = new WorkThreshold(0);
  threshold.setStartInterval(startInterval);
  for (let tick = 1; tick <= 200; tick += 1) {
    for (let index = 0; index < arrivalsPerTick; index += 1) {
      const rank = Math.floor(
        ((index + ((tick * 0.618) % 1)) * 3_000) / arrivalsPerTick,
      );
      if (rank < threshold.getThreshold() || rank % 1_000 < 40) {
        threshold.recordArrival(rank);
        threshold.recordRunTime(runTime);
        threshold.recordWait(rank, TARGET_WAIT_MILLISECONDS);
      }
    }
    threshold.tick(tick * 40, {limit, queued: 0});
  }
  return threshold.getThreshold();
}

t.test('threshold of an instance', async (t) => {
  const cases = [
    {arrivals: 30, limit: 60, name: 'room', range: [3_000, RANK_COUNT]},
    {arrivals: 80, limit: 60, name: 'too much', range: [1_500, 2_200]},
    {
      arrivals: 80,
      limit: 0,
      name: 'no slots known',
      range: [RANK_COUNT, RANK_COUNT],
    },
    {
      arrivals: 30,
      limit: 60,
      name: 'slow',
      range: [1_000, 2_600],
      runTime: 100,
    },
    {
      arrivals: 30,
      limit: 60,
      name: 'limited',
      range: [800, 2_000],
      startInterval: 4,
    },
    {arrivals: 900, limit: 6, name: 'far too much', range: [200, 300]},
  ];
  for (const {arrivals, limit, name, range, ...rest} of cases) {
    const {runTime = 50, startInterval = 0} = rest;
    const level = playInstance(arrivals, limit, runTime, startInterval);
    const [least = 0, most = 0] = range;
    t.ok(level >= least && level <= most, `${name}: ${String(level)}`);
  }
});
