/** Constants of admission. */

/** Queue entries per slot. */
export const QUEUE_ENTRIES_PER_SLOT = 1;

/** Minimum capacity of the queue. */
export const MINIMUM_QUEUE_ENTRIES = 4;

/** Longest time in the queue, after which a request is refused. */
export const MAXIMUM_QUEUEING_MILLISECONDS = 100;

/** Maximum number of crash suspects that wait to run alone. */
export const MAXIMUM_EXCLUSIVE_ENTRIES = 8;

/** Length of the windows after which the threshold is adjusted. */
export const WINDOW_MILLISECONDS = 20;

/** Weight of earlier windows in the moving averages of the counts. */
export const PREVIOUS_COUNT_WEIGHT = 0.85;

/** Cohort buckets per importance in the histogram of arrivals. */
export const BUCKETS_PER_IMPORTANCE = 16;

/** Arrivals admitted per completion under pressure. */
export const ADMITTED_PER_COMPLETION = 1.25;

/** Minimum rise of the threshold in a window with pressure. */
export const MINIMUM_THRESHOLD_RISE = 0.01;

/** Fall of the threshold in the first window without pressure. */
export const FIRST_THRESHOLD_FALL = 0.04;

/** Maximum fall of the threshold in one window. */
export const MAXIMUM_THRESHOLD_FALL = 0.4;

/** Weight of the newest wait in the reported queueing delay. */
export const QUEUEING_DELAY_WEIGHT = 0.1;

/** Minimum Retry-After of a refusal. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

/** Additional Retry-After per importance rank that a request is below the threshold. */
export const RETRY_AFTER_PER_RANK_MILLISECONDS = 400;

/** Share of the slots that a cold instance starts with. */
export const COLD_START_SHARE = 0.125;

/** Minimum of the limit, as a share of the slots. */
export const MINIMUM_LIMIT_SHARE = 0.1;

/** Share of the distance to the matching threshold that the rise of one window covers. */
export const THRESHOLD_GAIN = 0.3;

/** Share of the queue that stays occupied throughout a window with pressure. */
export const STANDING_QUEUE_SHARE = 0.25;
