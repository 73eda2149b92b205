/** Constants of the quarantine. */

/** Crashes, on different incarnations of instances, that quarantine a fingerprint. */
export const CRASHES_TO_QUARANTINE = 2;

/** Time after which a crash expires. */
export const CRASH_RETENTION_MILLISECONDS = 900_000;

/** Received crashes with less remaining time are ignored. */
export const MINIMUM_REMAINING_MILLISECONDS = 1_000;

/** Maximum number of fingerprints that are kept. */
export const MAXIMUM_RECORDS = 10_000;

/** Maximum number of crashes that are kept per fingerprint. */
export const MAXIMUM_CRASHES_PER_RECORD = 16;

/** Maximum number of records per message. */
export const MAXIMUM_RECORDS_PER_MESSAGE = 500;
