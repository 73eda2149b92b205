/** Constants of the data folder. */

/** Format version of the data folder. */
export const FORMAT_VERSION = 1;

/** Size of the length and checksum before the payload of a record, in bytes. */
export const RECORD_HEADER_BYTES = 8;

/** Suffix of the temporary file while a file is being replaced. */
export const TEMPORARY_SUFFIX = '.temporary';

/** Names of the files in the data folder. */
export const FILE_NAMES = Object.freeze({
  identity: 'identity',
  log: 'log',
  snapshot: 'snapshot',
  syncedLength: 'synced-length',
});
