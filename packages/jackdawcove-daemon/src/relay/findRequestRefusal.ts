/** Refusals of requests for what they are, whatever the load is. */

import type {RelayCall} from './RelayCall.js';
import type {RelayCallerOptions} from './RelayCallerOptions.js';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';

import {fingerprintRequest} from './fingerprintRequest.js';

/**
 * Refuses the calls of runs that were cancelled, and requests that crash instances.
 *
 * @example
 * findRequestRefusal(call, options, clock()); // 'quarantined'
 */
export function findRequestRefusal(
  {body, facts, parent}: RelayCall,
  {
    quarantine: {crashQuarantine},
    runningRequests,
  }: Pick<RelayCallerOptions, 'quarantine' | 'runningRequests'>,
  now: Milliseconds,
): ResultName | undefined {
  if (
    parent === undefined &&
    runningRequests.isCancelled(facts.parentRequestIdentifier)
  ) {
    return 'cancelledBeforeDispatch';
  }
  if (!crashQuarantine.hasRecords()) {
    return undefined;
  }
  const fingerprint = fingerprintRequest({body, ...facts});
  return crashQuarantine.getSuspicion(fingerprint, now) === 'quarantined'
    ? 'quarantined'
    : undefined;
}
