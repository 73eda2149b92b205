/** Hybrid logical clocks: wall-clock labels that never step back. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_MINUTE} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of a stamp. */
export const stampSchema = z.object({
  counter: z.int().min(0),
  wallMilliseconds: z.int().min(0),
});

/** Time of an event: wall-clock time, and a counter for events of one time. */
export type Stamp = Readonly<z.infer<typeof stampSchema>>;

/** Stamp before every event. */
export const FIRST_STAMP: Stamp = Object.freeze({
  counter: 0,
  wallMilliseconds: 0,
});

/**
 * How far a received stamp may lie ahead of the own wall clock. A stamp
 * beyond it comes from a wrong clock and is not taken over.
 */
export const MAXIMUM_DRIFT_MILLISECONDS = MILLISECONDS_PER_MINUTE;

/**
 * Compares two stamps: negative when the left one is earlier.
 *
 * @example
 * [...stamps].sort(compareStamps);
 */
export function compareStamps(left: Stamp, right: Stamp): number {
  const difference = left.wallMilliseconds - right.wallMilliseconds;
  return difference === 0 ? left.counter - right.counter : difference;
}

/**
 * Returns the stamp of a local event: later than the last one, even when the
 * wall clock stepped back.
 *
 * @example
 * advanceStamp({counter: 0, wallMilliseconds: 9}, 5); // {counter: 1, wallMilliseconds: 9}
 */
export function advanceStamp(last: Stamp, wallNow: Milliseconds): Stamp {
  const wallMilliseconds = Math.max(0, Math.floor(wallNow));
  return wallMilliseconds > last.wallMilliseconds
    ? {counter: 0, wallMilliseconds}
    : {
        counter: last.counter + 1,
        wallMilliseconds: last.wallMilliseconds,
      };
}

/**
 * Returns the stamp after a message was received: later than the last one and
 * than the sender's, unless the sender's lies too far ahead.
 *
 * @example
 * receiveStamp(FIRST_STAMP, {counter: 4, wallMilliseconds: 9}, 5);
 * // {counter: 5, wallMilliseconds: 9}
 */
export function receiveStamp(
  last: Stamp,
  received: Stamp,
  wallNow: Milliseconds,
): Stamp {
  const isTooFarAhead =
    received.wallMilliseconds > wallNow + MAXIMUM_DRIFT_MILLISECONDS;
  const isLater = compareStamps(received, last) > 0;
  return advanceStamp(isLater && !isTooFarAhead ? received : last, wallNow);
}

/**
 * Formats a stamp as an ISO 8601 time with its counter.
 *
 * @example
 * formatStamp({counter: 2, wallMilliseconds: 0}); // '1970-01-01T00:00:00.000Z+2'
 */
export function formatStamp(stamp: Stamp): string {
  const time = new Date(stamp.wallMilliseconds).toISOString();
  return `${time}+${String(stamp.counter)}`;
}
