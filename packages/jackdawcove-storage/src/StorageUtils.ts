/** Record format and failures shared by the files of the data folder. */

import type {FileOperations, OpenFile} from './FileOperations.js';
import type {Failure} from 'jackdawcove-shared';

import {dirname} from 'node:path';
import {crc32} from 'node:zlib';

import {decode, encode} from 'cbor-x';
import {createFailure} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {RECORD_HEADER_BYTES, TEMPORARY_SUFFIX} from './StorageConstants.js';

const CHECKSUM_OFFSET = 4;

/** Error that carries a storage failure. */
export class StorageError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.detail);
    this.failure = failure;
    this.name = 'StorageError';
  }
}

/** Record read from a file, and the position after it. */
export type DecodedRecord = {
  readonly content: unknown;
  readonly end: number;
};

function computeChecksum(lengthBytes: Uint8Array, payload: Uint8Array): number {
  return crc32(payload, crc32(lengthBytes));
}

/**
 * Encodes a record as its length, the CRC-32 of length and payload, and the
 * payload.
 *
 * @example
 * decodeRecord(encodeRecord({term: 3}), 0)?.content; // {term: 3}
 */
export function encodeRecord(content: unknown): Uint8Array {
  const payload = encode(content);
  const record = Buffer.alloc(RECORD_HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, 0);
  const lengthBytes = record.subarray(0, CHECKSUM_OFFSET);
  record.writeUInt32BE(computeChecksum(lengthBytes, payload), CHECKSUM_OFFSET);
  payload.copy(record, RECORD_HEADER_BYTES);
  return record;
}

/**
 * Decodes the record at a position, or returns undefined when it is incomplete
 * or does not match its checksum.
 *
 * @example
 * decodeRecord(bytes, 0)?.end; // position of the next record
 */
export function decodeRecord(
  bytes: Uint8Array,
  position: number,
): DecodedRecord | undefined {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const start = position + RECORD_HEADER_BYTES;
  if (start > view.length) {
    return undefined;
  }
  const length = view.readUInt32BE(position);
  const end = start + length;
  if (length === 0 || end > view.length) {
    return undefined;
  }
  const payload = view.subarray(start, end);
  const lengthBytes = view.subarray(position, position + CHECKSUM_OFFSET);
  const checksum = view.readUInt32BE(position + CHECKSUM_OFFSET);
  if (computeChecksum(lengthBytes, payload) !== checksum) {
    return undefined;
  }
  return {content: decode(payload), end};
}

/**
 * Converts an error of a file operation into a failure.
 *
 * @example
 * toStorageFailure(error).result; // 'storageFull' for ENOSPC
 */
export function toStorageFailure(error: unknown): Failure {
  if (error instanceof StorageError) {
    return error.failure;
  }
  const detail = error instanceof Error ? error.message : String(error);
  const code =
    error instanceof Error && 'code' in error ? error.code : undefined;
  return match(code)
    .with('ENOSPC', 'EDQUOT', () => createFailure('storageFull', detail))
    .otherwise(() => createFailure('storageFailed', detail));
}

/**
 * Replaces a file atomically: writes and syncs a temporary file, renames it and
 * syncs the folder. Returns the open file.
 *
 * @example
 * const file = await replaceFile(operations, '/data/identity', bytes);
 * await file.close();
 */
export async function replaceFile(
  operations: FileOperations,
  path: string,
  bytes: Uint8Array,
): Promise<OpenFile> {
  const temporaryPath = `${path}${TEMPORARY_SUFFIX}`;
  const file = await operations.openFile(temporaryPath, 'create');
  try {
    await file.write(bytes, 0);
    await file.sync();
    await operations.renameFile(temporaryPath, path);
    await operations.syncFolder(dirname(path));
  } catch (error) {
    await file.close().catch(() => undefined);
    throw error;
  }
  return file;
}
