/** Constants of the data plane. */

/** Header that names the numbered result of a call. */
export const RESULT_HEADER = 'jackdaw-result';

/** Header that says whether a request was run: yes, no or unknown. */
export const EXECUTED_HEADER = 'jackdaw-executed';

/** Header that a backend server passes on with its own calls. */
export const CONTEXT_HEADER = 'jackdaw-context';

/** Header that tells a backend server how much time is left. */
export const REMAINING_HEADER = 'jackdaw-remaining-milliseconds';

/** Header with which a caller asks for a deadline. */
export const TIMEOUT_HEADER = 'jackdaw-timeout-milliseconds';

/** Header with the key of a non-idempotent request. */
export const KEY_HEADER = 'idempotency-key';

/** Largest body that is kept whole, to be sent again or hashed, in bytes. */
export const REPLAY_BODY_BYTES = 65_536;

/** Largest answer body that is held for resends of a key, in bytes. */
export const HELD_ANSWER_BODY_BYTES = 16_384;

/** Time until a probe of the backend server's address gives up. */
export const CRASH_PROBE_TIMEOUT_MILLISECONDS = 250;

/** Time until a connection to the backend server on the same VM gives up. */
export const BACKEND_CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Largest announcement, in bytes. */
export const ANNOUNCEMENT_BYTES = 4_096;

/** Interval at which the event-loop delay is read. */
export const GUARD_INTERVAL_MILLISECONDS = 100;

/** Delays of the event loop that must all be long before calls are refused. */
export const GUARD_SAMPLES = 3;

/** Time until a caller that was refused by the guard may come back. */
export const GUARD_RETRY_AFTER_MILLISECONDS = 500;

/** Idle time after which a connection of a caller is closed. */
export const CALLER_KEEPALIVE_MILLISECONDS = 30_000;

/** Longest interval between two looks for callers that are too slow. */
export const MAXIMUM_CHECKING_INTERVAL_MILLISECONDS = 1_000;

/** Interval of the call path's ticks while no call is open. */
export const IDLE_TICK_INTERVAL_MILLISECONDS = 100;
