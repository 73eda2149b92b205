/** Time limits, intervals and sizes of the ledger. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Maximum age of a key that is accepted. */
export const KEY_RETENTION_MS: Milliseconds = 900_000;

/**
 * Maximum difference that the ledger tolerates between the wall clocks of two
 * daemons.
 */
export const TOLERATED_CLOCK_SKEW_MS: Milliseconds = 1_000;

/**
 * Maximum time by which the mint time of a key may be ahead of the clock of a
 * ledger member.
 */
export const FUTURE_TOLERANCE_MS: Milliseconds = 2_000;

/**
 * Members refuse the keys that were minted up to this time after the start of
 * an epoch, because the lost records of the earlier epoch may include them.
 */
export const EPOCH_GUARD_MS: Milliseconds =
  FUTURE_TOLERANCE_MS + TOLERATED_CLOCK_SKEW_MS;

/** Age at which a record is deleted: by then no member accepts its key. */
export const RECORD_RETENTION_MS: Milliseconds =
  KEY_RETENTION_MS + 2 * TOLERATED_CLOCK_SKEW_MS;

/** Records whose keys were minted in the same minute are deleted together. */
export const RECORD_BUCKET_MS: Milliseconds = 60_000;

/** Number of members of a ledger group in a zone that has enough daemons. */
export const LEDGER_GROUP_SIZE = 3;

/**
 * Number of slices that the key space of an availability zone is divided into.
 */
export const SLICES_PER_ZONE = 32;

/** Interval at which `LedgerClient.tick` and `LedgerMember.tick` are called. */
export const LEDGER_TICK_INTERVAL_MS: Milliseconds = 50;

/** Interval at which an unanswered claim, read or inquiry is sent again. */
export const RESEND_INTERVAL_MS: Milliseconds = 200;

/** Time after which a claim that has no majority is refused. */
export const CLAIM_TIMEOUT_MS: Milliseconds = 2_000;

/**
 * Time without an answer from the owner of a claim after which its outcome
 * counts as unknown.
 */
export const OWNER_TIMEOUT_MS: Milliseconds = 2_000;

/** Maximum size of one answer that a daemon keeps for resends. */
export const MAXIMUM_HELD_ANSWER_BYTES = 16_384;

/** Maximum size of all answers that a daemon keeps for resends. */
export const MAXIMUM_HELD_BYTES = 16_777_216;

/** Maximum number of records in one answer to a read. */
export const RECORDS_PER_READ = 500;

/** Maximum number of completions in one message. */
export const MAXIMUM_COMPLETIONS_PER_MESSAGE = 200;
