import type {Route} from '../../Route.js';

import t from 'tap';

import {TrafficSplitter} from '../../TrafficSplitter.js';

type Weights = Readonly<Record<string, number>>;

function createRoute(weights: Weights): Route {
  return {
    attempts: 1,
    hostName: 'shop.example',
    importance: 'normal',
    isIdempotent: true,
    latencyObjectiveMilliseconds: 500,
    name: 'prices',
    pathPrefix: '/',
    targets: Object.entries(weights).map(([service, weight]) => ({
      service,
      weight,
    })),
    timeoutMilliseconds: 1_000,
  };
}

function countPicks(
  splitter: TrafficSplitter,
  route: Route,
  picks: number,
): Weights {
  const counts: Record<string, number> = {};
  for (let pick = 0; pick < picks; pick += 1) {
    const service = splitter.pick(route);
    counts[service] = (counts[service] ?? 0) + 1;
  }
  return counts;
}

const CASES: readonly (readonly [
  name: string,
  weights: Weights,
  expected: Weights,
])[] = [
  ['all requests go to the only service', {shelf: 1}, {shelf: 100}],
  [
    'requests are split 90 to 10',
    {orders: 10, shelf: 90},
    {orders: 10, shelf: 90},
  ],
  [
    'a service with weight 0 gets no request',
    {orders: 0, shelf: 1},
    {shelf: 100},
  ],
  [
    'weights may have a sum that is no number',
    {orders: 1e308, shelf: 1.5e308},
    {orders: 40, shelf: 60},
  ],
  [
    'weights may be fractions',
    {orders: 0.25, shelf: 0.75},
    {orders: 25, shelf: 75},
  ],
];

for (const [name, weights, expected] of CASES) {
  t.test(name, async (t) => {
    t.same(
      countPicks(new TrafficSplitter(), createRoute(weights), 100),
      expected,
    );
  });
}

t.test('new weights apply from the next request on', async (t) => {
  const splitter = new TrafficSplitter();
  splitter.pick(createRoute({orders: 90, shelf: 10}));
  t.same(countPicks(splitter, createRoute({orders: 0, shelf: 1}), 10), {
    shelf: 10,
  });
});

t.test('no service receives a burst', async (t) => {
  const splitter = new TrafficSplitter();
  const route = createRoute({orders: 50, shelf: 50});
  const picks = [1, 2, 3, 4].map(() => splitter.pick(route));
  t.not(picks[0], picks[1]);
  t.equal(picks[0], picks[2]);
});
