/** Schemas of the state that a replica stores, and reading of its log. */

import type {Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {createFailure} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';
import {z} from 'zod';

import {FORMAT_VERSION} from './StorageConstants.js';
import {decodeRecord} from './StorageUtils.js';

/** Schema of the term and the vote of a replica. */
export const hardStateSchema = z.object({
  term: z.int().min(0),
  /** Identity of the replica that was voted for in the term. */
  vote: z.string().optional(),
});

/** Schema of an entry of the log. */
export const storedEntrySchema = z.object({
  content: z.unknown(),
  index: z.int().min(1),
  term: z.int().min(0),
});

/** Schema of a snapshot: the state after the entry with its index. */
export const storedSnapshotSchema = z.object({
  content: z.unknown(),
  index: z.int().min(0),
  term: z.int().min(0),
});

/** Schema of the first record of the log file. */
export const logHeaderSchema = z.object({
  generation: z.int().min(0),
  version: z.literal(FORMAT_VERSION),
});

/** Schema of an update, which is one record of the log. */
export const storageUpdateSchema = z.object({
  /** Replace the stored entries from the index of the first one on. */
  entries: z.array(storedEntrySchema),
  hardState: hardStateSchema.optional(),
});

/** Schema of the marker of the synced length of the log file. */
export const syncedLengthSchema = z.object({
  generation: z.int().min(0),
  length: z.int().min(0),
});

/** Term and vote of a replica. */
export type HardState = z.infer<typeof hardStateSchema>;

/** Entry of the log. */
export type StoredEntry = z.infer<typeof storedEntrySchema>;

/** Snapshot of the state machine. */
export type StoredSnapshot = z.infer<typeof storedSnapshotSchema>;

/** Update that one save makes durable. */
export type StorageUpdate = z.infer<typeof storageUpdateSchema>;

/** Marker of the synced length of the log file. */
export type SyncedLength = z.infer<typeof syncedLengthSchema>;

/** State of a replica as read from its data folder. */
export type StoredState = {
  readonly entries: readonly StoredEntry[];
  readonly hardState: HardState;
  readonly snapshot: StoredSnapshot | undefined;
};

/** Content read from a log file. */
export type LogContent = {
  readonly entries: readonly StoredEntry[];
  readonly generation: number;
  readonly hardState: HardState;
  /** Length of the valid bytes; the rest is a torn tail. */
  readonly length: number;
};

function hasRecordAfter(bytes: Uint8Array, position: number): boolean {
  for (let start = position + 1; start < bytes.length; start += 1) {
    if (decodeRecord(bytes, start) !== undefined) {
      return true;
    }
  }
  return false;
}

function isTornTail(
  bytes: Uint8Array,
  position: number,
  syncedLength: number,
): boolean {
  // At most one record is unsynced, so no valid record follows a torn one.
  return position >= syncedLength && !hasRecordAfter(bytes, position);
}

/** Appends entries; returns false if entries that the snapshot lacks are missing. */
function appendEntries(
  entries: StoredEntry[],
  appended: readonly StoredEntry[],
  snapshotIndex: number,
): boolean {
  const [firstAppended] = appended;
  if (firstAppended === undefined) {
    return true;
  }
  const [first] = entries;
  const offset = first === undefined ? 0 : firstAppended.index - first.index;
  if (offset > entries.length && firstAppended.index <= snapshotIndex + 1) {
    // Earlier versions append to a log that ends before the snapshot.
    entries.splice(0, entries.length, ...appended);
    return true;
  }
  if (offset < 0 || offset > entries.length) {
    return false;
  }
  entries.splice(offset, entries.length, ...appended);
  return true;
}

/**
 * Reads the bytes of a log file. A torn tail is ignored, and so are missing entries
 * that the snapshot contains; any other damage returns storageDamaged.
 *
 * @example
 * readLog(bytes, undefined).isOk;
 */
export function readLog(
  bytes: Uint8Array,
  synced: SyncedLength | undefined,
  snapshotIndex = 0,
): Result<LogContent, Failure> {
  const damaged = (detail: string) =>
    err<LogContent, Failure>(createFailure('storageDamaged', detail));
  const headerRecord = decodeRecord(bytes, 0);
  const header = logHeaderSchema.safeParse(headerRecord?.content);
  if (headerRecord === undefined || !header.success) {
    return damaged('the header of the log');
  }
  const {generation} = header.data;
  const syncedLength = synced?.generation === generation ? synced.length : 0;
  const entries: StoredEntry[] = [];
  let hardState: HardState = {term: 0};
  let position = headerRecord.end;
  while (position < bytes.length) {
    const record = decodeRecord(bytes, position);
    if (record === undefined) {
      break;
    }
    const update = storageUpdateSchema.safeParse(record.content);
    if (
      !update.success ||
      !appendEntries(entries, update.data.entries, snapshotIndex)
    ) {
      return damaged(`the record at byte ${String(position)} of the log`);
    }
    hardState = update.data.hardState ?? hardState;
    position = record.end;
  }
  if (position < syncedLength || !isTornTail(bytes, position, syncedLength)) {
    return damaged(`byte ${String(position)} of the log`);
  }
  return ok({entries, generation, hardState, length: position});
}

/** Entries of a log that follow a snapshot. */
export type SelectedEntries = {
  readonly entries: readonly StoredEntry[];
  /** Whether entries that are appended to the log follow the snapshot. */
  readonly isContinuation: boolean;
};

/**
 * Returns the entries that follow a snapshot: all later ones if the log contains
 * the snapshot's entry or starts right after it, none if the log ends before the
 * snapshot or conflicts with it.
 *
 * @example
 * selectEntriesAfter(snapshot, entries);
 */
export function selectEntriesAfter(
  snapshot: StoredSnapshot | undefined,
  entries: readonly StoredEntry[],
): Result<SelectedEntries, Failure> {
  const startIndex = snapshot?.index ?? 0;
  const [first] = entries;
  if (first === undefined) {
    return ok({entries: [], isContinuation: true});
  }
  if (first.index > startIndex + 1) {
    return err(createFailure('storageDamaged', 'entries before the log miss'));
  }
  const snapshotEntry = entries.find(({index}) => index === startIndex);
  const isContinuation =
    first.index === startIndex + 1 || snapshotEntry?.term === snapshot?.term;
  const following = entries.filter(({index}) => index > startIndex);
  return ok({entries: isContinuation ? following : [], isContinuation});
}
