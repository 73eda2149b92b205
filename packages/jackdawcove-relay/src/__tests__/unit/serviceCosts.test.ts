import t from 'tap';

import {RouteCosts} from '../../caller/RouteCosts.js';
import {ServiceThresholds} from '../../caller/ServiceThresholds.js';
import {decodePacket, encodePacket} from '../../packets/RelayPackets.js';
import {decodeCosts, ServiceCostSum} from '../../packets/ServiceCosts.js';
import {RANK_COUNT} from '../../RelayConstants.js';

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

t.test('slot time of a route at services', async (t) => {
  const complete = {costs: [AUDIO, TOURS], isComplete: true};
  const cut = {costs: [TOURS], isComplete: false};
  const changed = {costs: [TOURS], isComplete: true};
  const trifle = {
    costs: [TOURS, {...AUDIO, slotMilliseconds: 4}],
    isComplete: true,
  };
  const cases = [
    {expected: {}, name: 'nothing known', reports: []},
    {
      expected: {audio: 376, tours: 400},
      name: 'one report',
      reports: [complete],
    },
    {
      expected: {audio: 376, tours: 400},
      name: 'requests that were cut short',
      reports: [complete, ...Array.from({length: 200}, () => cut)],
    },
    {
      expected: {tours: 400},
      name: 'a release that no longer calls',
      reports: [complete, ...Array.from({length: 200}, () => changed)],
    },
    {
      expected: {audio: 4, tours: 400},
      name: 'a small share',
      reports: [trifle],
    },
  ];
  for (const {expected, name, reports} of cases) {
    const routeCosts = new RouteCosts();
    for (const {costs, isComplete} of reports) {
      routeCosts.record('tour-list', costs, isComplete, 0);
    }
    const known = ['audio', 'tours'].flatMap((service) =>
      routeCosts.listCosts(service).map(([, mean]) => [service, mean]),
    );
    t.same(Object.fromEntries(known), expected, name);
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
