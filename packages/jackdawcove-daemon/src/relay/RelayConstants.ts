/** Limits, timeouts and intervals of the relay. */

/** Largest head of an answer: twice the limit for the heads of requests. */
export const MAXIMUM_ANSWER_HEAD_BYTES = 32_768;

/** Largest body of an answer, buffered whole: a fifth of a small VM's memory. */
export const MAXIMUM_ANSWER_BODY_BYTES = 50_331_648;

/**
 * Maximum total size of the answers that are being received: together they take no more
 * memory than one of the largest.
 */
export const MAXIMUM_RECEIVING_ANSWER_BYTES = MAXIMUM_ANSWER_BODY_BYTES;

/** Size from which an answer that is being received counts as a large one. */
export const LARGE_ANSWER_BYTES = 1_048_576;

/** Informational answers and answers to other requests that precede an answer. */
export const MAXIMUM_SKIPPED_ANSWERS = 16;

/** Refused or failed requests that a connection remembers; then it is not reused. */
export const MAXIMUM_FAILED_IDENTIFIERS = 64;

/** Lowest HTTP status that refuses a request or reports its failure. */
export const FIRST_ERROR_STATUS = 400;

/** Time in which a local connection must open; callers allow the same time. */
export const BACKEND_CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Maximum idle time of a connection whose backend server states none. */
export const DEFAULT_MAXIMUM_IDLE_MILLISECONDS = 4_000;

/** Share of the stated keep-alive time after which a connection is not reused. */
export const USABLE_IDLE_TIME_SHARE = 0.8;

/**
 * Maximum idle time of a connection that is reused for a non-idempotent request: if
 * the backend server closed it meanwhile, the outcome of the request would be unknown.
 */
export const NON_IDEMPOTENT_MAXIMUM_IDLE_MILLISECONDS = 1_000;

/** Time for which offers are refused after a failed connection or a crash. */
export const BACKEND_UNAVAILABLE_MILLISECONDS = 250;

/** Maximum body bytes in one packet of an answer. */
export const ANSWER_PART_BYTES = 65_536;

/** Time for which a sent answer is cached, in case the caller's session was lost. */
export const CACHED_ANSWER_RETENTION_MILLISECONDS = 3_000;

/** Maximum total size of the cached answers. */
export const MAXIMUM_CACHED_ANSWER_BYTES = 8_388_608;

/** Memory of a cached answer besides its body. */
export const CACHED_ANSWER_OVERHEAD_BYTES = 1_024;

/** Time for which an ended attempt is remembered; longer than any resend takes. */
export const ATTEMPT_RETENTION_MILLISECONDS = 15_000;

/** Time after the loss of the caller's session before a run is cancelled. */
export const SESSION_LOSS_GRACE_MILLISECONDS = 2_500;

/** Time after its deadline before a run is aborted. */
export const DEADLINE_GRACE_MILLISECONDS = 250;

/** Time for which the offer of a lost idempotent attempt is sent again. */
export const LOST_IDEMPOTENT_TIMEOUT_MILLISECONDS = 400;

/** Maximum redirects of a root call: refusals by daemons, before any run. */
export const MAXIMUM_ROOT_REDIRECTS = 3;

/** Time for which calls of a service are not repeated after an instance denied it. */
export const DENIAL_MILLISECONDS = 200;

/** Pause before a call without an available instance is dispatched again. */
export const DISPATCH_RETRY_MILLISECONDS = 30;

/** Time for which an unreachable instance is avoided. */
export const BLOCK_MILLISECONDS = 400;

/** Share of the latency objective for which a root call may wait for a slot. */
export const MAXIMUM_ROOT_QUEUEING_SHARE = 0.4;

/** Share of the remaining time for which any call may wait for a slot. */
export const MAXIMUM_CALL_QUEUEING_SHARE = 0.85;

/** Bounds of the time after which a refused caller is asked to retry. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 150;
export const MAXIMUM_RETRY_AFTER_MILLISECONDS = 900;

/** Longest retry delay as a share of the remaining time of the caller. */
export const MAXIMUM_RETRY_AFTER_SHARE = 0.3;

/** Interval of the relay's ticks while requests are open. */
export const BUSY_TICK_MILLISECONDS = 40;

/** Open requests of one connection of a caller; it is not read on until some are answered. */
export const MAXIMUM_PIPELINED_REQUESTS = 8;

/** Bytes of answers that a caller has not read, above which its connection is not read on. */
export const MAXIMUM_UNREAD_ANSWER_BYTES = 262_144;

/** Bytes that a connection must hold to be closed when memory is short. */
export const MINIMUM_RELEASED_BYTES = 16_384;

/** Time without progress after which a connection is the first to be closed. */
export const STALLED_MILLISECONDS = 1_000;

/** Time for which a connection stays open after its last answer has been read. */
export const LINGER_MILLISECONDS = 3_000;

/** Bytes read from a backend server in one read: more than most answers have. */
export const READ_BUFFER_BYTES = 65_536;

/**
 * Delay of the event loop up to which a daemon counts as punctual: well under the half
 * second within which a request must end after its caller has disconnected.
 */
export const MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS = 25;

/** Time to confirm a cancelled offer: more than a round trip between zones. */
export const CANCEL_CONFIRMATION_MILLISECONDS = 100;

/**
 * Time without a packet after which a daemon gets no new requests while other daemons
 * are available: longer than most runs, well under the timeout of a session.
 */
export const SILENCE_TIMEOUT_MILLISECONDS = 350;

/**
 * One of so many ranks reports what its requests use: enough to learn the costs of routes,
 * without the processor time of a report with each answer.
 */
export const RANKS_PER_COST_REPORT = 4;

/** Lowest HTTP status that counts as a failure of the instance. */
export const FIRST_FAILURE_STATUS = 500;
