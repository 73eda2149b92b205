/** Hybrid logical clocks, whose timestamps never go backwards. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_MINUTE} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of a hybrid logical timestamp. */
export const stampSchema = z.object({
  counter: z.int().min(0),
  wallMilliseconds: z.int().min(0),
});

/**
 * Hybrid logical timestamp of an event: wall-clock time, and a counter that
 * orders events with the same wall-clock time.
 */
export type Stamp = Readonly<z.infer<typeof stampSchema>>;

/** Stamp that precedes every event. */
export const FIRST_STAMP: Stamp = Object.freeze({
  counter: 0,
  wallMilliseconds: 0,
});

/**
 * Maximum time by which a received stamp may be ahead of the local wall clock.
 * A stamp further ahead comes from a wrong clock and is ignored.
 */
export const MAXIMUM_DRIFT_MILLISECONDS = MILLISECONDS_PER_MINUTE;

/**
 * Compares two stamps. The result is negative if the left stamp is earlier.
 *
 * @example
 * [...stamps].sort(compareStamps);
 */
export function compareStamps(left: Stamp, right: Stamp): number {
  const difference = left.wallMilliseconds - right.wallMilliseconds;
  return difference === 0 ? left.counter - right.counter : difference;
}

/**
 * Returns the stamp of a local event. It is later than the last stamp even if
 * the wall clock went backwards.
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
 * Returns the stamp of a received message. It is later than the last stamp and,
 * unless the sender's stamp is too far ahead, later than the sender's stamp.
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
 * Formats a stamp as an ISO 8601 time followed by its counter.
 *
 * @example
 * formatStamp({counter: 2, wallMilliseconds: 0}); // '1970-01-01T00:00:00.000Z+2'
 */
export function formatStamp(stamp: Stamp): string {
  const time = new Date(stamp.wallMilliseconds).toISOString();
  return `${time}+${String(stamp.counter)}`;
}
