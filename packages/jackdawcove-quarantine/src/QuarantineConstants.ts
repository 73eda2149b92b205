/** Constants of the quarantine. */

/** Crashes on different runs of instances that quarantine a fingerprint. */
export const CRASHES_TO_QUARANTINE = 2;

/** Time after which a crash is forgotten. */
export const CRASH_RETENTION_MILLISECONDS = 900_000;

/** Received entries with less time left are not taken up again. */
export const MINIMUM_REMAINING_MILLISECONDS = 1_000;

/** Fingerprints that are kept. */
export const MAXIMUM_RECORDS = 10_000;

/** Crashes kept of one fingerprint. */
export const MAXIMUM_CRASHES_PER_RECORD = 16;

/** Records in one message. */
export const MAXIMUM_RECORDS_PER_MESSAGE = 500;
