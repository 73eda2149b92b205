/**
 * Packets between the daemon of a caller and the daemon of an instance.
 *
 * A packet is written as an array: the order of its fields is the wire format.
 */

import type {InstanceLoad} from './InstanceLoad.js';
import type {ServiceCost} from './ServiceCosts.js';

import {Decoder, Encoder} from 'cbor-x';

import {decodeLoad, encodeLoad} from './InstanceLoad.js';
import {decodeCosts, encodeCosts} from './ServiceCosts.js';

/** What an offer is for the retry budget of its service. */
export type OfferRole =
  /** The first attempt of a call of a run, or a retry that the caller's daemon allowed. */
  | 'other'
  /** The first attempt of a caller's request, which earns retries. */
  | 'request'
  /** The retry of a call of a run, on which the daemon of the instance decides. */
  | 'retry';

/** Asks an instance to run a request. */
export type OfferPacket = {
  readonly attempt: number;
  readonly body: Uint8Array;
  readonly callerIncarnation: number;
  /** Incarnation of the daemon that the offer is addressed to. */
  readonly daemonIncarnation: number;
  readonly forwardedLines: string;
  readonly instance: string;
  readonly isIdempotent: boolean;
  /** True for a retry of a request that may have run before, and for its calls. */
  readonly isRepeat: boolean;
  /** True when the offer was sent before on a session that has been lost. */
  readonly isResent: boolean;
  readonly kind: 'offer';
  readonly method: string;
  readonly path: string;
  /** Longest time to wait for a slot. */
  readonly maximumQueueingMilliseconds: number;
  readonly remainingMilliseconds: number;
  readonly requestIdentifier: string;
  /**
   * Rate limit of the instance that the caller's daemon knows. The daemon beside the
   * instance applies it after a restart, until the instance answers.
   */
  readonly requestsPerSecond: number | undefined;
  readonly role: OfferRole;
  readonly shedRank: number;
};

/** Cancels an offer that is queued or running. */
export type CancelPacket = {
  readonly attempt: number;
  readonly callerIncarnation: number;
  readonly kind: 'cancel';
};

/** Part of an answer; the first part carries the head. */
export type AnswerPacket = {
  readonly attempt: number;
  readonly body: Uint8Array;
  /** What the run and its calls used; in the first part alone, of some requests. */
  readonly costs?: readonly ServiceCost[] | undefined;
  /** Number of calls made by the run that failed. */
  readonly failedCalls: number;
  readonly forwardedLines: string;
  readonly isLast: boolean;
  readonly kind: 'answer';
  readonly load: InstanceLoad;
  /** Place among the parts, from 0; undefined for a whole answer and in earlier versions. */
  readonly partNumber?: number | undefined;
  /** Time that the request ran in the instance. */
  readonly runMilliseconds: number;
  readonly status: number;
};

/** Why an offer was refused or its run produced no answer. */
export type FailureReason =
  | 'broken'
  | 'cancelled'
  | 'draining'
  | 'expired'
  | 'full'
  | 'overBudget'
  | 'quarantined'
  | 'refused'
  | 'unavailable'
  | 'wrongProcess';

/** Ends an offer without an answer. */
export type FailurePacket = {
  readonly attempt: number;
  /** What the run and its calls used; undefined if the request reports no costs. */
  readonly costs?: readonly ServiceCost[] | undefined;
  readonly kind: 'failure';
  readonly load: InstanceLoad;
  /** False only if the request has not run and never will. */
  readonly mayHaveRun: boolean;
  readonly reason: FailureReason;
};

/** Any packet. */
export type RelayPacket =
  AnswerPacket | CancelPacket | FailurePacket | OfferPacket;

const LENGTH_PREFIX_BYTES = 4;
const EMPTY_BODY = new Uint8Array(0);
/** The index of a kind is its number on the wire. */
const KINDS = ['offer', 'cancel', 'answer', 'failure'] as const;

/** The index of a role is its number on the wire. */
const OFFER_ROLES = ['other', 'request', 'retry'] as const;

