/** Constants of the decisions about organisations and their keys. */

/**
 * Part of the time allowed for a revocation in which a confirmation no longer counts.
 * It covers pauses too short to be noticed and clocks that run at different rates.
 */
export const REVOCATION_MARGIN_MILLISECONDS = 500;

/** Age of a confirmation up to which an unknown key is refused for good. */
export const UNKNOWN_KEY_AGE_MILLISECONDS = 1_500;

/** Interval between the requests for a confirmation. */
export const CONFIRMATION_INTERVAL_MILLISECONDS = 1_000;

/** Age in intervals from which a daemon asks as often as if answers were missing. */
export const LATE_CONFIRMATION_INTERVALS = 1.5;

/** Time after which a request without an answer is sent again, to another voter. */
export const CONFIRMATION_RETRY_MILLISECONDS = 300;

/** Requests whose answers are awaited; an older answer says nothing new. */
export const MAXIMUM_PENDING_REQUESTS = 8;

/** Growth of wall clock minus steady clock that counts as a suspended process. */
export const SUSPENSION_TOLERANCE_MILLISECONDS = 300;
