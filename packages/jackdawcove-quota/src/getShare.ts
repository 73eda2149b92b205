/** Shares of an allowed rate. */

import {ASSUMED_REQUESTS_PER_SECOND} from './QuotaConstants.js';

/**
 * Returns the part of an allowed rate that belongs to one of the daemons, by the requests
 * a second that it and all daemons are asked for.
 *
 * @example
 * getShare(3, 11, 4); // 0.27
 */
export function getShare(
  asked: number,
  demand: number,
  daemons: number,
): number {
  return (
    (asked + ASSUMED_REQUESTS_PER_SECOND) /
    (demand + ASSUMED_REQUESTS_PER_SECOND * daemons)
  );
}
