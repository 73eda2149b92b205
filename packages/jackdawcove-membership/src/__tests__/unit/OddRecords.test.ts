/** Tests records that another daemon should not have sent. */

import type {DaemonRecord, MembershipEffect} from '../../index.js';

import t from 'tap';

import {
  Membership,
  membershipMessageSchema,
  readMembershipMessage,
} from '../../index.js';
import {encodeRecord} from '../../MembershipMessages.js';

const LARGEST = Number.MAX_SAFE_INTEGER;
const ADDRESS = {host: '10.0.0.1', port: 7_620};
const SOURCE = {address: ADDRESS, daemon: 'vm-2'};
const KINDS = [
  'acknowledgement',
  'gossip',
  'ping',
  'pingRequest',
  'state',
] as const;

type Kind = (typeof KINDS)[number];

function createRecord(number: number): DaemonRecord {
  return {
    address: {host: `10.0.0.${String(number)}`, port: 7_620},
    administrationAddress: ADDRESS,
    availabilityZone: 'erie-dock',
    backendServer: {
      connections: 35,
      incarnation: 1_764_806_400_000,
      instance: `shelf-${String(number)}`,
      service: 'shelf',
      slots: 35,
      state: 'ready',
    },
    incarnation: 1_000,
    isDraining: false,
    isVoter: false,
    ledgerGeneration: 0,
    name: `vm-${String(number)}`,
    region: 'lakes',
    state: 'alive',
    version: 4,
  };
}

function createMembership(): Membership {
  return new Membership({
    local: {
      address: ADDRESS,
      administrationAddress: ADDRESS,
      availabilityZone: 'erie-dock',
      incarnation: 1_000,
      isVoter: false,
      name: 'vm-1',
      region: 'lakes',
    },
    now: 0,
    randomNumber: () => 0.5,
    seeds: [],
  });
}

function createMessage(kind: Kind, records: readonly unknown[]): unknown {
  return kind === 'state'
    ? {kind, records, requestedBuckets: []}
    : {address: ADDRESS, gossip: records, kind, number: 1, target: 'vm-1'};
}

/** Applies the readable part of a message and returns how much was left out. */
function receive(
  membership: Membership,
  message: unknown,
  now: number,
): {
  readonly effects: readonly MembershipEffect[];
  readonly unreadableRecords: number;
} {
  const readable = readMembershipMessage(message);
  if (readable === undefined) {
    return {effects: [], unreadableRecords: -1};
  }
  const effects = [
    ...membership.receive(readable.message, SOURCE, now),
    ...membership.tick(now),
  ];
  return {effects, unreadableRecords: readable.unreadableRecords};
}

function listInstances(membership: Membership): string[] {
  return membership
    .getView()
    .getInstances('shelf')
    .map(({backendServer: {instance, slots}}) => `${instance} ${String(slots)}`)
    .sort();
}

/** Whether the landed version can read every message. */
function areReadable(effects: readonly MembershipEffect[]): boolean {
  return effects.every(
    (effect) =>
      !('message' in effect) ||
      membershipMessageSchema.safeParse(effect.message).success,
  );
}

function nest(depth: number): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) {
    value = [value];
  }
  return value;
}

/** Replaces one field of the encoded record of vm-3. */
function replaceField(position: number, value: unknown): readonly unknown[] {
  return encodeRecord(createRecord(3)).with(position, value as never);
}

function replaceBackendField(
  position: number,
  value: unknown,
): readonly unknown[] {
  const backend = encodeRecord(createRecord(3))[10];
  return replaceField(10, backend?.with(position, value as never));
}

