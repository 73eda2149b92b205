/** Intervals and limits of quotas that hold over the fleet. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Interval at which a daemon reports, and at which aggregators exchange sums. */
export const QUOTA_INTERVAL_MILLISECONDS: Milliseconds = 250;

/** Another aggregator that was not heard for longer is out of contact. */
export const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 700;

/** A daemon keeps to its equal part when no answer came for longer. */
export const ANSWER_LEASE_MILLISECONDS: Milliseconds = 800;

/** An aggregator takes a daemon out of its sums after a longer silence. */
export const CONTACT_TIMEOUT_MILLISECONDS: Milliseconds = 1_200;

/** A daemon reports to another aggregator when one has not answered for longer. */
export const AGGREGATOR_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Time for which a daemon passes over an aggregator that did not answer. */
export const AGGREGATOR_AVOIDANCE_MILLISECONDS: Milliseconds = 5_000;

/** Time constant of the estimates of demand. */
export const DEMAND_TIME_CONSTANT_MILLISECONDS: Milliseconds = 500;

/** Time over which unused units are handed out, or overspent ones withheld. */
export const CORRECTION_MILLISECONDS: Milliseconds = 500;

/** Daemons are limited once the demand comes this close to what is allowed. */
export const LIMITING_RATIO = 1.25;

/** Daemons are limited only while the bucket holds less than this part. */
export const LIMITING_FILL = 0.5;

/** Limits end once the bucket holds this part: shares did not meet the demand. */
export const LIFTING_FILL = 0.9;

/** Limits end once this multiple of the demand is allowed. */
export const LIFTING_RATIO = 1.5;

/**
 * Demand that each daemon is assumed to have beside what it counted: few requests
 * say little about where the next ones arrive.
 */
export const ASSUMED_REQUESTS_PER_SECOND = 1;

/** Time whose share a limited daemon may accumulate. */
export const SHARE_DEPTH_MILLISECONDS: Milliseconds = 500;

/** Longest delay that a refused caller is asked to wait. */
export const MAXIMUM_RETURN_DELAY_MILLISECONDS: Milliseconds = 2_000;

/** Time for which a sum is sent again after it last changed. */
export const SUMS_REPETITION_MILLISECONDS: Milliseconds = 1_000;

/** Time from the start of an aggregator until it decides on limits. */
export const SETTLING_MILLISECONDS: Milliseconds = 400;

/** Time whose quota, admitted by one daemon or one part of the fleet, is told at once. */
export const SURGE_MILLISECONDS: Milliseconds = 100;

/** Limits on what one message may hold. */
export const MAXIMUM_ENTRIES = 20_000;

/** Sequence of an answer to no report. */
export const UNSOLICITED_SEQUENCE = 0;
