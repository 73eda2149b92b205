/** Constants of the choice of an instance. */

/** Instances of one service that a daemon sends to. */
export const SUBSET_SIZE = 20;

/** Failures in a row after which an instance is ejected. */
export const CONSECUTIVE_FAILURES_TO_EJECT = 3;

/** Length of the first ejection; it doubles with each further one. */
export const FIRST_EJECTION_MILLISECONDS = 1_000;

/** Longest ejection. */
export const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** Share of the instances that is never ejected. */
export const NEVER_EJECTED_SHARE = 0.5;

/** Time for which a reported threshold is taken as it is. */
export const THRESHOLD_FRESH_MILLISECONDS = 100;

/** Fall per second of a threshold that no new report confirms. */
export const THRESHOLD_DECAY_PER_SECOND = 16;

/** Half-life of a reported load. */
export const REPORT_HALF_LIFE_MILLISECONDS = 100;

/** Queueing delay that weighs as much as one full set of slots. */
export const DELAY_OF_FULL_SLOTS_MILLISECONDS = 100;

/** Pressure by which a nearer tier must exceed a farther one to spill. */
export const SPILL_PRESSURE = 0.5;

/** Weight of a higher observation in the threshold of a route. */
export const ROUTE_THRESHOLD_RISE_WEIGHT = 0.2;

/** Weight of a lower observation in the threshold of a route. */
export const ROUTE_THRESHOLD_FALL_WEIGHT = 0.5;

/** Window in which the outcomes of a route are counted; two of them are looked at. */
export const BREAKER_WINDOW_MILLISECONDS = 1_000;

/** Outcomes below which nothing is concluded: the trials of two windows give as many. */
export const BREAKER_MINIMUM_SAMPLES = 4;

/** Share of whole answers below which a route is futile. */
export const BREAKER_MINIMUM_SUCCESS_SHARE = 0.2;

/** Requests from this cohort on are tried all the same: a quarter of them. */
export const BREAKER_FIRST_PROBE_COHORT = 0.75;
