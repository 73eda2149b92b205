import type {FleetConfiguration} from '../../index.js';

import fc from 'fast-check';
import t from 'tap';

import {
  compilePolicies,
  DEFAULT_POLICY_VALUES,
  parseFleetConfiguration,
} from '../../index.js';

const TEXT = `
[defaults]
deadline_milliseconds = 2000
[exception.orders]
reason = Crate orders fill the weekend market.
service = orders
importance = high
maximum_depth = 7
[exception.settle]
reason = Settlement goes last.
service = orders
method = POST
path = /settlements/*
importance = urgent
[exception.quote]
reason = A quote changes nothing.
service = orders
method = POST
path = /quotes
idempotent = yes
[exception.export]
reason = Exports can be asked for again.
path = /export*
deadline_milliseconds = 60000
`;

function parseValid(text: string): FleetConfiguration {
  return parseFleetConfiguration(text).unwrapOrElse(() => {
    throw new Error('Expected a valid document');
  });
}

/** Method, service and path of a request, and fields of its expected policy. */
const POLICIES = [
  ['GET', 'shelf', '/jars', {importance: 'normal', isIdempotent: true}],
  ['POST', 'shelf', '/jars', {importance: 'normal', isIdempotent: false}],
  ['PATCH', 'shelf', '/jars', {isIdempotent: false}],
  ['DELETE', 'shelf', '/jars', {isIdempotent: true}],
  ['GET', 'orders', '/x', {exceptionName: 'orders', importance: 'high'}],
  ['POST', 'orders', '/settlements/7', {importance: 'urgent'}],
  ['POST', 'orders', '/settlements/7?a=/b', {importance: 'urgent'}],
  ['PUT', 'orders', '/settlements/7', {importance: 'high'}],
  ['POST', 'orders', '/settlements', {importance: 'high'}],
  ['POST', 'orders', '/quotes', {importance: 'high', isIdempotent: true}],
  ['POST', 'orders', '/quotes?x', {isIdempotent: true}],
  ['POST', 'orders', '/quotes/1', {isIdempotent: false}],
  ['GET', 'labels', '/export/7', {deadlineMilliseconds: 60_000}],
  [
    'GET',
    'orders',
    '/export',
    {deadlineMilliseconds: 60_000, importance: 'high'},
  ],
  ['constructor', '__proto__', '', {deadlineMilliseconds: 2_000}],
] as const;

t.test('matching exceptions set the policy of a request', async (t) => {
  const table = compilePolicies(parseValid(TEXT));
  for (const [method, service, path, expected] of POLICIES) {
    const policy = table.getPolicy({method, path, service});
    t.match(policy, expected, `${method} ${service}${path}`);
    t.ok(Object.isFrozen(policy));
  }
  t.equal(table.getServicePolicy('orders').maximumDepth, 7);
  t.equal(table.getServicePolicy('shelf').maximumDepth, 24);
});

const service = fc.constantFrom('a', 'b');
const method = fc.constantFrom('GET', 'POST');
const pattern = fc.constantFrom('/x', '/x*', '/x/y*', '/x/y', '/*', '/z');
const optional = {nil: undefined};

const rows = fc.array(
  fc.record({
    method: fc.option(method, optional),
    path: fc.option(pattern, optional),
    retryTokens: fc.nat(32),
    service: fc.option(service, optional),
  }),
  {maxLength: 6, minLength: 1},
);

type Row = {
  readonly method: string | undefined;
  readonly path: string | undefined;
  readonly retryTokens: number;
  readonly service: string | undefined;
};

function formatRow(row: Row, index: number): string {
  const keys = ['service', 'method', 'path'] as const;
  const lines = keys
    .filter((key) => row[key] !== undefined)
    .map((key) => `${key} = ${String(row[key])}`);
  return [
    `[exception.e${String(index)}]`,
    'reason = r',
    ...lines,
    `retry_tokens = ${String(row.retryTokens)}`,
  ].join('\n');
}

function matches(
  row: Row,
  query: {method: string; path: string; service: string},
) {
  const {path = '*'} = row;
  const isPath = path.endsWith('*')
    ? query.path.startsWith(path.slice(0, -1))
    : query.path === path;
  return (
    isPath &&
    [undefined, query.service].includes(row.service) &&
    [undefined, query.method].includes(row.method)
  );
}

function computeSpecificity({method, path = '*', service}: Row): number {
  const isPrefix = path.endsWith('*');
  const length = isPrefix ? path.length - 1 : path.length + 1;
  return length + Number(method !== undefined) + Number(service !== undefined);
}

t.test(
  'the table agrees with a linear search for the most specific exception',
  async (t) => {
    let accepted = 0;
    fc.assert(
      fc.property(
        rows,
        method,
        service,
        (exceptions, queryMethod, queryService) => {
          const parsed = parseFleetConfiguration(
            exceptions.map(formatRow).join('\n'),
          );
          if (parsed.isErr) {
            return true;
          }
          accepted += 1;
          const table = compilePolicies(parsed.value);
          return ['/', '/x', '/x/y', '/x/y/z', '/z', '/zz'].every((path) => {
            const query = {method: queryMethod, path, service: queryService};
            const [best] = exceptions
              .filter((row) => matches(row, query))
              .sort((a, b) => computeSpecificity(b) - computeSpecificity(a));
            const expected =
              best?.retryTokens ?? DEFAULT_POLICY_VALUES.retryTokens;
            return table.getPolicy(query).retryTokens === expected;
          });
        },
      ),
      {numRuns: 500, seed: 1},
    );
    t.ok(accepted > 50, `${String(accepted)} documents were not ambiguous`);
  },
);
