/** Outcome of a refused claim. */

import type {ClaimOutcome} from './LedgerTypes.js';
import type {Failure} from 'jackdawcove-shared';

/**
 * Creates the outcome of a refused claim.
 *
 * @example
 * createRefusedOutcome(createFailure('ledgerUnavailable'));
 */
export function createRefusedOutcome(failure: Failure): ClaimOutcome {
  return {failure, kind: 'refused'};
}
