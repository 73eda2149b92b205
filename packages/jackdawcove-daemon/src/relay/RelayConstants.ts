/** Constants of the relay's sockets and timers. */

/** Largest head of an answer, in bytes: twice what callers may send. */
export const MAXIMUM_ANSWER_HEAD_BYTES = 32_768;

/** Largest answer that is held whole, in bytes: a fifth of a small VM's memory. */
export const MAXIMUM_ANSWER_BODY_BYTES = 50_331_648;

/** Time in which a local connection opens, in milliseconds; callers allow as much. */
export const BACKEND_CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Idle time of a backend server's connection that states none, in milliseconds. */
export const DEFAULT_MAXIMUM_IDLE_MILLISECONDS = 4_000;

/** Share of a stated idle time after which a connection is not used any more. */
export const USABLE_IDLE_TIME_SHARE = 0.8;

/**
 * Idle time after which a request that must not run twice gets a connection of its
 * own, in milliseconds: a connection dropped meanwhile would leave it unknown.
 */
export const NON_IDEMPOTENT_MAXIMUM_IDLE_MILLISECONDS = 1_000;

/** Time for which a backend server that refuses connections is not asked. */
export const CONNECTION_REFUSED_BACKOFF_MILLISECONDS = 250;

/** Body bytes in one packet of an answer. */
export const ANSWER_PART_BYTES = 65_536;

/** Time for which a finished answer is held for a caller whose session was lost. */
export const CACHED_ANSWER_RETENTION_MILLISECONDS = 3_000;

/** Bytes of finished answers held at most. */
export const MAXIMUM_CACHED_ANSWER_BYTES = 8_388_608;

/** Time for which the number of an attempt is remembered; longer than any resend. */
export const ATTEMPT_RETENTION_MILLISECONDS = 15_000;

/** Time that a run may go on without its caller's session, in milliseconds. */
export const SESSION_LOSS_GRACE_MILLISECONDS = 2_500;

/** Time past its deadline at which a run is broken off, in milliseconds. */
export const DEADLINE_GRACE_MILLISECONDS = 250;

/** Time in which a lost idempotent attempt is looked for, in milliseconds. */
export const LOST_IDEMPOTENT_TIMEOUT_MILLISECONDS = 400;

/** Daemons asked for one request after refusals that cost their instances nothing. */
export const MAXIMUM_ROOT_REDIRECTS = 3;

/** Pause before a call of a running request asks again, in milliseconds. */
export const DISPATCH_RETRY_MILLISECONDS = 30;

/** Time for which an instance out of reach is avoided, in milliseconds. */
export const BLOCK_MILLISECONDS = 400;

/** Share of the latency objective that a request may wait for a slot. */
export const MAXIMUM_ROOT_QUEUEING_SHARE = 0.4;

/** Share of the remaining time that a call of a running request may wait. */
export const MAXIMUM_CALL_QUEUEING_SHARE = 0.85;

/** Shortest and longest time after which a refused caller may come back. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 150;
export const MAXIMUM_RETRY_AFTER_MILLISECONDS = 900;

/** Share of its remaining time after which a caller will still come back. */
export const MAXIMUM_RETRY_AFTER_SHARE = 0.3;

/** Interval of the relay's ticks while requests are open, in milliseconds. */
export const BUSY_TICK_MILLISECONDS = 40;

/** Bytes read from a backend server's connection at once: more than most answers. */
export const READ_BUFFER_BYTES = 65_536;

/**
 * Delay up to which a daemon counts as punctual, in milliseconds: well under the
 * half second in which a request must not outlive its caller.
 */
export const MAXIMUM_PUNCTUAL_DELAY_MILLISECONDS = 25;

/** Time in which a withdrawn offer is confirmed: a round trip between zones and more. */
export const CANCEL_CONFIRMATION_MILLISECONDS = 100;

/**
 * Silence after which a daemon gets no new requests while there are others, in
 * milliseconds: above most runs, well under the time-out of a session.
 */
export const SILENCE_TIMEOUT_MILLISECONDS = 350;

/** First HTTP status by which an instance says that it failed. */
export const FIRST_FAILURE_STATUS = 500;
