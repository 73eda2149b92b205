import type {DaemonRecord} from '../../index.js';

import fc from 'fast-check';
import t from 'tap';

import {
  compareDaemonRecords,
  daemonRecordSchema,
  isMembershipMessage,
} from '../../index.js';
import {
  decodeRecord,
  encodeRecord,
  encodeState,
  estimateEncodedBytes,
  isWireRecord,
  membershipMessageSchema,
} from '../../MembershipMessages.js';
import {DAEMON_STATES} from '../../MembershipRecords.js';

const name = fc.stringMatching(/^[a-z][a-z0-9]{0,20}$/);
const count = fc.integer({max: 2 ** 48, min: 0});
const address = fc.record({
  host: fc.constantFrom('10.1.2.3', 'fd00::1'),
  port: fc.integer({max: 65_535, min: 1}),
});
const record: fc.Arbitrary<DaemonRecord> = fc.record(
  {
    address,
    administrationAddress: address,
    availabilityZone: name,
    backendServer: fc.record({
      connections: fc.integer({max: 9_999, min: 1}),
      incarnation: count,
      instance: name,
      service: name,
      slots: fc.integer({max: 9_999, min: 1}),
      state: fc.constantFrom('draining', 'ready', 'starting'),
    }),
    incarnation: count,
    isDraining: fc.boolean(),
    isVoter: fc.boolean(),
    ledgerGeneration: count,
    name,
    region: name,
    state: fc.constantFrom(...DAEMON_STATES),
    version: count,
  },
  {
    requiredKeys: [
      'address',
      'administrationAddress',
      'availabilityZone',
      'incarnation',
      'isDraining',
      'isVoter',
      'ledgerGeneration',
      'name',
      'region',
      'state',
      'version',
    ],
  },
);

/** Values that replace a part of a message. */
const oddValue = fc.constantFrom<unknown>(
  -1,
  0,
  1.5,
  2 ** 60,
  Number.NaN,
  '',
  'a b',
  'vm-1',
  '10.0.0.1:70000',
  '[fd00::1%eth0]:1',
  null,
  undefined,
  [],
  {},
  ['vm-1', 1, 1, 0],
);

const message = fc.oneof(
  fc.record({
    address,
    gossip: fc.array(
      fc.oneof(record.map(encodeRecord), record.map(encodeState)),
      {
        maxLength: 4,
      },
    ),
    kind: fc.constantFrom('acknowledgement', 'gossip', 'ping', 'pingRequest'),
    number: count,
    target: name,
  }),
  fc.record({kind: fc.constant('join'), record: record.map(encodeRecord)}),
  fc.record({
    kind: fc.constant('state'),
    records: fc.array(record.map(encodeRecord), {maxLength: 3}),
    requestedBuckets: fc.array(fc.integer({max: 40, min: -1}), {maxLength: 33}),
  }),
  fc.record({
    buckets: fc.array(count, {maxLength: 33, minLength: 31}),
    kind: fc.constant('digest'),
  }),
);

/** Replaces one part of a value, chosen by a path of random numbers. */
function replacePart(
  value: unknown,
  path: readonly number[],
  replacement: unknown,
): unknown {
  const [position, ...rest] = path;
  if (position === undefined || typeof value !== 'object' || value === null) {
    return replacement;
  }
  const keys = Object.keys(value);
  const key = keys[position % Math.max(1, keys.length)];
  if (key === undefined) {
    return replacement;
  }
  const part = (value as Record<string, unknown>)[key];
  const next = replacePart(part, rest, replacement);
  return Array.isArray(value)
    ? value.with(Number(key), next)
    : {...value, [key]: next};
}

t.test('the fast check accepts what the schema accepts', async () => {
  fc.assert(
    fc.property(
      message,
      fc.array(fc.nat(20), {maxLength: 4}),
      fc.option(oddValue, {nil: 'unchanged'}),
      (valid, path, replacement) => {
        const value =
          replacement === 'unchanged'
            ? valid
            : replacePart(valid, path, replacement);
        return (
          isMembershipMessage(value) ===
          membershipMessageSchema.safeParse(value).success
        );
      },
    ),
    {numRuns: 2_000, seed: 1},
  );
});

t.test('records are unchanged after encoding and decoding', async (t) => {
  fc.assert(
    fc.property(record, (original) => {
      const wire = encodeRecord(original);
      const message = {gossip: [wire], kind: 'gossip'};
      t.ok(membershipMessageSchema.safeParse(message).success);
      t.ok(isWireRecord(wire));
      t.notOk(isWireRecord(encodeState(original)));
      t.same(decodeRecord(wire), daemonRecordSchema.parse(original));
      t.ok(estimateEncodedBytes(wire) < 400);
    }),
    {numRuns: 100, seed: 1},
  );
});

t.test('the order of records is total and antisymmetric', async (t) => {
  fc.assert(
    fc.property(record, record, (left, right) => {
      const order = Math.sign(compareDaemonRecords(left, right));
      t.equal(order + Math.sign(compareDaemonRecords(right, left)), 0);
    }),
    {numRuns: 100, seed: 2},
  );
});

const MALFORMED: readonly {message: unknown; name: string}[] = [
  {message: undefined, name: 'no message'},
  {message: {kind: 'ping'}, name: 'missing fields'},
  {message: {gossip: [['a', 1, 1, 9]], kind: 'gossip'}, name: 'unknown state'},
  {
    message: {gossip: [['a', -1, 1, 0]], kind: 'gossip'},
    name: 'negative incarnation',
  },
  {message: {buckets: [1], kind: 'digest'}, name: 'short digest'},
];

for (const {message, name: caseName} of MALFORMED) {
  t.test(`refused: ${caseName}`, async (t) => {
    t.notOk(membershipMessageSchema.safeParse(message).success);
  });
}
