/** File operations in memory that lose what was not synced, for tests. */

import type {FileOperations, OpenFile, OpenMode} from './FileOperations.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {dirname} from 'node:path';

/** Operation that may fail. */
export type FileOperationName = 'open' | 'read' | 'rename' | 'sync' | 'write';

/** Returns the error that an operation fails with, or undefined. */
export type FileFault = (
  name: FileOperationName,
  path: string,
) => Error | undefined;

type MemoryFile = {
  bytes: Buffer;
  /** Content that survives the loss of power. */
  synced: Buffer;
};

const EVEN_CHANCE = 0.5;

function noFault(): undefined {
  return undefined;
}

/**
 * Files in memory.
 *
 * @example
 * const files = new MemoryFiles();
 * const operations = files.createOperations();
 * files.crash(randomNumber); // what was not synced may be gone
 */
export class MemoryFiles {
  fault: FileFault = noFault;
  #names = new Map<string, MemoryFile>();
  #syncedNames = new Map<string, MemoryFile>();

  /** Creates operations on these files; older ones stop at a crash. */
  createOperations(): FileOperations {
    return {
      createFolder: () => Promise.resolve(),
      openFile: (path, mode) =>
        this.#attempt('open', path, () => this.#open(path, mode)),
      readFile: (path) =>
        this.#attempt('read', path, () => {
          const file = this.#names.get(path);
          return file && Buffer.from(file.bytes);
        }),
      renameFile: (from, to) =>
        this.#attempt('rename', from, () => {
          const file = this.#names.get(from);
          if (file !== undefined) {
            this.#names.delete(from);
            this.#names.set(to, file);
          }
        }),
      syncFolder: (path) =>
        this.#attempt('sync', path, () => {
          this.#syncFolder(path);
        }),
    };
  }

  /** Loses power: each unsynced write and name is kept, cut or lost at random. */
  crash(randomNumber: RandomNumber): void {
    const names = new Map(this.#syncedNames);
    for (const [path, file] of this.#names) {
      if (!names.has(path) && randomNumber() < EVEN_CHANCE) {
        names.set(path, file);
      }
    }
    this.#names = new Map(
      [...names].map(([path, file]) => [path, this.#lose(file, randomNumber)]),
    );
    this.#syncedNames = new Map(this.#names);
  }

  /** Deletes everything under a folder, as a replaced disk would. */
  empty(folder: string): void {
    for (const names of [this.#names, this.#syncedNames]) {
      for (const path of [...names.keys()]) {
        if (path.startsWith(`${folder}/`)) {
          names.delete(path);
        }
      }
    }
  }

  /** Changes the bytes of a file in place. */
  edit(path: string, change: (bytes: Buffer) => Buffer): void {
    const file = this.#names.get(path);
    if (file !== undefined) {
      file.bytes = Buffer.from(change(Buffer.from(file.bytes)));
      file.synced = Buffer.from(file.bytes);
    }
  }

  /** Returns the bytes of a file, or undefined. */
  read(path: string): Buffer | undefined {
    return this.#names.get(path)?.bytes;
  }

  #lose(file: MemoryFile, randomNumber: RandomNumber): MemoryFile {
    const {bytes, synced} = file;
    const isAppended = bytes.subarray(0, synced.length).equals(synced);
    const kept = Math.floor(
      randomNumber() * (bytes.length - synced.length + 1),
    );
    const survivor = isAppended
      ? bytes.subarray(0, synced.length + kept)
      : synced;
    return {bytes: Buffer.from(survivor), synced: Buffer.from(survivor)};
  }

  #syncFolder(folder: string): void {
    for (const path of [...this.#syncedNames.keys()]) {
      if (dirname(path) === folder && !this.#names.has(path)) {
        this.#syncedNames.delete(path);
      }
    }
    for (const [path, file] of this.#names) {
      if (dirname(path) === folder) {
        this.#syncedNames.set(path, file);
      }
    }
  }

  #open(path: string, mode: OpenMode): OpenFile {
    const file = this.#names.get(path) ?? {
      bytes: Buffer.alloc(0),
      synced: Buffer.alloc(0),
    };
    this.#names.set(path, file);
    if (mode === 'create') {
      file.bytes = Buffer.alloc(0);
    }
    return {
      close: () => Promise.resolve(),
      sync: () =>
        this.#attempt('sync', path, () => {
          file.synced = Buffer.from(file.bytes);
        }),
      truncate: (length) =>
        this.#attempt('write', path, () => {
          file.bytes = file.bytes.subarray(0, length);
        }),
      write: (bytes, position) =>
        this.#attempt('write', path, () => {
          const end = position + bytes.length;
          const size = Math.max(file.bytes.length, end);
          const written = Buffer.alloc(size);
          file.bytes.copy(written);
          written.set(bytes, position);
          file.bytes = written;
        }),
    };
  }

  #attempt<Value>(
    name: FileOperationName,
    path: string,
    run: () => Value,
  ): Promise<Value> {
    const error = this.fault(name, path);
    return error === undefined ? Promise.resolve(run()) : Promise.reject(error);
  }
}
