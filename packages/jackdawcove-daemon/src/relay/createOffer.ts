/** Creates the offers that the daemon of the caller sends. */

import type {OpenAttempt, RelayCall} from './RelayCall.js';
import type {OfferPacket, OfferRole} from 'jackdawcove-relay';
import type {Incarnation, Milliseconds} from 'jackdawcove-shared';

import {
  MAXIMUM_CALL_QUEUEING_SHARE,
  MAXIMUM_ROOT_QUEUEING_SHARE,
} from './RelayConstants.js';

/**
 * A root call that queues for long misses its latency objective, so it is better
 * refused and retried later. A call of a running request may wait longer: its parent
 * occupies a slot, and the parent's work is lost when the call fails. No request waits
 * for a limited instance while others have no limit.
 */
function getMaximumQueueingTime(
  {call: {parent, route}, isLimitAvoidable}: OpenAttempt,
  remaining: Milliseconds,
): Milliseconds {
  if (isLimitAvoidable) {
    return 0;
  }
  const maximum = remaining * MAXIMUM_CALL_QUEUEING_SHARE;
  return parent === undefined
    ? Math.min(
        maximum,
        route.latencyObjectiveMilliseconds * MAXIMUM_ROOT_QUEUEING_SHARE,
      )
    : maximum;
}

function getRole({isRetry, parent}: RelayCall): OfferRole {
  if (parent === undefined) {
    return isRetry ? 'other' : 'request';
  }
  return isRetry ? 'retry' : 'other';
}

/**
 * Creates the offer of an attempt.
 *
 * @example
 * transport.send(candidate.daemon, createOffer(attempt, incarnation, false, now));
 */
export function createOffer(
  attempt: OpenAttempt,
  callerIncarnation: Incarnation,
  isResent: boolean,
  now: Milliseconds,
): OfferPacket {
  const {call, candidate, number} = attempt;
  const {body, deadline, facts, forwardedLines, isRepeat, route} = call;
  const remainingMilliseconds = Math.max(1, deadline - now);
  return {
    attempt: number,
    body,
    callerIncarnation,
    daemonIncarnation: candidate.daemonIncarnation,
    forwardedLines,
    instance: candidate.instance,
    isIdempotent: route.isIdempotent,
    isRepeat,
    isResent,
    kind: 'offer',
    maximumQueueingMilliseconds: getMaximumQueueingTime(
      attempt,
      remainingMilliseconds,
    ),
    method: facts.method,
    path: facts.path,
    remainingMilliseconds,
    requestIdentifier: facts.requestIdentifier,
    requestsPerSecond: attempt.requestsPerSecond,
    role: getRole(call),
    shedRank: call.shedRank,
  };
}
