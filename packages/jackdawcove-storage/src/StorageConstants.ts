/** Constants of the data folder. */

/** Version of the format of the data folder. */
export const FORMAT_VERSION = 1;

/** Bytes before the payload of a record: length and checksum. */
export const RECORD_HEADER_BYTES = 8;

/** Suffix of a file that is being written. */
export const TEMPORARY_SUFFIX = '.temporary';

/** Names of the files in the data folder. */
export const FILE_NAMES = Object.freeze({
  identity: 'identity',
  log: 'log',
  snapshot: 'snapshot',
  syncedLength: 'synced-length',
});
