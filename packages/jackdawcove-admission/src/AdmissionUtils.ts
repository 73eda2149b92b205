/** Helpers of admission control. */

import type {Importance, Milliseconds} from 'jackdawcove-shared';

import {getImportanceRank} from 'jackdawcove-shared';

import {
  MINIMUM_RETRY_AFTER_MILLISECONDS,
  RETRY_AFTER_PER_RANK_MILLISECONDS,
} from './AdmissionConstants.js';

/** Lowest priority of urgent requests. */
export const LOWEST_URGENT_PRIORITY = getImportanceRank('urgent');

/**
 * Returns whether an importance is the highest one.
 *
 * @example
 * isUrgent('urgent'); // true
 */
export function isUrgent(importance: Importance): boolean {
  return importance === 'urgent';
}

/**
 * Returns the delay after which a refused request should be retried.
 *
 * @example
 * getRetryAfter(1.5, 2); // 300
 */
export function getRetryAfter(
  priority: number,
  threshold: number,
): Milliseconds {
  const shortfall = Math.max(0, threshold - priority);
  return (
    MINIMUM_RETRY_AFTER_MILLISECONDS +
    Math.ceil(shortfall * RETRY_AFTER_PER_RANK_MILLISECONDS)
  );
}
