/** Records the failure of an offer against its instance. */

import type {
  FailureReason,
  InstancePlacement,
  PlacementCandidate,
} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {BLOCK_MILLISECONDS} from './RelayConstants.js';

/** A failed run adds no run time, so its route does not matter. */
const NO_ROUTE = '';

/**
 * Records a failure for the choice of instances, by its reason.
 *
 * @example
 * recordFailure(placement, candidate, 'broken', clock());
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
    case 'overBudget':
    case 'quarantined':
      break;
  }
}
