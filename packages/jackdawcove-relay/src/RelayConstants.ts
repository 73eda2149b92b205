/** Constants of the relay's decisions and its HTTP codec. */

/** Line terminator in the head of an HTTP/1.1 message. */
export const LINE_END = '\r\n';

/** Shed ranks per importance; a rank combines importance and cohort in one number. */
export const RANKS_PER_IMPORTANCE = 1_000;

/** Number of shed ranks; a threshold of this value refuses nothing. */
export const RANK_COUNT = 4_000;

/**
 * The lowest ranks of an importance, 4% of it, are never refused at their root: as
 * probes they show a recovery and the demand that is refused.
 */
export const PROBE_RANKS = 40;

/**
 * Mean wait for a slot above which an instance lowers its threshold, as a share of
 * its mean run time: a request of ten calls then takes less than twice its time.
 * Shorter waits occur by chance alone when nine of ten slots are in use.
 */
export const TARGET_WAIT_SHARE = 0.8;

/** Bounds of the target wait: the tick interval, and the wait that callers tolerate. */
export const MINIMUM_TARGET_WAIT_MILLISECONDS = 10;
export const MAXIMUM_TARGET_WAIT_MILLISECONDS = 40;

/** Window over which waits are averaged; it spans several runs of short requests. */
export const PRESSURE_WINDOW_MILLISECONDS = 100;

/** Ranks by which a threshold falls per window, times the mean wait over the target. */
export const THRESHOLD_FALL_RANKS = 20;

/** Largest fall of a threshold in one window, in ranks: 8% of an importance. */
export const MAXIMUM_THRESHOLD_FALL_RANKS = 80;

/** Ranks by which a threshold rises in a window below the target wait. */
export const THRESHOLD_RISE_RANKS = 15;

/**
 * Lowest threshold: some of the most important requests are always admitted, so that
 * a recovery is noticed.
 */
export const MINIMUM_THRESHOLD = 200;

/** Share of the announced slots that is used: many servers slow down when nearly full. */
export const USABLE_SLOT_SHARE = 0.95;

/** Up to this many slots all are used: leaving one free would cost too large a share. */
export const MAXIMUM_FULLY_USED_SLOTS = 8;
