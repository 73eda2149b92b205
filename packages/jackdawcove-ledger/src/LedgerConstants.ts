/** Times and sizes of the ledger. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Age up to which a key is accepted. */
export const KEY_RETENTION_MS: Milliseconds = 900_000;

/** Greatest difference between the wall clocks of two daemons. */
export const TOLERATED_CLOCK_SKEW_MS: Milliseconds = 1_000;

/** How far ahead of the clock of a ledger member a key may be minted. */
export const FUTURE_TOLERANCE_MS: Milliseconds = 2_000;

/** Keys minted up to this time after the start of an epoch are refused. */
export const EPOCH_GUARD_MS: Milliseconds =
  FUTURE_TOLERANCE_MS + TOLERATED_CLOCK_SKEW_MS;

/** Age at which a record is forgotten: by then no member accepts its key. */
export const RECORD_RETENTION_MS: Milliseconds =
  KEY_RETENTION_MS + 2 * TOLERATED_CLOCK_SKEW_MS;

/** Records of one minute of minting are forgotten together. */
export const RECORD_BUCKET_MS: Milliseconds = 60_000;

/** Members of a ledger group where the zone has enough daemons. */
export const LEDGER_GROUP_SIZE = 3;

/** Slices of the key space of an availability zone. */
export const SLICES_PER_ZONE = 32;

/** Interval of `LedgerClient.tick` and `LedgerMember.tick`. */
export const LEDGER_TICK_INTERVAL_MS: Milliseconds = 50;

/** Interval between two sends of an unanswered claim, read or inquiry. */
export const RESEND_INTERVAL_MS: Milliseconds = 200;

/** Time after which a claim without a majority is given up. */
export const CLAIM_TIMEOUT_MS: Milliseconds = 2_000;

/** Time without a word from the owner of a claim after which it is unknown. */
export const OWNER_TIMEOUT_MS: Milliseconds = 2_000;

/** Greatest size of one held answer, and of all held answers of a daemon. */
export const MAXIMUM_HELD_ANSWER_BYTES = 16_384;
export const MAXIMUM_HELD_BYTES = 16_777_216;

/** Records in one answer to a read. */
export const RECORDS_PER_READ = 500;

/** Completions in one message. */
export const MAXIMUM_COMPLETIONS_PER_MESSAGE = 200;
