/** Requests that have to be told at once. */

import type {Quota} from './QuotaTypes.js';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {SURGE_MILLISECONDS} from './QuotaConstants.js';

/**
 * Whether so many untold units are more than the quota of `SURGE_MILLISECONDS`.
 *
 * @example
 * isSurge({burst: 10, organisation: 'a', requestsPerSecond: 20}, 4); // true
 */
export function isSurge({requestsPerSecond}: Quota, units: number): boolean {
  const quota =
    (requestsPerSecond * SURGE_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return units > 1 + quota;
}
