/**
 * Frames on the wire: a fixed header, a CBOR array of fields and the raw body.
 *
 * The header consists of four unsigned 32-bit big-endian integers: the number
 * of bytes that follow this field, the session tag, the sequence number within
 * the direction, and the length of the CBOR array in bytes.
 */

import type {Frame, FrameFields, FrameKind} from './FrameSchemas.js';
import type {Failure} from 'jackdawcove-shared';

import {Decoder, Encoder} from 'cbor-x';
import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {FRAME_CHECKS} from './FrameChecks.js';
import {FRAME_KINDS, FRAME_SCHEMAS} from './FrameSchemas.js';
import {FRAME_HEADER_BYTES} from './SessionConstants.js';

/** A frame split off the byte stream; its fields are not decoded yet. */
export type RawFrame = {
  readonly body: Uint8Array;
  readonly fields: Uint8Array;
  readonly sequence: number;
  readonly tag: number;
};

const LENGTH_BYTES = 4;
const TAG_OFFSET = 4;
const SEQUENCE_OFFSET = 8;
const FIELDS_LENGTH_OFFSET = 12;
const EMPTY = new Uint8Array(0);

const FIELD_NAMES = Object.fromEntries(
  FRAME_KINDS.map((kind) => [kind, Object.keys(FRAME_SCHEMAS[kind].shape)]),
) as unknown as Readonly<Record<FrameKind, readonly string[]>>;

const KIND_NUMBERS = Object.fromEntries(
  FRAME_KINDS.map((kind, index) => [kind, index]),
) as unknown as Readonly<Record<FrameKind, number>>;

/**
 * Creates the encoder of one direction of one session. It sends the keys of
 * each object shape once, as a record structure, and refers to it afterwards,
 * so the decoder must receive every encoded frame, in order.
 */
export function createFrameEncoder(): Encoder {
  return new Encoder({
    sequential: true,
    structures: [],
    tagUint8Array: false,
    useRecords: true,
  });
}

/** Creates the decoder of one direction of one session. */
export function createFrameDecoder(): Decoder {
  return new Decoder({
    sequential: true,
    structures: [],
    tagUint8Array: false,
    useRecords: true,
  });
}

/**
 * Encodes a frame into chunks: header, fields and, without a copy, the body.
 *
 * @example
 * encodeFrame(encoder, 'ping', {frames: 7, pingNumber: 1}, tag, sequence);
 */
export function encodeFrame<Kind extends FrameKind>(
  encoder: Encoder,
  kind: Kind,
  fields: FrameFields[Kind],
  tag: number,
  sequence: number,
  body: Uint8Array = EMPTY,
): readonly Uint8Array[] {
  const values: unknown[] = [KIND_NUMBERS[kind]];
  for (const name of FIELD_NAMES[kind]) {
    values.push(fields[name as keyof FrameFields[Kind]]);
  }
  const encoded = encoder.encode(values);
  const payloadBytes = encoded.length + body.length;
  const header = encodeHeader(payloadBytes, encoded.length, tag, sequence);
  return body.length === 0 ? [header, encoded] : [header, encoded, body];
}

/**
 * Encodes the header of a packet: a frame without fields, whose body is opaque
 * to the session.
 *
 * @example
 * encodePacketHeader(bytes.length, tag, sequence);
 */
export function encodePacketHeader(
  byteCount: number,
  tag: number,
  sequence: number,
): Uint8Array {
  return encodeHeader(byteCount, 0, tag, sequence);
}

function encodeHeader(
  byteCount: number,
  fieldsLength: number,
  tag: number,
  sequence: number,
): Buffer {
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  header.writeUInt32BE(FRAME_HEADER_BYTES - LENGTH_BYTES + byteCount, 0);
  header.writeUInt32BE(tag, TAG_OFFSET);
  header.writeUInt32BE(sequence >>> 0, SEQUENCE_OFFSET);
  header.writeUInt32BE(fieldsLength, FIELDS_LENGTH_OFFSET);
  return header;
}

/**
 * Decodes and checks the fields of a frame.
 *
 * @example
 * decodeFrame(decoder, raw).map((frame) => frame.kind);
 */
