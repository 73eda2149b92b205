/**
 * Deadlines of calls.
 *
 * Messages carry the remaining time, and each process stores the deadline as a
 * time of its own monotonic clock. Wall clocks of different machines are
 * therefore never compared.
 */

import type {Milliseconds} from 'jackdawcove-shared';

/**
 * Returns the time at which a call expires: now plus the shortest of the
 * limits; limits that are undefined are ignored.
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
 * Returns whether a deadline has passed.
 *
 * @example
 * isExpired(1_250, 1_250); // true
 */
export function isExpired(deadline: Milliseconds, now: Milliseconds): boolean {
  return now >= deadline;
}
