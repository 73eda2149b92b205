/** What the failure of an offer says of its instance. */

import type {
  FailureReason,
  InstancePlacement,
  PlacementCandidate,
} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {BLOCK_MILLISECONDS} from './RelayConstants.js';

/** Failures have no time of their own. */
const NO_ROUTE = '';

/**
 * Lets the placement of requests learn from a failure.
 *
 * @example
 * learnFromFailure(placement, candidate, 'broken', clock());
 */
export function recordFailure(
  placement: InstancePlacement,
  {instance}: PlacementCandidate,
  reason: FailureReason,
  now: Milliseconds,
): void {
  switch (reason) {
    case 'broken':
    case 'refused':
      placement.recordRun(instance, NO_ROUTE, 0, true, now);
      break;
    case 'unavailable':
    case 'wrongProcess':
      placement.block(instance, now + BLOCK_MILLISECONDS);
      break;
    case 'cancelled':
    case 'draining':
    case 'expired':
    case 'full':
    case 'quarantined':
      break;
  }
}
