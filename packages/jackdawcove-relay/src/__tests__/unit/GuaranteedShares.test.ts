import type {RouteCost} from '../../caller/GuaranteedShares.js';

import t from 'tap';

import {GuaranteedShares} from '../../caller/GuaranteedShares.js';

type Route = {
  readonly answered: number;
  readonly cost: number;
  /** 2000 unless said. */
  readonly firstRank?: number;
  readonly name: string;
  readonly requests: number;
};

const NOW = 1_000;
const FIRST_RANK = 2_000;
const MOST_IMPORTANT = {
  answered: 0,
  cost: 1,
  firstRank: 0,
  name: 'important',
  requests: 1,
};
const TOLERANCE = 0.01;
const ANSWERED = {
  answered: 5_000,
  cost: 100,
  firstRank: 0,
  name: 'b',
  requests: 5_000,
};

function createShares(routes: readonly Route[]): GuaranteedShares {
  const shares = new GuaranteedShares();
  for (const {answered, firstRank = FIRST_RANK, name, requests} of routes) {
    for (let count = 0; count < requests; count += 1) {
      shares.countRequest({firstRank, route: name}, NOW);
    }
    for (let count = 0; count < answered; count += 1) {
      shares.countAnswer(name, NOW);
    }
  }
  return shares;
}

function listCosts(routes: readonly Route[]): readonly RouteCost[] {
  return routes.map(({cost, name}) => [name, cost] as const);
}

/** The first route of each case is the one whose share is expected. */
const CASES: readonly {
  readonly expected: number;
  readonly name: string;
  readonly routes: readonly Route[];
}[] = [
  {
    expected: 0.1667,
    name: 'its part of the slot time alone while it is answered',
    routes: [
      {answered: 9_000, cost: 100, name: 'a', requests: 9_000},
      MOST_IMPORTANT,
      {answered: 0, cost: 100, name: 'b', requests: 1},
    ],
  },
  {
    expected: 0.15,
    name: 'three tenths of the answered share of all while it starves',
    routes: [{answered: 0, cost: 200, name: 'a', requests: 5_000}, ANSWERED],
  },
  {
    expected: 0.625,
    name: 'its part of half of the slot time for a cheap route',
    routes: [{answered: 0, cost: 40, name: 'a', requests: 5_000}, ANSWERED],
  },
  {
    expected: 1,
    name: 'all of a route that costs next to nothing',
    routes: [{answered: 0, cost: 1, name: 'a', requests: 5_000}, ANSWERED],
  },
  {
    expected: 0.4167,
    name: 'a smaller part where more routes use the service',
    routes: [
      {answered: 0, cost: 40, name: 'a', requests: 5_000},
      ANSWERED,
      {answered: 0, cost: 100, name: 'c', requests: 5_000},
    ],
  },
  {
    expected: 0.2308,
    name: 'nearly three tenths while only a few have failed',
    routes: [
      {answered: 0, cost: 100, name: 'a', requests: 5},
      {...MOST_IMPORTANT, cost: 100},
    ],
  },
  {
    expected: 0,
    name: 'nothing for the most important that use the service',
    routes: [
      {answered: 0, cost: 100, name: 'a', requests: 5_000},
      {answered: 5_000, cost: 0, firstRank: 0, name: 'b', requests: 5_000},
    ],
  },
  {
    expected: 0,
    name: 'nothing for a route that does not use the service',
    routes: [{answered: 0, cost: 0, name: 'a', requests: 5_000}, ANSWERED],
  },
];

for (const {expected, name, routes} of CASES) {
  t.test(name, async (t) => {
    const shares = createShares(routes);
    const {firstRank = FIRST_RANK, name: route = ''} = routes[0] ?? {};
    const share = shares.getShare(
      {firstRank, route},
      () => listCosts(routes),
      NOW,
    );
    t.ok(
      Math.abs(share - expected) < TOLERANCE,
      `${share.toFixed(4)}, expected ${expected.toFixed(4)}`,
    );
  });
}

t.test('a shortage that is over is forgotten', async (t) => {
  const routes = [
    {answered: 0, cost: 100, name: 'a', requests: 5_000},
    {answered: 500, cost: 100, firstRank: 0, name: 'b', requests: 5_000},
  ];
  const shares = createShares(routes);
  const request = {firstRank: FIRST_RANK, route: 'a'};
  const costs = (): readonly RouteCost[] => listCosts(routes);
  t.ok(shares.getShare(request, costs, NOW) < 0.05);
  const later = NOW + 200_000;
  for (let count = 0; count < 50; count += 1) {
    shares.countRequest({firstRank: 0, route: 'b'}, later);
    shares.countRequest(request, later);
    shares.countAnswer('a', later);
    shares.countAnswer('b', later);
  }
  const share = shares.getShare(request, costs, later);
  t.ok(Math.abs(share - 0.5) < TOLERANCE, `${share.toFixed(4)}, half`);
});

t.test('no request is guaranteed while no service binds', async (t) => {
  const shares = createShares([
    {answered: 0, cost: 0, name: 'a', requests: 5_000},
    {answered: 0, cost: 0, firstRank: 0, name: 'b', requests: 5_000},
  ]);
  const request = {firstRank: FIRST_RANK, route: 'a'};
  t.equal(
    shares.getShare(request, () => [], NOW),
    0,
  );
});
