/** In-memory file operations for tests; a crash loses unsynced data. */

import type {FileOperations, OpenFile, OpenMode} from './FileOperations.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {dirname} from 'node:path';

/** Name of an operation that a test can make fail. */
export type FileOperationName = 'open' | 'read' | 'rename' | 'sync' | 'write';

/** Returns the error that an operation must fail with, or undefined. */
export type FileFaultInjector = (
  name: FileOperationName,
  path: string,
) => Error | undefined;

type MemoryFile = {
  bytes: Buffer;
  /** Content that survives a power failure. */
  synced: Buffer;
};

const UNSYNCED_NAME_SURVIVAL_PROBABILITY = 0.5;

function noFault(): undefined {
  return undefined;
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
  injectFault: FileFaultInjector = noFault;
  #filesByPath = new Map<string, MemoryFile>();
  #syncedFilesByPath = new Map<string, MemoryFile>();

  /** Creates operations on these files; a crash detaches files already open. */
  createOperations(): FileOperations {
    return {
      createFolder: () => Promise.resolve(),
      openFile: (path, mode) =>
        this.#runWithFault('open', path, () => this.#open(path, mode)),
      readFile: (path) =>
        this.#runWithFault('read', path, () => {
          const file = this.#filesByPath.get(path);
          return file && Buffer.from(file.bytes);
        }),
      renameFile: (from, to) =>
        this.#runWithFault('rename', from, () => {
          const file = this.#filesByPath.get(from);
          if (file !== undefined) {
            this.#filesByPath.delete(from);
            this.#filesByPath.set(to, file);
          }
        }),
      syncFolder: (path) =>
        this.#runWithFault('sync', path, () => {
          this.#syncFolder(path);
        }),
    };
  }

  /** Simulates a power failure: unsynced bytes and names are kept, cut or lost at random. */
  crash(randomNumber: RandomNumber): void {
    const names = new Map(this.#syncedFilesByPath);
    for (const [path, file] of this.#filesByPath) {
      if (
        !names.has(path) &&
        randomNumber() < UNSYNCED_NAME_SURVIVAL_PROBABILITY
      ) {
        names.set(path, file);
      }
    }
    this.#filesByPath = new Map(
      [...names].map(([path, file]) => [
        path,
        this.#loseUnsyncedBytes(file, randomNumber),
      ]),
    );
    this.#syncedFilesByPath = new Map(this.#filesByPath);
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

  /** Changes the bytes of a file in place. */
  editFile(path: string, change: (bytes: Buffer) => Buffer): void {
    const file = this.#filesByPath.get(path);
    if (file !== undefined) {
      file.bytes = Buffer.from(change(Buffer.from(file.bytes)));
      file.synced = Buffer.from(file.bytes);
    }
  }

  /** Returns the bytes of a file, or undefined. */
  read(path: string): Buffer | undefined {
    return this.#filesByPath.get(path)?.bytes;
  }

  #loseUnsyncedBytes(file: MemoryFile, randomNumber: RandomNumber): MemoryFile {
    const {bytes, synced} = file;
    const isAppended = bytes.subarray(0, synced.length).equals(synced);
    const keptCount = Math.floor(
      randomNumber() * (bytes.length - synced.length + 1),
    );
    const survivingBytes = isAppended
      ? bytes.subarray(0, synced.length + keptCount)
      : synced;
    return {
      bytes: Buffer.from(survivingBytes),
      synced: Buffer.from(survivingBytes),
    };
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

  #open(path: string, mode: OpenMode): OpenFile {
    const file = this.#filesByPath.get(path) ?? {
      bytes: Buffer.alloc(0),
      synced: Buffer.alloc(0),
    };
    this.#filesByPath.set(path, file);
    if (mode === 'create') {
      file.bytes = Buffer.alloc(0);
    }
    return {
      close: () => Promise.resolve(),
      sync: () =>
        this.#runWithFault('sync', path, () => {
          file.synced = Buffer.from(file.bytes);
        }),
      truncate: (length) =>
        this.#runWithFault('write', path, () => {
          file.bytes = file.bytes.subarray(0, length);
        }),
      write: (bytes, position) =>
        this.#runWithFault('write', path, () => {
          const end = position + bytes.length;
          const size = Math.max(file.bytes.length, end);
          const newBytes = Buffer.alloc(size);
          file.bytes.copy(newBytes);
          newBytes.set(bytes, position);
          file.bytes = newBytes;
        }),
    };
  }

  #runWithFault<Value>(
    name: FileOperationName,
    path: string,
    run: () => Value,
  ): Promise<Value> {
    const error = this.injectFault(name, path);
    return error === undefined ? Promise.resolve(run()) : Promise.reject(error);
  }
}
