export type {FileOperations, OpenFile, OpenMode} from './FileOperations.js';
export type {
  FileFaultInjector,
  FileOperationName,
  FileStall,
} from './MemoryFiles.js';
export type {
  OpenedStorage,
  OpenStorageInput,
  SnapshotUpdate,
} from './ReplicaStorage.js';
export type {
  HardState,
  StorageUpdate,
  StoredEntry,
  StoredSnapshot,
  StoredState,
} from './StoredState.js';

export {createFileOperations} from './createFileOperations.js';
export {MemoryFiles} from './MemoryFiles.js';
export {RecordFile} from './RecordFile.js';
export {ReplicaStorage} from './ReplicaStorage.js';
export {FILE_NAMES} from './StorageConstants.js';
