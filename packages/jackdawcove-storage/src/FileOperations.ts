/** File operations that storage needs, injected so that tests can simulate faults. */

/** An open file. */
export type OpenFile = {
  close(): Promise<void>;
  /** Makes written bytes durable (fdatasync). */
  sync(): Promise<void>;
  truncate(length: number): Promise<void>;
  /** Writes all bytes at the position. */
  write(bytes: Uint8Array, position: number): Promise<void>;
};

/** How a file is opened: `create` truncates it, `update` keeps its content. */
export type OpenMode = 'create' | 'update';

/** File operations; each rejects with the error of the operating system. */
export type FileOperations = {
  createFolder(path: string): Promise<void>;
  openFile(path: string, mode: OpenMode): Promise<OpenFile>;
  /** Returns undefined if the file does not exist. */
  readFile(path: string): Promise<Uint8Array | undefined>;
  renameFile(from: string, to: string): Promise<void>;
  /** Makes the creation and renaming of files in the folder durable (fsync). */
  syncFolder(path: string): Promise<void>;
};
