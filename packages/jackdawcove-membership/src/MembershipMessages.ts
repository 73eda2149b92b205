/** Messages between daemons, and the compact encoding of records in them. */

import type {BackendServerRecord, DaemonRecord} from './MembershipRecords.js';
import type {Address} from 'jackdawcove-shared';

import {
  addressSchema,
  formatAddress,
  invariant,
  nameSchema,
  parseAddress,
} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  DIGEST_BUCKET_COUNT,
  MAXIMUM_RECORDS_PER_MESSAGE,
} from './MembershipConstants.js';
import {BACKEND_SERVER_STATES, DAEMON_STATES} from './MembershipRecords.js';

const DRAINING_FLAG = 1;
const VOTER_FLAG = 2;
const UNDECODABLE_MESSAGE = 13;

/** Highest value of the flags of a record. */
export const MAXIMUM_FLAGS = DRAINING_FLAG | VOTER_FLAG;

/** Maximum number of updates in one datagram. */
export const MAXIMUM_GOSSIP_UPDATES = 64;

const countSchema = z.int().min(0);
const addressTextSchema = z
  .string()
  .refine((text) => parseAddress(text) !== undefined);
const daemonStateIndexSchema = z
  .int()
  .min(0)
  .max(DAEMON_STATES.length - 1);

/** Fields: service, instance, incarnation, slots, connections, state. */
const wireBackendServerSchema = z.tuple([
  nameSchema,
  nameSchema,
  countSchema,
  z.int().min(1),
  z.int().min(1),
  z
    .int()
    .min(0)
    .max(BACKEND_SERVER_STATES.length - 1),
]);

/** Fields: name, incarnation, version, state. */
const wireStateSchema = z.tuple([
  nameSchema,
  countSchema,
  countSchema,
  daemonStateIndexSchema,
]);

/**
 * Fields: those of the state, then address, administration address, region,
 * availability zone, flags, ledger generation, backend server.
 */
const wireRecordSchema = z.tuple([
  nameSchema,
  countSchema,
  countSchema,
  daemonStateIndexSchema,
  addressTextSchema,
  addressTextSchema,
  nameSchema,
  nameSchema,
  z.int().min(0).max(MAXIMUM_FLAGS),
  countSchema,
  wireBackendServerSchema.nullable(),
]);

/** State change of a daemon whose record the receiver already has. */
export type WireState = z.infer<typeof wireStateSchema>;

/** Complete record of a daemon. */
export type WireRecord = z.infer<typeof wireRecordSchema>;

/** One update in a datagram. */
export type WireUpdate = WireRecord | WireState;

const gossipSchema = z
  .array(z.union([wireStateSchema, wireRecordSchema]))
  .max(MAXIMUM_GOSSIP_UPDATES);

const recordsSchema = z
  .array(wireRecordSchema)
  .max(MAXIMUM_RECORDS_PER_MESSAGE);

const bucketSchema = z
  .int()
  .min(0)
  .max(DIGEST_BUCKET_COUNT - 1);

/** Schema of the messages that are sent as datagrams. */
export const membershipDatagramSchema = z.discriminatedUnion('kind', [
  z.object({
    gossip: gossipSchema,
    kind: z.literal('acknowledgement'),
    number: countSchema,
  }),
  z.object({gossip: gossipSchema, kind: z.literal('gossip')}),
  z.object({
    gossip: gossipSchema,
    kind: z.literal('ping'),
    number: countSchema,
    target: nameSchema,
  }),
  z.object({
    address: addressSchema,
    gossip: gossipSchema,
    kind: z.literal('pingRequest'),
    number: countSchema,
    target: nameSchema,
  }),
]);

/** Message that is sent as a datagram. */
export type MembershipDatagram = z.infer<typeof membershipDatagramSchema>;

/** Schema of the messages that are sent over sessions. */
export const membershipSessionMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    buckets: z.array(countSchema).length(DIGEST_BUCKET_COUNT),
    kind: z.literal('digest'),
  }),
  z.object({kind: z.literal('join'), record: wireRecordSchema}),
  z.object({
    kind: z.literal('state'),
    records: recordsSchema,
    requestedBuckets: z.array(bucketSchema).max(DIGEST_BUCKET_COUNT),
  }),
]);

