import type {ServiceCost} from '../../packets/ServiceCosts.js';

import t from 'tap';

import {CostOrder} from '../../caller/CostOrder.js';
import {RANK_COUNT} from '../../RelayConstants.js';
import {CostOrderPlay} from '../CostOrderPlay.js';

const FAIR_SHARE = 0.5;
const CHANCE = 1;

type Shares = {
  readonly byKind: ReadonlyMap<string, number>;
  /** Share of all requests. */
  readonly total: number;
};

function play(demand: number, fairShare: number, seed: number): Shares {
  const played = new CostOrderPlay(demand, fairShare, seed);
  played.run();
  let asked = 0;
  let served = 0;
  const byKind = new Map<string, number>();
  for (const [name, counts] of played.counts) {
    asked += counts.asked;
    served += counts.served;
    byKind.set(name, counts.served / counts.asked);
  }
  return {byKind, total: served / asked};
}

/** Demand relative to the slots, and the least gain of served requests. */
const LOADS = [
  {demand: 0.8, gain: 0},
  {demand: 1, gain: 0},
  {demand: 1.2, gain: 0.03},
  {demand: 1.5, gain: 0.03},
  {demand: 2, gain: 0.03},
];

/** Noise of one play: about 3,000 requests. */
const TOLERANCE = 0.01;

for (const {demand, gain} of LOADS) {
  for (const seed of [1, 2, 3]) {
    t.test(
      `more callers are served at ${String(demand)} times the slots, seed ${String(seed)}`,
      async (t) => {
        const before = play(demand, CHANCE, seed);
        const after = play(demand, FAIR_SHARE, seed);
        const [claim = 0, chain = 0, long = 0] = after.byKind.values();
        const [claimBefore = 0] = before.byKind.values();
        t.comment(
          JSON.stringify([before, after].map(({byKind}) => [...byKind])),
        );
        t.ok(
          after.total >= before.total + gain - TOLERANCE,
          `${after.total.toFixed(3)} of all, ${before.total.toFixed(3)} by chance`,
        );
        t.ok(claim >= claimBefore - 2 * TOLERANCE, 'the most important');
        t.ok(
          long >= FAIR_SHARE * chain - 2 * TOLERANCE,
          `${long.toFixed(3)} of the most expensive`,
        );
      },
    );
  }
}

function createCosts(slotMilliseconds: number, threshold = 2_500): ServiceCost {
  return {service: 'records', slotMilliseconds, threshold};
}

type Route = {readonly cost: number; readonly name: string};

/** Returns an order that has seen the same number of requests of each route. */
function createOrder(routes: readonly Route[], threshold?: number): CostOrder {
  const order = new CostOrder(FAIR_SHARE);
  for (let count = 0; count < 30; count += 1) {
    for (const {cost, name} of routes) {
      order.getCohort({cohort: 0, importance: 'low', route: name}, count);
      order.recordRoot(name, [createCosts(cost, threshold)], true, count);
    }
  }
  order.getCohort({cohort: 0, importance: 'low', route: ''}, 500);
  return order;
}

const CASES: readonly {
  readonly expected: readonly number[];
  readonly name: string;
  readonly routes: readonly Route[];
  readonly threshold?: number;
}[] = [
  {
    expected: [0.45, 0.8],
    name: 'the cheaper one is shed last, each by its part of the work',
    routes: [
      {cost: 100, name: 'a'},
      {cost: 400, name: 'b'},
    ],
  },
  {
    expected: [0.8, 0.45],
    name: 'whatever the order in which they were seen',
    routes: [
      {cost: 400, name: 'a'},
      {cost: 100, name: 'b'},
    ],
  },
  {
    expected: [0.75, 0.75],
    name: 'similar costs are shed alike',
    routes: [
      {cost: 100, name: 'a'},
      {cost: 140, name: 'b'},
    ],
  },
  {
    expected: [0.75, 0.75],
    name: 'a route without cost and the only one that has some',
    routes: [
      {cost: 0, name: 'a'},
      {cost: 400, name: 'b'},
    ],
  },
  {
    expected: [0.75, 0.75],
    name: 'nothing binds',
    routes: [
      {cost: 100, name: 'a'},
      {cost: 400, name: 'b'},
    ],
    threshold: RANK_COUNT,
  },
];

for (const {expected, name, routes, threshold} of CASES) {
  t.test(`cohorts: ${name}`, async (t) => {
    const order = createOrder(routes, threshold);
    const cohorts = routes.map((route) =>
      order.getCohort(
        {cohort: 0.75, importance: 'low', route: route.name},
        501,
      ),
    );
    for (const [index, cohort] of cohorts.entries()) {
      t.ok(
        Math.abs(cohort - (expected[index] ?? 0)) < 0.01,
        `${String(cohort)}, expected ${String(expected[index])}`,
      );
    }
  });
}

t.test('a route that was never seen keeps its cohort', async (t) => {
  const order = createOrder([{cost: 100, name: 'a'}]);
  const request = {cohort: 0.9, importance: 'low', route: 'new'};
  t.equal(order.getCohort(request, 600), 0.9);
});

t.test('a route that is used no more takes no part in the order', async (t) => {
  const order = createOrder([
    {cost: 100, name: 'a'},
    {cost: 400, name: 'b'},
  ]);
  const request = {cohort: 0.75, importance: 'low', route: 'a'};
  for (let now = 501; now < 60_000; now += 250) {
    order.recordRoot('a', [createCosts(100)], true, now);
    order.getCohort(request, now);
  }
  t.ok(Math.abs(order.getCohort(request, 60_000) - 0.75) < 0.01);
});

t.test('cohorts stay in their range whatever is reported', async (t) => {
  const order = createOrder([
    {cost: 100, name: 'a'},
    {cost: 600_000, name: 'b'},
    {cost: 0, name: 'c'},
  ]);
  for (const route of ['a', 'b', 'c', 'd']) {
    for (const cohort of [0, 0.04, 0.5, 0.999_9]) {
      const value = order.getCohort({cohort, importance: 'low', route}, 700);
      t.ok(value >= 0 && value < 1, `${route} ${String(cohort)}`);
    }
  }
});
