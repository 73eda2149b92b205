/** In-memory file operations for tests; a crash loses unsynced data. */

import type {FileOperations, OpenFile, OpenMode} from './FileOperations.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {dirname} from 'node:path';

import {pickRandom} from 'jackdawcove-shared';

/** Name of an operation that a test can make fail. */
export type FileOperationName = 'open' | 'read' | 'rename' | 'sync' | 'write';

/** Returns the error that an operation must fail with, or undefined. */
export type FileFaultInjector = (
  name: FileOperationName,
  path: string,
) => Error | undefined;

/** Returns a promise that an operation must wait for, or undefined. */
export type FileStall = (
  name: FileOperationName,
  path: string,
) => Promise<void> | undefined;

/** Writes bytes at a position; without bytes it sets the length. */
type UnsyncedWrite = {
  readonly bytes: Buffer | undefined;
  readonly position: number;
};

type MemoryFile = {
  bytes: Buffer;
  /** Content that survives a power failure. */
  synced: Buffer;
  /** Changes since the last sync; each may survive a power failure or not. */
  unsynced: UnsyncedWrite[];
};

/** Machine whose processes stop once it loses power. */
type Power = {
  readonly folder: string;
  isLost: boolean;
};

const UNSYNCED_NAME_SURVIVAL_PROBABILITY = 0.5;
const ALL_UNSYNCED_LOST_PROBABILITY = 0.25;
const WRITE_FATES = ['lost', 'start', 'end', 'whole'] as const;

function noFault(): undefined {
  return undefined;
}

function applyWrite(
  content: Buffer,
  {bytes, position}: UnsyncedWrite,
): Buffer<ArrayBuffer> {
  if (bytes === undefined) {
    return Buffer.concat([content], position);
  }
  const length = Math.max(content.length, position + bytes.length);
  const changed = Buffer.concat([content], length);
  changed.set(bytes, position);
  return changed;
}

/** Returns the part of a write that survives a power failure, if any does. */
function tearWrite(
  write: UnsyncedWrite,
  randomNumber: RandomNumber,
): UnsyncedWrite | undefined {
  const fate = pickRandom(WRITE_FATES, randomNumber);
  const {bytes, position} = write;
  if (fate === 'lost' || fate === 'whole' || bytes === undefined) {
    return fate === 'lost' ? undefined : write;
  }
  const cut = Math.floor(randomNumber() * (bytes.length + 1));
  return fate === 'start'
    ? {bytes: bytes.subarray(0, cut), position}
    : {bytes: bytes.subarray(cut), position: position + cut};
}

/**
 * In-memory files that simulate power failures and failing operations.
 *
 * @example
 * const files = new MemoryFiles();
 * const operations = files.createOperations();
 * files.crash(randomNumber); // unsynced data may be lost
 */
export class MemoryFiles {
  /** Whether syncs report success without making anything durable. */
  ignoresSyncs = false;
  injectFault: FileFaultInjector = noFault;
  stall: FileStall = noFault;
  #filesByPath = new Map<string, MemoryFile>();
  readonly #powers = new Set<Power>();
  #syncedFilesByPath = new Map<string, MemoryFile>();

