/** Durable state of one replica in one data folder. */

import type {FileOperations, OpenFile} from './FileOperations.js';
import type {
  HardState,
  LogContent,
  SelectedEntries,
  StorageUpdate,
  StoredEntry,
  StoredSnapshot,
  StoredState,
  SyncedLength,
} from './StoredState.js';
import type {Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {join} from 'node:path';

import {createFailure} from 'jackdawcove-shared';
import {err, isErr, ok} from 'true-myth/result';

import {openIdentity} from './openIdentity.js';
import {RecordFile} from './RecordFile.js';
import {FILE_NAMES, FORMAT_VERSION} from './StorageConstants.js';
import {
  decodeRecord,
  encodeRecord,
  replaceFile,
  StorageError,
  toStorageFailure,
} from './StorageUtils.js';
import {
  readLog,
  selectEntriesAfter,
  storedSnapshotSchema,
  syncedLengthSchema,
} from './StoredState.js';

/** Input for opening a data folder. */
export type OpenStorageInput = {
  /** Creates the identity of an empty folder; never returns the same one twice. */
  readonly createIdentity: () => string;
  /** Name of the daemon that owns the folder. */
  readonly daemon: string;
  readonly folder: string;
  readonly operations: FileOperations;
};

/** Open data folder and the state read from it. */
export type OpenedStorage = {
  readonly identity: string;
  readonly isNew: boolean;
  readonly state: StoredState;
  readonly storage: ReplicaStorage;
};

/** Snapshot, and the state that the log contains after it. */
export type SnapshotUpdate = {
  readonly entries: readonly StoredEntry[];
  readonly hardState: HardState;
  readonly snapshot: StoredSnapshot;
};

/** Open log file and the content read from it. */
export type OpenLog = {
  readonly file: OpenFile;
  readonly log: LogContent;
};

function encodeLog(generation: number, update: StorageUpdate): Uint8Array {
  return Buffer.concat([
    encodeRecord({generation, version: FORMAT_VERSION}),
    encodeRecord(update),
  ]);
}

async function readSnapshot({
  folder,
  operations,
}: OpenStorageInput): Promise<Result<StoredSnapshot | undefined, Failure>> {
  const path = join(folder, FILE_NAMES.snapshot);
  const content = await new RecordFile(path, operations).read();
  return content.andThen((value) => {
    const snapshot = storedSnapshotSchema.optional().safeParse(value);
    return snapshot.success
      ? ok(snapshot.data)
      : err(createFailure('storageDamaged', FILE_NAMES.snapshot));
  });
}

async function createLog(
  operations: FileOperations,
  path: string,
): Promise<OpenLog> {
  const hardState: HardState = {term: 0};
  const bytes = encodeLog(0, {entries: [], hardState});
  const file = await replaceFile(operations, path, bytes);
  return {
    file,
    log: {entries: [], generation: 0, hardState, length: bytes.length},
  };
}

async function readSyncedLength(
  input: OpenStorageInput,
): Promise<SyncedLength | undefined> {
  const path = join(input.folder, FILE_NAMES.syncedLength);
  const bytes = await input.operations.readFile(path);
  // The marker is overwritten in place, so bytes of an older one may follow it.
  const record = bytes && decodeRecord(bytes, 0);
  const marker = syncedLengthSchema.safeParse(record?.content);
  return marker.success ? marker.data : undefined;
}

async function openLog(
  input: OpenStorageInput,
  snapshot: StoredSnapshot | undefined,
): Promise<Result<OpenLog, Failure>> {
  const path = join(input.folder, FILE_NAMES.log);
  const bytes = await input.operations.readFile(path);
  if (bytes === undefined) {
    return err(createFailure('storageDamaged', 'the log is missing'));
  }
  const synced = await readSyncedLength(input);
  const log = readLog(bytes, synced, snapshot?.index);
  if (isErr(log)) {
    return err(log.error);
  }
  const file = await input.operations.openFile(path, 'update');
  try {
    if (log.value.length < bytes.length) {
      await file.truncate(log.value.length);
    }
    // Bytes written by an earlier process may still be unsynced.
    await file.sync();
    await input.operations.syncFolder(input.folder);
  } catch (error) {
    await file.close().catch(() => undefined);
    throw error;
  }
  return ok({file, log: log.value});
}

/**
 * Durable log, snapshot, term and vote of one replica.
 *
 * After a failed save the storage refuses every later save until it is opened
 * again, because the state of the unsynced bytes is unknown.
 *
 * @example
 * const opened = await ReplicaStorage.open(input);
 * await opened.value.storage.save({entries: [], hardState: {term: 1}});
 */
export class ReplicaStorage {
  #failure: Failure | undefined;
  #file: OpenFile;
  readonly #folder: string;
  #generation: number;
  #length: number;
  readonly #operations: FileOperations;
  readonly #snapshotFile: RecordFile;
  #syncedFile: OpenFile | undefined;
  #lastSave: Promise<unknown> = Promise.resolve();

  constructor(input: OpenStorageInput, opened: OpenLog) {
    this.#file = opened.file;
    this.#folder = input.folder;
    this.#generation = opened.log.generation;
    this.#length = opened.log.length;
    this.#operations = input.operations;
    this.#snapshotFile = new RecordFile(
      join(input.folder, FILE_NAMES.snapshot),
      input.operations,
    );
  }

  /** Opens a data folder; an empty folder becomes a new replica. */
  static async open(
    input: OpenStorageInput,
  ): Promise<Result<OpenedStorage, Failure>> {
    try {
      await input.operations.createFolder(input.folder);
      return await ReplicaStorage.#openFolder(input);
    } catch (error) {
      return err(toStorageFailure(error));
    }
  }

  static async #openFolder(
    input: OpenStorageInput,
  ): Promise<Result<OpenedStorage, Failure>> {
    const logPath = join(input.folder, FILE_NAMES.log);
    const identity = await openIdentity(input, () =>
      createLog(input.operations, logPath).then(({file}) => file.close()),
    );
    if (isErr(identity)) {
      return err(identity.error);
    }
    const snapshot = await readSnapshot(input);
    if (isErr(snapshot)) {
      return err(snapshot.error);
    }
    const opened = await openLog(input, snapshot.value);
    if (isErr(opened)) {
      return err(opened.error);
    }
    const storage = new ReplicaStorage(input, opened.value);
    const {entries, hardState} = opened.value.log;
    const selected = selectEntriesAfter(snapshot.value, entries);
    if (isErr(selected)) {
      await storage.close();
      return err(selected.error);
    }
    const continued = await storage.#continueSnapshot(
      selected.value,
      hardState,
    );
    if (isErr(continued)) {
      await storage.close();
      return err(continued.error);
    }
    const state: StoredState = {
      entries: selected.value.entries,
      hardState,
      snapshot: snapshot.value,
    };
    return ok({...identity.value, state, storage});
  }

  /** Returns the failure that stopped the storage, or undefined if none did. */
  getFailure(): Failure | undefined {
    return this.#failure;
  }

  /** Makes term, vote and entries durable; they are durable once resolved with Ok. */
  save(update: StorageUpdate): Promise<Result<undefined, Failure>> {
    return this.#enqueue(() => this.#append(encodeRecord(update)));
  }

  /** Replaces the snapshot, then replaces the log by the state after it. */
  saveSnapshot(update: SnapshotUpdate): Promise<Result<undefined, Failure>> {
    return this.#enqueue(() => this.#replaceSnapshot(update));
  }

  /**
   * Replaces the log by a new file with the given content. After a failed sync the
   * bytes of the old file may never reach the disk, even if a later sync succeeds.
   */
  rewriteLog(update: StorageUpdate): Promise<Result<undefined, Failure>> {
    return this.#enqueue(() => this.#replaceLog(update));
  }

  /** Closes the files once all earlier saves have finished. */
  async close(): Promise<void> {
    await this.#lastSave;
    await this.#file.close();
    await this.#syncedFile?.close();
  }

  /**
   * Replaces a log that does not continue the snapshot, as the end of a process between
   * the replacements of both leaves it: entries that are appended to it would not be read.
   */
  #continueSnapshot(
    {entries, isContinuation}: SelectedEntries,
    hardState: HardState,
  ): Promise<Result<undefined, Failure>> {
    return isContinuation
      ? Promise.resolve(ok(undefined))
      : this.rewriteLog({entries: [...entries], hardState});
  }

  #enqueue(save: () => Promise<void>): Promise<Result<undefined, Failure>> {
    const saved = this.#lastSave.then(() => this.#runSave(save));
    this.#lastSave = saved;
    return saved;
  }

  async #runSave(
    save: () => Promise<void>,
  ): Promise<Result<undefined, Failure>> {
    if (this.#failure !== undefined) {
      return err(this.#failure);
    }
    try {
      await save();
      return ok(undefined);
    } catch (error) {
      this.#failure = toStorageFailure(error);
      return err(this.#failure);
    }
  }

  async #append(bytes: Uint8Array): Promise<void> {
    await this.#file.write(bytes, this.#length);
    await this.#file.sync();
    this.#length += bytes.length;
    await this.#writeSyncedLength();
  }

  /** Writes the synced length without a sync: it may be too low, never too high. */
  async #writeSyncedLength(): Promise<void> {
    this.#syncedFile ??= await this.#operations.openFile(
      join(this.#folder, FILE_NAMES.syncedLength),
      'create',
    );
    const marker = {generation: this.#generation, length: this.#length};
    const bytes = encodeRecord(marker);
    await this.#syncedFile.write(bytes, 0);
  }

  async #replaceSnapshot(update: SnapshotUpdate): Promise<void> {
    const replaced = await this.#snapshotFile.replace(update.snapshot);
    if (isErr(replaced)) {
      throw new StorageError(replaced.error);
    }
    const {entries, hardState} = update;
    await this.#replaceLog({entries: [...entries], hardState});
  }

  async #replaceLog(update: StorageUpdate): Promise<void> {
    const generation = this.#generation + 1;
    const bytes = encodeLog(generation, update);
    const path = join(this.#folder, FILE_NAMES.log);
    const file = await replaceFile(this.#operations, path, bytes);
    await this.#file.close();
    this.#file = file;
    this.#generation = generation;
    this.#length = bytes.length;
    await this.#writeSyncedLength();
  }
}