const UNREADABLE: readonly (readonly [name: string, record: unknown])[] = [
  ['a negative start', replaceBackendField(2, -1)],
  ['a start that is no count', replaceBackendField(2, 2 ** 60)],
  ['a start that is a big integer', replaceBackendField(2, 2n ** 60n)],
  ['slots that are no number', replaceBackendField(3, Number.NaN)],
  ['infinite slots', replaceBackendField(3, Number.POSITIVE_INFINITY)],
  ['no slots', replaceBackendField(3, 0)],
  ['a service that is no name', replaceBackendField(0, 'shelf two')],
  ['an instance that is no name', replaceBackendField(1, 'x'.repeat(9_000))],
  ['an unknown state', replaceBackendField(5, 7)],
  ['a port out of range', replaceField(4, '10.0.0.3:70000')],
  ['no address', replaceField(4, null)],
  ['a version that is no count', replaceField(2, 0.5)],
  ['a nested backend server', replaceField(10, nest(50_000))],
  ['a nested name', replaceField(0, nest(50_000))],
  ['a text', 'vm-3'],
  ['null', null],
];

for (const [name, odd] of UNREADABLE) {
  t.test(`${name} does not hide the other records`, async (t) => {
    for (const kind of KINDS) {
      const membership = createMembership();
      const sound = encodeRecord(createRecord(2));
      const message = createMessage(kind, [odd, sound, odd]);
      const {effects, unreadableRecords} = receive(membership, message, 100);
      t.equal(unreadableRecords, 2, kind);
      t.same(listInstances(membership), ['shelf-2 35'], kind);
      t.ok(areReadable(effects), kind);
      const next = createMessage(kind, [encodeRecord(createRecord(3))]);
      receive(membership, next, 200);
      t.same(listInstances(membership), ['shelf-2 35', 'shelf-3 35'], kind);
    }
  });
}

const READABLE: readonly {
  readonly expected: readonly string[];
  readonly name: string;
  readonly record: unknown;
}[] = [
  {
    expected: ['shelf-2 35', 'shelf-3 35'],
    name: 'slots that no address can hold',
    record: replaceBackendField(3, LARGEST),
  },
  {
    expected: ['shelf-2 35', 'shelf-3 65535'],
    name: 'the most slots that an address can hold',
    record: replaceBackendField(3, 65_535),
  },
  {
    expected: ['shelf-2 35', 'shelf-3 35'],
    name: 'a start in the future',
    record: replaceBackendField(2, LARGEST),
  },
  {
    expected: ['shelf-2 35', 'shelf-3 35'],
    name: 'connections that no address can hold',
    record: replaceBackendField(4, LARGEST),
  },
  {
    expected: ['shelf-2 35', 'shelf-3 35'],
    name: 'a huge ledger generation',
    record: replaceField(9, LARGEST),
  },
];

for (const {expected, name, record} of READABLE) {
  t.test(`a record of the landed version with ${name}`, async (t) => {
    for (const kind of KINDS) {
      const membership = createMembership();
      const sound = encodeRecord(createRecord(2));
      const message = createMessage(kind, [record, sound]);
      const {effects, unreadableRecords} = receive(membership, message, 100);
      t.equal(unreadableRecords, 0, kind);
      t.same(listInstances(membership), expected, kind);
      t.ok(areReadable(effects), kind);
    }
  });
}

t.test('only instances whose slots no address can hold', async (t) => {
  const membership = createMembership();
  receive(
    membership,
    createMessage('gossip', [replaceBackendField(3, LARGEST)]),
    100,
  );
  t.same(listInstances(membership), ['shelf-3 65535']);
});

t.test('records of the local daemon with the greatest numbers', async (t) => {
  const rows = [
    {incarnation: LARGEST},
    {incarnation: LARGEST - 1},
    {version: LARGEST},
    {version: LARGEST - 1},
    {incarnation: LARGEST, version: LARGEST},
  ];
  for (const change of rows) {
    const membership = createMembership();
    const odd = {...createRecord(1), ...change};
    const join = {kind: 'join', record: encodeRecord(createRecord(2))};
    const effects = [
      createMessage('gossip', [encodeRecord(odd)]),
      join,
      createMessage('state', [encodeRecord(odd)]),
      join,
    ].flatMap((message, step) => receive(membership, message, step).effects);
    t.ok(areReadable(effects), JSON.stringify(change));
  }
});