/** Message that is sent over a session. */
export type MembershipSessionMessage = z.infer<
  typeof membershipSessionMessageSchema
>;

/** Schema of all membership messages. */
export const membershipMessageSchema = z.union([
  membershipDatagramSchema,
  membershipSessionMessageSchema,
]);

/** Membership message. */
export type MembershipMessage = z.infer<typeof membershipMessageSchema>;

function decodeAddress(text: string): Address {
  const address = parseAddress(text);
  invariant(address !== undefined, UNDECODABLE_MESSAGE, text);
  return address;
}

function encodeBackendServer(
  record: BackendServerRecord,
): z.infer<typeof wireBackendServerSchema> {
  return [
    record.service,
    record.instance,
    record.incarnation,
    record.slots,
    record.connections,
    BACKEND_SERVER_STATES.indexOf(record.state),
  ];
}

function decodeBackendServer(
  wire: z.infer<typeof wireBackendServerSchema>,
): BackendServerRecord {
  const [service, instance, incarnation, slots, connections, state] = wire;
  return {
    connections,
    incarnation,
    instance,
    service,
    slots,
    state: BACKEND_SERVER_STATES[state] ?? 'draining',
  };
}

/**
 * Encodes the state of a daemon.
 *
 * @example
 * encodeState(record); // ['vm-7', 1, 4, 0]
 */
export function encodeState(record: DaemonRecord): WireState {
  return [
    record.name,
    record.incarnation,
    record.version,
    DAEMON_STATES.indexOf(record.state),
  ];
}

/**
 * Encodes the complete record of a daemon.
 *
 * @example
 * decodeRecord(encodeRecord(record)); // equals record
 */
export function encodeRecord(record: DaemonRecord): WireRecord {
  const drainingFlag = record.isDraining ? DRAINING_FLAG : 0;
  const voterFlag = record.isVoter ? VOTER_FLAG : 0;
  return [
    ...encodeState(record),
    formatAddress(record.address),
    formatAddress(record.administrationAddress),
    record.region,
    record.availabilityZone,
    drainingFlag | voterFlag,
    record.ledgerGeneration,
    record.backendServer === undefined
      ? null
      : encodeBackendServer(record.backendServer),
  ];
}

/**
 * Decodes the complete record of a daemon.
 *
 * @example
 * decodeRecord(wireRecord).name; // 'vm-7'
 */
export function decodeRecord(wire: WireRecord): DaemonRecord {
  const [name, incarnation, version, state, address, administration] = wire;
  const [
    ,
    ,
    ,
    ,
    ,
    ,
    region,
    availabilityZone,
    flags,
    generation,
    wireBackendServer,
  ] = wire;
  return {
    address: decodeAddress(address),
    administrationAddress: decodeAddress(administration),
    availabilityZone,
    incarnation,
    isDraining: (flags & DRAINING_FLAG) !== 0,
    isVoter: (flags & VOTER_FLAG) !== 0,
    ledgerGeneration: generation,
    name,
    region,
    state: DAEMON_STATES[state] ?? 'unreachable',
    version,
    ...(wireBackendServer === null
      ? {}
      : {backendServer: decodeBackendServer(wireBackendServer)}),
  };
}

/**
 * Checks whether an update contains a complete record.
 *
 * @example
 * isWireRecord(encodeState(record)); // false
 */
export function isWireRecord(update: WireUpdate): update is WireRecord {
  return update.length > wireStateSchema.def.items.length;
}

const HEAD_BYTES = 3;
const NUMBER_BYTES = 9;

/**
 * Returns an upper bound of the size of a value in CBOR, in bytes.
 *
 * @example
 * estimateEncodedBytes(['vm-7', 1]) <= 20;
 */
export function estimateEncodedBytes(value: unknown): number {
  if (typeof value === 'string') {
    return HEAD_BYTES + Buffer.byteLength(value);
  }
  if (typeof value !== 'object' || value === null) {
    return NUMBER_BYTES;
  }
  const parts = Array.isArray(value) ? value : Object.entries(value).flat();
  return parts.reduce<number>(
    (bytes, part) => bytes + estimateEncodedBytes(part),
    HEAD_BYTES,
  );
}
