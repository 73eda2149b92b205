import type {DaemonRecord} from '../../index.js';

import fc from 'fast-check';
import t from 'tap';

import {compareDaemonRecords, daemonRecordSchema} from '../../index.js';
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