export function decodeFrame(
  decoder: Decoder,
  raw: RawFrame,
): Result<Frame, Failure> {
  let values: unknown;
  try {
    values = decoder.decode(raw.fields);
  } catch (error) {
    return Result.err(createFailure('frameMalformed', String(error)));
  }
  if (!Array.isArray(values) || typeof values[0] !== 'number') {
    return Result.err(createFailure('frameMalformed', 'not an array'));
  }
  const kind = FRAME_KINDS[values[0]];
  if (kind === undefined) {
    return Result.err(createFailure('frameMalformed', 'unknown kind'));
  }
  return checkFields(kind, values, raw.body);
}

function checkFields(
  kind: FrameKind,
  values: readonly unknown[],
  body: Uint8Array,
): Result<Frame, Failure> {
  const names = FIELD_NAMES[kind];
  if (values.length !== names.length + 1) {
    return Result.err(createFailure('frameMalformed', `${kind}: fields`));
  }
  const fields: Record<string, unknown> = {};
  for (let index = 0; index < names.length; index += 1) {
    fields[names[index] as string] = values[index + 1];
  }
  if (FRAME_CHECKS[kind]?.(fields) === true) {
    return Result.ok({body, fields, kind} as unknown as Frame);
  }
  const parsed = FRAME_SCHEMAS[kind].safeParse(fields);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue === undefined ? '' : issue.path.join('.');
    return Result.err(createFailure('frameMalformed', `${kind}: ${path}`));
  }
  return Result.ok({body, fields: parsed.data, kind} as Frame);
}

/** Splits a byte stream into frames; copies only if a frame spans chunks. */
export class FrameSplitter {
  #pending: Uint8Array[] = [];
  #pendingBytes = 0;
  #maximumFrameBytes: number;
  #requiredBytes = LENGTH_BYTES;

  constructor(maximumFrameBytes: number) {
    this.#maximumFrameBytes = maximumFrameBytes;
  }

  /** Returns the number of bytes of the incomplete frame at the end. */
  getPendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Changes the size limit of the frames that follow. */
  setMaximumFrameBytes(maximumFrameBytes: number): void {
    this.#maximumFrameBytes = maximumFrameBytes;
  }

  /** Adds bytes and returns the frames that they complete. */
  push(bytes: Uint8Array): Result<readonly RawFrame[], Failure> {
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
    const frames: RawFrame[] = [];
    if (this.#pendingBytes < this.#requiredBytes) {
      return Result.ok(frames);
    }
    const joined = this.#join();
    let offset = 0;
    for (;;) {
      const remaining = joined.length - offset;
      if (remaining < LENGTH_BYTES) {
        this.#requiredBytes = LENGTH_BYTES;
        break;
      }
      const total = joined.readUInt32BE(offset) + LENGTH_BYTES;
      if (total < FRAME_HEADER_BYTES) {
        return Result.err(createFailure('frameMalformed', 'header'));
      }
      if (total > this.#maximumFrameBytes) {
        return Result.err(createFailure('frameTooLong', String(total)));
      }
      if (remaining < total) {
        this.#requiredBytes = total;
        break;
      }
      const frame = parseRawFrame(joined.subarray(offset, offset + total));
      if (frame === undefined) {
        return Result.err(createFailure('frameMalformed', 'field length'));
      }
      frames.push(frame);
      offset += total;
    }
    this.#storeRest(joined.subarray(offset));
    return Result.ok(frames);
  }

  #join(): Buffer {
    const only = this.#pending.length === 1 ? this.#pending[0] : undefined;
    return only === undefined
      ? Buffer.concat(this.#pending, this.#pendingBytes)
      : Buffer.from(only.buffer, only.byteOffset, only.byteLength);
  }

  #storeRest(rest: Uint8Array): void {
    this.#pending = rest.length === 0 ? [] : [rest];
    this.#pendingBytes = rest.length;
  }
}

function parseRawFrame(bytes: Buffer): RawFrame | undefined {
  const fieldsLength = bytes.readUInt32BE(FIELDS_LENGTH_OFFSET);
  const bodyOffset = FRAME_HEADER_BYTES + fieldsLength;
  if (bodyOffset > bytes.length) {
    return undefined;
  }
  return {
    body: bytes.subarray(bodyOffset),
    fields: bytes.subarray(FRAME_HEADER_BYTES, bodyOffset),
    sequence: bytes.readUInt32BE(SEQUENCE_OFFSET),
    tag: bytes.readUInt32BE(TAG_OFFSET),
  };
}
