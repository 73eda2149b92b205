/** Constants of the two sides of a call. */

/** Interval at which the wiring feeds a tick to each side. */
export const TICK_INTERVAL_MILLISECONDS = 10;

/** Least Retry-After of a refusal. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
