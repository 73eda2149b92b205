/** Constants of the data plane. */

/** Header with the number of a call's result code. */
export const RESULT_HEADER = 'jackdaw-result';

/** Header that states whether a request was executed: yes, no or unknown. */
export const EXECUTED_HEADER = 'jackdaw-executed';

/** Header that a backend server copies into the calls that it makes. */
export const CONTEXT_HEADER = 'jackdaw-context';

/** Header with the time left until the deadline, for the backend server. */
export const REMAINING_HEADER = 'jackdaw-remaining-milliseconds';

/** Header with which a caller requests a timeout. */
export const TIMEOUT_HEADER = 'jackdaw-timeout-milliseconds';

/** Header with the idempotency key of a non-idempotent request. */
export const KEY_HEADER = 'idempotency-key';

/**
 * Largest request body that is buffered, for retries and fingerprints, in
 * bytes.
 */
export const REPLAY_BODY_BYTES = 65_536;

/**
 * Largest answer body that is held for resends of an idempotency key, in bytes.
 */
export const HELD_ANSWER_BODY_BYTES = 16_384;

/** Timeout of a probe of the backend server's address. */
export const CRASH_PROBE_TIMEOUT_MILLISECONDS = 250;

/** Timeout for connecting to the backend server, which runs on the same VM. */
export const BACKEND_CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Largest announcement, in bytes. */
export const ANNOUNCEMENT_BYTES = 4_096;

/** Interval at which the event-loop delay is measured. */
export const GUARD_INTERVAL_MILLISECONDS = 100;

/**
 * Consecutive event-loop delays over the limit after which calls are refused.
 */
export const GUARD_SAMPLES = 3;

/** Time after which a caller that was refused by the guard may retry. */
export const GUARD_RETRY_AFTER_MILLISECONDS = 500;

/** Idle time after which a connection of a caller is closed. */
export const CALLER_KEEPALIVE_MILLISECONDS = 30_000;

/**
 * Longest interval between two checks for callers that exceed their timeout.
 */
export const MAXIMUM_CHECKING_INTERVAL_MILLISECONDS = 1_000;

/** Interval of the call path's ticks while no call is open. */
export const IDLE_TICK_INTERVAL_MILLISECONDS = 100;
