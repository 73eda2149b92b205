/** Constants of admission. */

/** Queue entries per slot. */
export const QUEUE_ENTRIES_PER_SLOT = 1;

/** Least number of queue entries. */
export const MINIMUM_QUEUE_ENTRIES = 4;

/** Longest time in the queue; then the request is refused. */
export const MAXIMUM_QUEUEING_MILLISECONDS = 100;

/** Crash suspects that wait to run alone. */
export const MAXIMUM_EXCLUSIVE_ENTRIES = 8;

/** Length of the windows in which the threshold is decided anew. */
export const WINDOW_MILLISECONDS = 20;

/** Share of the counts of earlier windows that a window keeps. */
export const PREVIOUS_COUNT_WEIGHT = 0.85;

/** Buckets of cohorts per importance in the histogram of arrivals. */
export const BUCKETS_PER_IMPORTANCE = 16;

/** Arrivals let in per completion while there is pressure. */
export const ADMITTED_PER_COMPLETION = 1.25;

/** Rise of the threshold in a window with pressure, at least. */
export const MINIMUM_THRESHOLD_RISE = 0.01;

/** Fall of the threshold in the first window without pressure. */
export const FIRST_THRESHOLD_FALL = 0.04;

/** Greatest fall of the threshold in one window. */
export const MAXIMUM_THRESHOLD_FALL = 0.4;

/** Weight of a new wait in the reported queueing delay. */
export const QUEUEING_DELAY_WEIGHT = 0.1;

/** Least Retry-After of a refusal. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

/** Retry-After per rank that a request lies below the threshold. */
export const RETRY_AFTER_PER_RANK_MILLISECONDS = 400;

/** Share of the slots that a cold instance starts with. */
export const COLD_START_SHARE = 0.125;

/** Share of the slots that the limit never falls below. */
export const MINIMUM_LIMIT_SHARE = 0.1;

/** Share of the way to the matching threshold that one window goes. */
export const THRESHOLD_GAIN = 0.3;

/** Share of the queue that has to stand for a window to be pressure. */
export const STANDING_QUEUE_SHARE = 0.25;
