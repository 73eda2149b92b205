import type {Route} from '../../Route.js';

import t from 'tap';

import {findRouteFaults} from '../../findRouteFaults.js';

const ROUTE: Route = {
  attempts: 1,
  hostName: 'shop.example',
  importance: 'normal',
  isIdempotent: true,
  latencyObjectiveMilliseconds: 500,
  name: 'first',
  pathPrefix: '/',
  targets: [{service: 'shelf', weight: 1}],
  timeoutMilliseconds: 1_000,
};

const CASES: readonly (readonly [
  name: string,
  routes: readonly Route[],
  expected: readonly RegExp[],
])[] = [
  ['a valid set of routes has no fault', [ROUTE], []],
  [
    'two routes with the same host name and prefix are a fault',
    [ROUTE, {...ROUTE, hostName: 'SHOP.example', name: 'second'}],
    [/first and second share/],
  ],
  [
    'an unknown service is a fault',
    [{...ROUTE, targets: [{service: 'lost', weight: 1}]}],
    [/unknown service lost/],
  ],
  [
    'a route without a weight above 0 is a fault',
    [{...ROUTE, targets: [{service: 'shelf', weight: 0}]}],
    [/no service with a weight/],
  ],
];

for (const [name, routes, expected] of CASES) {
  t.test(name, async (t) => {
    const faults = findRouteFaults(routes, new Set(['shelf']));
    t.equal(faults.length, expected.length);
    expected.forEach((pattern, index) => {
      t.match(faults[index], pattern);
    });
  });
}