const FAILURE_REASONS: ReadonlySet<unknown> = new Set<FailureReason>([
  'broken',
  'cancelled',
  'draining',
  'expired',
  'full',
  'overBudget',
  'quarantined',
  'refused',
  'unavailable',
  'wrongProcess',
]);

const encoder = new Encoder({tagUint8Array: false, useRecords: false});
const decoder = new Decoder({useRecords: false});

function listFields(packet: RelayPacket): readonly unknown[] {
  const kind = KINDS.indexOf(packet.kind);
  switch (packet.kind) {
    case 'answer':
      return [
        kind,
        packet.attempt,
        packet.failedCalls,
        packet.forwardedLines,
        packet.isLast,
        encodeLoad(packet.load),
        Math.round(packet.runMilliseconds),
        packet.status,
        ...dropUndefinedEnd([
          packet.costs && encodeCosts(packet.costs),
          packet.partNumber,
        ]),
      ];
    case 'cancel':
      return [kind, packet.attempt, packet.callerIncarnation];
    case 'failure':
      return [
        kind,
        packet.attempt,
        encodeLoad(packet.load),
        packet.mayHaveRun,
        packet.reason,
        ...dropUndefinedEnd([packet.costs && encodeCosts(packet.costs)]),
      ];
    case 'offer':
      return [
        kind,
        packet.attempt,
        packet.callerIncarnation,
        packet.daemonIncarnation,
        packet.forwardedLines,
        packet.instance,
        packet.isIdempotent,
        packet.isRepeat,
        packet.isResent,
        packet.method,
        packet.path,
        Math.round(packet.maximumQueueingMilliseconds),
        Math.round(packet.remainingMilliseconds),
        packet.requestIdentifier,
        packet.shedRank,
        ...dropUndefinedEnd([
          packet.requestsPerSecond,
          // Reserved: earlier versions sent the mean run time here.
          undefined,
          packet.role === 'other'
            ? undefined
            : OFFER_ROLES.indexOf(packet.role),
        ]),
      ];
  }
}

/** Leaves out the optional fields that follow the last one that says something. */
function dropUndefinedEnd(fields: readonly unknown[]): readonly unknown[] {
  const last = fields.findLastIndex((field) => field !== undefined);
  return fields.slice(0, last + 1);
}

/**
 * Encodes a packet: length of the encoded fields, encoded fields, body.
 *
 * @example
 * session.sendPacket('vm-2', encodePacket(cancel));
 */
export function encodePacket(packet: RelayPacket): Buffer {
  const fields = encoder.encode(listFields(packet));
  const body = 'body' in packet ? packet.body : EMPTY_BODY;
  const bytes = Buffer.allocUnsafe(
    LENGTH_PREFIX_BYTES + fields.length + body.length,
  );
  bytes.writeUInt32BE(fields.length, 0);
  bytes.set(fields, LENGTH_PREFIX_BYTES);
  bytes.set(body, LENGTH_PREFIX_BYTES + fields.length);
  return bytes;
}

/**
 * Decodes a packet; returns undefined when the bytes are malformed.
 *
 * @example
 * decodePacket(bytes)?.kind;
 */
export function decodePacket(bytes: Uint8Array): RelayPacket | undefined {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  if (buffer.length < LENGTH_PREFIX_BYTES) {
    return undefined;
  }
  const end = LENGTH_PREFIX_BYTES + buffer.readUInt32BE(0);
  const fields = end <= buffer.length && decodeFields(buffer, end);
  return fields ? createPacketOfKind(fields, buffer.subarray(end)) : undefined;
}

function decodeFields(
  buffer: Buffer,
  end: number,
): readonly unknown[] | undefined {
  try {
    const fields: unknown = decoder.decode(
      buffer.subarray(LENGTH_PREFIX_BYTES, end),
    );
    return Array.isArray(fields) ? fields : undefined;
  } catch {
    // Not CBOR: the caller counts and drops the packet.
    return undefined;
  }
}

