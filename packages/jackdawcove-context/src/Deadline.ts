/**
 * Deadlines of calls.
 *
 * A deadline travels as the remaining time and is kept as a point on the
 * monotonic clock of each process: no wall clock is compared with another.
 */

import type {Milliseconds} from 'jackdawcove-shared';

/**
 * Returns the point in time at which a call expires: the earliest of the limits.
 *
 * @example
 * createDeadline(1_000, [250, undefined]); // 1250
 */
export function createDeadline(
  now: Milliseconds,
  limits: readonly (Milliseconds | undefined)[],
): Milliseconds {
  const known = limits.filter((limit) => limit !== undefined);
  return now + Math.max(0, Math.min(...known));
}

/**
 * Returns the remaining time until a deadline, never negative.
 *
 * @example
 * getRemainingMilliseconds(1_250, 1_100); // 150
 */
export function getRemainingMilliseconds(
  deadline: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  return Math.max(0, deadline - now);
}

/**
 * Tells whether a deadline has passed.
 *
 * @example
 * isExpired(1_250, 1_250); // true
 */
export function isExpired(deadline: Milliseconds, now: Milliseconds): boolean {
  return now >= deadline;
}
