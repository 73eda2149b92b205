/**
 * Fast check of membership messages, which arrive several times a second; the
 * schemas cost more. It accepts what the schemas of `MembershipMessages.ts`
 * accept; a test compares both.
 */

import type {MembershipMessage} from './MembershipMessages.js';

import {isCount, isName, parseAddress} from 'jackdawcove-shared';

import {
  DIGEST_BUCKET_COUNT,
  MAXIMUM_RECORDS_PER_MESSAGE,
} from './MembershipConstants.js';
import {MAXIMUM_FLAGS, MAXIMUM_GOSSIP_UPDATES} from './MembershipMessages.js';
import {BACKEND_SERVER_STATES, DAEMON_STATES} from './MembershipRecords.js';

type Fields = Readonly<Record<string, unknown>>;

const STATE_FIELDS = 4;
const RECORD_FIELDS = 11;
const BACKEND_SERVER_FIELDS = 6;
const MAXIMUM_PORT = 65_535;

function isCountUpTo(value: unknown, maximum: number): boolean {
  return isCount(value) && value <= maximum;
}

function isPositiveCount(value: unknown): boolean {
  return isCount(value) && value > 0;
}

function isAddressText(value: unknown): boolean {
  return typeof value === 'string' && parseAddress(value) !== undefined;
}

function isWireBackendServer(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length === BACKEND_SERVER_FIELDS &&
    isName(value[0]) &&
    isName(value[1]) &&
    isCount(value[2]) &&
    isPositiveCount(value[3]) &&
    isPositiveCount(value[4]) &&
    isCountUpTo(value[5], BACKEND_SERVER_STATES.length - 1)
  );
}

function hasStateFields(value: readonly unknown[]): boolean {
  return (
    isName(value[0]) &&
    isCount(value[1]) &&
    isCount(value[2]) &&
    isCountUpTo(value[3], DAEMON_STATES.length - 1)
  );
}

function isRecord(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length === RECORD_FIELDS &&
    hasStateFields(value) &&
    isAddressText(value[4]) &&
    isAddressText(value[5]) &&
    isName(value[6]) &&
    isName(value[7]) &&
    isCountUpTo(value[8], MAXIMUM_FLAGS) &&
    isCount(value[9]) &&
    (value[10] === null || isWireBackendServer(value[10]))
  );
}

function isState(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length === STATE_FIELDS &&
    hasStateFields(value)
  );
}

function isUpdate(value: unknown): boolean {
  return isState(value) || isRecord(value);
}

function isGossip(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MAXIMUM_GOSSIP_UPDATES &&
    value.every(isUpdate)
  );
}

function isAddress(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const {host, port} = value as Fields;
  const isPort = isPositiveCount(port) && isCountUpTo(port, MAXIMUM_PORT);
  return (
    typeof host === 'string' &&
    isPort &&
    isAddressText(host.includes(':') ? `[${host}]:1` : `${host}:1`)
  );
}

function isStateMessage({records, requestedBuckets}: Fields): boolean {
  return (
    Array.isArray(records) &&
    records.length <= MAXIMUM_RECORDS_PER_MESSAGE &&
    records.every(isRecord) &&
    Array.isArray(requestedBuckets) &&
    requestedBuckets.length <= DIGEST_BUCKET_COUNT &&
    requestedBuckets.every((bucket) =>
      isCountUpTo(bucket, DIGEST_BUCKET_COUNT - 1),
    )
  );
}

/**
 * Returns whether a value is a membership message.
 *
 * @example
 * isMembershipMessage({gossip: [], kind: 'gossip'}); // true
 */
export function isMembershipMessage(
  value: unknown,
): value is MembershipMessage {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const fields = value as Fields;
  switch (fields['kind']) {
    case 'acknowledgement':
      return isGossip(fields['gossip']) && isCount(fields['number']);
    case 'digest':
      return (
        Array.isArray(fields['buckets']) &&
        fields['buckets'].length === DIGEST_BUCKET_COUNT &&
        fields['buckets'].every(isCount)
      );
    case 'gossip':
      return isGossip(fields['gossip']);
    case 'join':
      return isRecord(fields['record']);
    case 'ping':
      return (
        isGossip(fields['gossip']) &&
        isCount(fields['number']) &&
        isName(fields['target'])
      );
    case 'pingRequest':
      return (
        isGossip(fields['gossip']) &&
        isAddress(fields['address']) &&
        isCount(fields['number']) &&
        isName(fields['target'])
      );
    case 'state':
      return isStateMessage(fields);
    default:
      return false;
  }
}

/** A message without the records that could not be read. */
export type ReadableMessage = {
  readonly message: MembershipMessage;
  readonly unreadableRecords: number;
};

/** Returns the fields with the readable items of a list. */
function filterList(
  fields: Fields,
  name: 'gossip' | 'records',
  isReadable: (item: unknown) => boolean,
): Fields {
  const list = fields[name];
  return Array.isArray(list) && list.length <= MAXIMUM_RECORDS_PER_MESSAGE
    ? {...fields, [name]: list.filter(isReadable)}
    : fields;
}

function countRecords({gossip, records}: Fields): number {
  return [gossip, records].reduce<number>(
    (count, list) => count + (Array.isArray(list) ? list.length : 0),
    0,
  );
}

/**
 * Reads a message. Records of it that cannot be read are left out, so that one of
 * them does not hide the others. Returns undefined if the rest is no message either.
 *
 * @example
 * readMembershipMessage({gossip: [odd], kind: 'gossip'})?.unreadableRecords; // 1
 */
export function readMembershipMessage(
  value: unknown,
): ReadableMessage | undefined {
  if (isMembershipMessage(value)) {
    return {message: value, unreadableRecords: 0};
  }
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const fields = value as Fields;
  const message = filterList(
    filterList(fields, 'gossip', isUpdate),
    'records',
    isRecord,
  );
  return isMembershipMessage(message)
    ? {message, unreadableRecords: countRecords(fields) - countRecords(message)}
    : undefined;
}
