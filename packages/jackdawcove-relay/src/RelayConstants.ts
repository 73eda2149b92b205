/** Constants of the relay's decisions and codecs. */

/** End of a line in the head of an HTTP/1.1 message. */
export const LINE_END = '\r\n';

/** Shed ranks of one importance; a rank is importance and cohort in one number. */
export const RANKS_PER_IMPORTANCE = 1_000;

/** First rank that no request has: a threshold there refuses nothing. */
export const RANK_COUNT = 4_000;

/**
 * Wait for a slot above which an instance asks for fewer requests, as a share of its
 * usual run: a request of ten calls then takes less than twice its time. Shorter
 * waits come from chance alone when nine of ten slots are in use.
 */
export const TARGET_WAIT_SHARE = 0.8;

/** Bounds of that wait, in milliseconds: ticks are no finer, callers no more patient. */
export const MINIMUM_TARGET_WAIT_MILLISECONDS = 10;
export const MAXIMUM_TARGET_WAIT_MILLISECONDS = 40;

/** Time over which waits are judged, in milliseconds: several runs of short work. */
export const PRESSURE_WINDOW_MILLISECONDS = 100;

/** Ranks by which a threshold falls in one window at the target wait. */
export const THRESHOLD_FALL_RANKS = 20;

/** Ranks by which a threshold falls in one window at most: 8% of an importance. */
export const MAXIMUM_THRESHOLD_FALL_RANKS = 80;

/** Ranks by which a threshold rises in one calm window. */
export const THRESHOLD_RISE_RANKS = 15;

/** Lowest threshold: some of the most important requests always show the way back. */
export const MINIMUM_THRESHOLD = 200;

/** Share of the announced slots in use: many servers slow down when nearly full. */
export const USABLE_SLOT_SHARE = 0.95;

/** Slots up to which all are used: one of them would be too large a share to spare. */
export const MAXIMUM_FULLY_USED_SLOTS = 8;
