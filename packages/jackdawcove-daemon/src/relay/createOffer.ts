/** Offers as the daemon where a request began sends them. */

import type {OpenAttempt, RelayCall} from './RelayCall.js';
import type {OfferPacket} from 'jackdawcove-relay';
import type {Incarnation, Milliseconds} from 'jackdawcove-shared';

import {
  MAXIMUM_CALL_QUEUEING_SHARE,
  MAXIMUM_ROOT_QUEUEING_SHARE,
} from './RelayConstants.js';

/**
 * A root that waits long misses its objective and is better told to come back; a
 * call holds the slot of its parent, whose work is lost with it.
 */
function getMaximumQueueingTime(
  {parent, route}: RelayCall,
  remaining: Milliseconds,
): Milliseconds {
  const maximum = remaining * MAXIMUM_CALL_QUEUEING_SHARE;
  return parent === undefined
    ? Math.min(
        maximum,
        route.latencyObjectiveMilliseconds * MAXIMUM_ROOT_QUEUEING_SHARE,
      )
    : maximum;
}

/**
 * Creates the offer of an attempt.
 *
 * @example
 * transport.send(candidate.daemon, createOffer(attempt, incarnation, false, now));
 */
export function createOffer(
  {call, candidate, number}: OpenAttempt,
  callerIncarnation: Incarnation,
  isResent: boolean,
  now: Milliseconds,
): OfferPacket {
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
      call,
      remainingMilliseconds,
    ),
    method: facts.method,
    path: facts.path,
    remainingMilliseconds,
    requestIdentifier: facts.requestIdentifier,
    shedRank: call.shedRank,
  };
}
