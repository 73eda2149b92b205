import type {Route} from '../../Route.js';

import t from 'tap';

import {RouteTable} from '../../RouteTable.js';

function createRoute(hostName: string, pathPrefix: string): Route {
  return {
    attempts: 2,
    hostName,
    importance: 'normal',
    isIdempotent: true,
    latencyObjectiveMilliseconds: 500,
    name: `${hostName}${pathPrefix}`,
    pathPrefix,
    targets: [{service: 'shelf', weight: 1}],
    timeoutMilliseconds: 1_000,
  };
}

const table = new RouteTable([
  createRoute('shop.example', '/'),
  createRoute('shop.example', '/prices/'),
  createRoute('shop.example', '/prices/old/'),
  createRoute('depot.example', '/prices/'),
]);

const CASES: readonly (readonly [
  host: string,
  path: string,
  expected: string | undefined,
])[] = [
  ['shop.example', '/prices/7', 'shop.example/prices/'],
  ['shop.example', '/prices/old/7', 'shop.example/prices/old/'],
  ['shop.example', '/prices', 'shop.example/'],
  ['shop.example', '/other?next=/prices/old/', 'shop.example/'],
  ['SHOP.example', '/prices/7?a=1', 'shop.example/prices/'],
  ['depot.example', '/prices/', 'depot.example/prices/'],
  ['depot.example', '/stock/', undefined],
  ['unknown.example', '/prices/7', undefined],
];

for (const [host, path, expected] of CASES) {
  t.test(`${host}${path}`, async (t) => {
    t.equal(table.find(host, path)?.name, expected);
  });
}

t.test('knows the services that routes target', async (t) => {
  t.ok(table.hasService('shelf'));
  t.notOk(table.hasService('orders'));
});
