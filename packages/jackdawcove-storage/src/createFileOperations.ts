/** File operations on the file system of the VM. */

import type {FileOperations, OpenFile} from './FileOperations.js';
import type {FileHandle} from 'node:fs/promises';

import {mkdir, open, readFile, rename} from 'node:fs/promises';

const FILE_MODE = 0o600;
const FOLDER_MODE = 0o700;
const OPEN_FLAGS = {create: 'w', update: 'a+'} as const;

async function writeAll(
  handle: FileHandle,
  bytes: Uint8Array,
  position: number,
): Promise<void> {
  let writtenCount = 0;
  while (writtenCount < bytes.length) {
    const {bytesWritten} = await handle.write(
      bytes,
      writtenCount,
      bytes.length - writtenCount,
      position + writtenCount,
    );
    writtenCount += bytesWritten;
  }
}

function createOpenFile(handle: FileHandle): OpenFile {
  return {
    close: () => handle.close(),
    sync: () => handle.datasync(),
    truncate: (length) => handle.truncate(length),
    write: (bytes, position) => writeAll(handle, bytes, position),
  };
}

async function openForUpdate(path: string): Promise<FileHandle> {
  // Append mode ignores positions, so it is used only to create a missing file.
  const created = await open(path, OPEN_FLAGS.update, FILE_MODE);
  await created.close();
  return open(path, 'r+', FILE_MODE);
}

function isMissingFile(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ENOENT';
}

async function readFileIfPresent(
  path: string,
): Promise<Uint8Array | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if (isMissingFile(error)) {
      return undefined;
    }
    throw error;
  }
}

async function syncFolder(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Creates file operations on the file system of the VM.
 *
 * @example
 * const operations = createFileOperations();
 * await operations.readFile('/var/lib/jackdawcove/identity');
 */
export function createFileOperations(): FileOperations {
  return {
    createFolder: async (path) => {
      await mkdir(path, {mode: FOLDER_MODE, recursive: true});
    },
    openFile: async (path, mode) =>
      createOpenFile(
        mode === 'update'
          ? await openForUpdate(path)
          : await open(path, OPEN_FLAGS.create, FILE_MODE),
      ),
    readFile: readFileIfPresent,
    renameFile: rename,
    syncFolder,
  };
}
