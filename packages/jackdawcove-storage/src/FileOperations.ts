/** Operations on files that storage needs, passed in so that tests inject faults. */

/** An open file. */
export type OpenFile = {
  close(): Promise<void>;
  /** Makes written bytes durable (fdatasync). */
  sync(): Promise<void>;
  truncate(length: number): Promise<void>;
  /** Writes all bytes at the position. */
  write(bytes: Uint8Array, position: number): Promise<void>;
};

/** How a file is opened: `create` empties it, `update` keeps its content. */
export type OpenMode = 'create' | 'update';

/** Operations on files; each rejects with the error of the operating system. */
export type FileOperations = {
  createFolder(path: string): Promise<void>;
  openFile(path: string, mode: OpenMode): Promise<OpenFile>;
  /** Returns undefined when there is no such file. */
  readFile(path: string): Promise<Uint8Array | undefined>;
  renameFile(from: string, to: string): Promise<void>;
  /** Makes created and renamed names in the folder durable. */
  syncFolder(path: string): Promise<void>;
};
