/** Constants of the selection of instances and of the circuit breakers. */

/** Number of instances of one service that a daemon sends to. */
export const SUBSET_SIZE = 20;

/** Consecutive failures after which an instance is ejected. */
export const CONSECUTIVE_FAILURES_TO_EJECT = 3;

/** Duration of the first ejection; it doubles with each further one. */
export const FIRST_EJECTION_MILLISECONDS = 1_000;

/** Maximum duration of an ejection. */
export const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** Share of the instances that stays available, whatever their outcomes. */
export const NEVER_EJECTED_SHARE = 0.5;

/** Time for which a reported threshold is used without decay. */
export const THRESHOLD_FRESH_MILLISECONDS = 100;

/** Decay per second of a threshold without a new report. */
export const THRESHOLD_DECAY_PER_SECOND = 16;

/** Half-life of a reported load. */
export const REPORT_HALF_LIFE_MILLISECONDS = 100;

/** Queueing delay that counts as much as full utilization of the slots. */
export const DELAY_OF_FULL_SLOTS_MILLISECONDS = 100;

/** Pressure difference to a farther tier from which work spills over to it. */
export const SPILL_PRESSURE = 0.5;

/** Weight of a higher observation in the threshold of a route. */
export const ROUTE_THRESHOLD_RISE_WEIGHT = 0.2;

/** Weight of a lower observation in the threshold of a route. */
export const ROUTE_THRESHOLD_FALL_WEIGHT = 0.5;

/** Window in which the outcomes of a route are counted; a decision uses two windows. */
export const BREAKER_WINDOW_MILLISECONDS = 1_000;

/** Minimum number of outcomes for a decision; the probes of two windows provide it. */
export const BREAKER_MINIMUM_SAMPLES = 4;

/** Share of successes below which a circuit breaker refuses requests. */
export const BREAKER_MINIMUM_SUCCESS_SHARE = 0.2;

/** Requests from this cohort on are let through as probes: a quarter of them. */
export const BREAKER_FIRST_PROBE_COHORT = 0.75;