  /**
   * Creates operations on these files. A crash ends them: operations that have not
   * finished by then never do. A crash of one folder ends those created for it.
   */
  createOperations(folder = ''): FileOperations {
    const power: Power = {folder, isLost: false};
    this.#powers.add(power);
    return {
      createFolder: () => Promise.resolve(),
      openFile: (path, mode) =>
        this.#runWithFault(power, 'open', path, () =>
          this.#open(power, path, mode),
        ),
      readFile: (path) =>
        this.#runWithFault(power, 'read', path, () => {
          const file = this.#filesByPath.get(path);
          return file && Buffer.from(file.bytes);
        }),
      renameFile: (from, to) =>
        this.#runWithFault(power, 'rename', from, () => {
          const file = this.#filesByPath.get(from);
          if (file !== undefined) {
            this.#filesByPath.delete(from);
            this.#filesByPath.set(to, file);
          }
        }),
      syncFolder: (path) =>
        this.#runWithFault(power, 'sync', path, () => {
          this.#syncFolder(path);
        }),
    };
  }

  /**
   * Simulates a power failure: each unsynced write is kept, torn or lost at random,
   * each unsynced name is kept or lost. With a folder given, only its files fail.
   */
  crash(randomNumber: RandomNumber, folder = ''): void {
    const isHit = (path: string) => path.startsWith(`${folder}/`);
    const survives = () => randomNumber() < UNSYNCED_NAME_SURVIVAL_PROBABILITY;
    const names = new Map(this.#syncedFilesByPath);
    for (const [path, file] of this.#filesByPath) {
      if (names.get(path) !== file && (!isHit(path) || survives())) {
        names.set(path, file);
      }
    }
    for (const path of this.#syncedFilesByPath.keys()) {
      if (!this.#filesByPath.has(path) && (!isHit(path) || survives())) {
        names.delete(path);
      }
    }
    for (const [path, file] of names) {
      if (isHit(path)) {
        names.set(path, this.#loseUnsyncedBytes(file, randomNumber));
      }
    }
    const syncedNames = [...names].filter(
      ([path, file]) =>
        isHit(path) || this.#syncedFilesByPath.get(path) === file,
    );
    this.#filesByPath = names;
    this.#syncedFilesByPath = new Map(syncedNames);
    this.#endOperations(folder);
  }

  /** Deletes everything in a folder, like a replaced disk. */
  emptyFolder(folder: string): void {
    for (const names of [this.#filesByPath, this.#syncedFilesByPath]) {
      for (const path of [...names.keys()]) {
        if (path.startsWith(`${folder}/`)) {
          names.delete(path);
        }
      }
    }
  }

  /**
   * Lets all operations fail from a number on, as if the process had ended. Returns how
   * many were begun so far.
   *
   * @example
   * const getCount = files.failFrom(3); // two operations succeed
   */
  failFrom(number: number): () => number {
    let count = 0;
    this.injectFault = () => {
      count += 1;
      return count >= number ? new Error('the process has ended') : undefined;
    };
    return () => count;
  }

  /** Changes the bytes of a file in place. */
  editFile(path: string, change: (bytes: Buffer) => Buffer): void {
    const file = this.#filesByPath.get(path);
    if (file !== undefined) {
      file.bytes = Buffer.from(change(Buffer.from(file.bytes)));
      file.synced = Buffer.from(file.bytes);
      file.unsynced = [];
    }
  }

  /** Returns the bytes of a file, or undefined. */
  read(path: string): Buffer | undefined {
    return this.#filesByPath.get(path)?.bytes;
  }

  #endOperations(folder: string): void {
    for (const power of this.#powers) {
      if (folder === '' || power.folder === folder) {
        power.isLost = true;
        this.#powers.delete(power);
      }
    }
  }

  #loseUnsyncedBytes(file: MemoryFile, randomNumber: RandomNumber): MemoryFile {
    const isAllLost = randomNumber() < ALL_UNSYNCED_LOST_PROBABILITY;
    const writes = isAllLost ? [] : file.unsynced;
    const bytes = writes
      .flatMap((write) => tearWrite(write, randomNumber) ?? [])
      .reduce(applyWrite, Buffer.from(file.synced));
    return {bytes, synced: bytes, unsynced: []};
  }

  #syncFolder(folder: string): void {
    for (const path of [...this.#syncedFilesByPath.keys()]) {
      if (dirname(path) === folder && !this.#filesByPath.has(path)) {
        this.#syncedFilesByPath.delete(path);
      }
    }
    for (const [path, file] of this.#filesByPath) {
      if (dirname(path) === folder) {
        this.#syncedFilesByPath.set(path, file);
      }
    }
  }

  #open(power: Power, path: string, mode: OpenMode): OpenFile {
    const file = this.#filesByPath.get(path) ?? {
      bytes: Buffer.alloc(0),
      synced: Buffer.alloc(0),
      unsynced: [],
    };
    this.#filesByPath.set(path, file);
    const change = (write: UnsyncedWrite) => {
      file.bytes = applyWrite(file.bytes, write);
      file.unsynced.push(write);
    };
    if (mode === 'create') {
      change({bytes: undefined, position: 0});
    }
    return {
      close: () => Promise.resolve(),
      sync: () =>
        this.#runWithFault(power, 'sync', path, () => {
          if (!this.ignoresSyncs) {
            file.synced = Buffer.from(file.bytes);
            file.unsynced = [];
          }
        }),
      truncate: (length) =>
        this.#runWithFault(power, 'write', path, () => {
          change({bytes: undefined, position: length});
        }),
      write: (bytes, position) =>
        this.#runWithFault(power, 'write', path, () => {
          change({bytes: Buffer.from(bytes), position});
        }),
    };
  }

  async #runWithFault<Value>(
    power: Power,
    name: FileOperationName,
    path: string,
    run: () => Value,
  ): Promise<Value> {
    const stalled = this.stall(name, path);
    if (stalled !== undefined) {
      await stalled;
    }
    if (power.isLost) {
      return new Promise(() => undefined);
    }
    const error = this.injectFault(name, path);
    if (error !== undefined) {
      throw error;
    }
    return run();
  }
}