function createPacketOfKind(
  fields: readonly unknown[],
  body: Buffer,
): RelayPacket | undefined {
  const attempt = fields[1];
  if (typeof attempt !== 'number') {
    return undefined;
  }
  switch (KINDS[fields[0] as number]) {
    case 'answer':
      return decodeAnswer(attempt, fields, body);
    case 'cancel':
      return decodeCancel(attempt, fields[2]);
    case 'failure':
      return decodeFailure(attempt, fields);
    case 'offer':
      return decodeOffer(attempt, fields, body);
    default:
      return undefined;
  }
}

function decodeCancel(
  attempt: number,
  callerIncarnation: unknown,
): CancelPacket | undefined {
  return typeof callerIncarnation === 'number'
    ? {attempt, callerIncarnation, kind: 'cancel'}
    : undefined;
}

function decodeAnswer(
  attempt: number,
  fields: readonly unknown[],
  body: Buffer,
): AnswerPacket | undefined {
  const [, , failedCalls, forwardedLines, isLast, loadValue] = fields;
  const runMilliseconds = fields[6];
  const status = fields[7];
  const partNumber = fields[9];
  const load = decodeLoad(loadValue);
  return typeof failedCalls === 'number' &&
    typeof forwardedLines === 'string' &&
    typeof isLast === 'boolean' &&
    typeof runMilliseconds === 'number' &&
    typeof status === 'number' &&
    isOptionalNumber(partNumber) &&
    load !== undefined
    ? {
        attempt,
        body,
        costs: decodeCosts(fields[8]),
        failedCalls,
        forwardedLines,
        isLast,
        kind: 'answer',
        load,
        partNumber,
        runMilliseconds,
        status,
      }
    : undefined;
}

function decodeFailure(
  attempt: number,
  [, , loadValue, mayHaveRun, reason, costs]: readonly unknown[],
): FailurePacket | undefined {
  const load = decodeLoad(loadValue);
  return load !== undefined &&
    typeof mayHaveRun === 'boolean' &&
    FAILURE_REASONS.has(reason)
    ? {
        attempt,
        costs: decodeCosts(costs),
        kind: 'failure',
        load,
        mayHaveRun,
        reason: reason as FailureReason,
      }
    : undefined;
}

/** Types of the fields of an encoded offer, in wire order; optional ones may follow. */
const OFFER_FIELD_TYPES = [
  'number',
  'number',
  'number',
  'number',
  'string',
  'string',
  'boolean',
  'boolean',
  'boolean',
  'string',
  'string',
  'number',
  'number',
  'string',
  'number',
] as const;

function isOptionalNumber(value: unknown): value is number | undefined {
  return value === undefined || typeof value === 'number';
}

function decodeOffer(
  attempt: number,
  fields: readonly unknown[],
  body: Buffer,
): OfferPacket | undefined {
  for (const [index, type] of OFFER_FIELD_TYPES.entries()) {
    if (typeof fields[index] !== type) {
      return undefined;
    }
  }
  const requestsPerSecond = fields[OFFER_FIELD_TYPES.length];
  const roleNumber = fields[OFFER_FIELD_TYPES.length + 2];
  if (!isOptionalNumber(requestsPerSecond) || !isOptionalNumber(roleNumber)) {
    return undefined;
  }
  return {
    attempt,
    body,
    callerIncarnation: fields[2] as number,
    daemonIncarnation: fields[3] as number,
    forwardedLines: fields[4] as string,
    instance: fields[5] as string,
    isIdempotent: fields[6] as boolean,
    isRepeat: fields[7] as boolean,
    isResent: fields[8] as boolean,
    kind: 'offer',
    maximumQueueingMilliseconds: fields[11] as number,
    method: fields[9] as string,
    path: fields[10] as string,
    remainingMilliseconds: fields[12] as number,
    requestIdentifier: fields[13] as string,
    requestsPerSecond,
    role: OFFER_ROLES[roleNumber ?? 0] ?? 'other',
    shedRank: fields[14] as number,
  };
}
