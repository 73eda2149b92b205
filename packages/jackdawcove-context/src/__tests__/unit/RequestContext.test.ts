import fc from 'fast-check';
import {IMPORTANCES} from 'jackdawcove-shared';
import t from 'tap';

import {
  createChildContext,
  createDeadline,
  createRootContext,
  decodeContextHeader,
  encodeContextHeader,
  getCohort,
  getRemainingMilliseconds,
  isExpired,
  MAXIMUM_HEADER_LENGTH,
} from '../../index.js';

const SEED = 7;
const ROOT = createRootContext({
  importance: 'urgent',
  revision: 12,
  rootIdentifier: 'erie-dock-1.3.42',
});
const PROPAGATED = {
  context: ROOT,
  parentHandle: 'erie-dock-1.3.42.1',
  remainingMilliseconds: 250,
};

const arbitraryPropagatedContext = fc.record({
  context: fc.record({
    cohort: fc.double({max: 0.999, min: 0, noNaN: true}),
    depth: fc.integer({max: 256, min: 0}),
    importance: fc.constantFrom(...IMPORTANCES),
    revision: fc.nat(),
    rootIdentifier: fc.string({maxLength: 100, minLength: 1}),
  }),
  parentHandle: fc.string({maxLength: 100, minLength: 1}),
  remainingMilliseconds: fc.nat(),
});

t.test('a header decodes to what was encoded', async (t) => {
  fc.assert(
    fc.property(arbitraryPropagatedContext, (propagated) => {
      const header = encodeContextHeader(propagated);
      const decoded = decodeContextHeader(header).unwrapOr(undefined);
      return (
        header.length > MAXIMUM_HEADER_LENGTH ||
        JSON.stringify(sortKeys(decoded)) ===
          JSON.stringify(sortKeys(propagated))
      );
    }),
    {seed: SEED},
  );
  t.match(
    decodeContextHeader(encodeContextHeader(PROPAGATED)).unwrapOr(undefined),
    PROPAGATED,
  );
});

function sortKeys(input: unknown): unknown {
  return JSON.parse(JSON.stringify(input, undefined), (_, value: unknown) =>
    typeof value === 'object' && value !== null
      ? Object.fromEntries(Object.entries(value).sort())
      : value,
  );
}

function encode(fields: unknown): string {
  return `1.${Buffer.from(JSON.stringify(fields)).toString('base64url')}`;
}

const INVALID_HEADERS: readonly (readonly [
  name: string,
  value: string | undefined,
])[] = [
  ['missing', undefined],
  ['empty', ''],
  ['another version', encodeContextHeader(PROPAGATED).replace('1.', '2.')],
  ['not JSON', '1.abc'],
  ['too few fields', encode(['root', 0])],
  ['unknown importance', encode(['root', 0, 'top', 0.5, 1, 10, 'handle'])],
  ['cohort out of range', encode(['root', 0, 'high', 1, 1, 10, 'handle'])],
  ['too deep', encode(['root', 257, 'high', 0.5, 1, 10, 'handle'])],
  ['too long', encode(['r'.repeat(2_000), 0, 'high', 0, 1, 10, 'handle'])],
];

for (const [name, value] of INVALID_HEADERS) {
  t.test(`an invalid header is not decoded: ${name}`, async (t) => {
    t.ok(decodeContextHeader(value).isNothing);
  });
}

t.test('a child context keeps the attributes of the root', async (t) => {
  const child = createChildContext(createChildContext(ROOT));
  t.same(child, {...ROOT, depth: 2});
  t.equal(ROOT.cohort, getCohort('erie-dock-1.3.42'));
});

t.test('a deadline is the earliest of the limits', async (t) => {
  t.equal(createDeadline(1_000, [250, undefined, 300]), 1_250);
  t.equal(createDeadline(1_000, [-5]), 1_000);
  t.equal(getRemainingMilliseconds(1_250, 1_100), 150);
  t.equal(getRemainingMilliseconds(1_250, 1_300), 0);
  t.ok(isExpired(1_250, 1_250));
  t.notOk(isExpired(1_250, 1_249));
});
