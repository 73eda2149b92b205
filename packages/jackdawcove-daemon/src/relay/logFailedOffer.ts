/** Logs offers that were refused or produced no answer. */

import type {RateLimitedLog} from '../host/RateLimitedLog.js';
import type {ServedOffer} from './ServedOffer.js';
import type {FailurePacket} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

/**
 * Logs the end of an offer without an answer.
 *
 * @example
 * logFailedOffer(failureLog, served, packet, clock());
 */
export function logFailedOffer(
  log: RateLimitedLog,
  {arrivedAt, offer, shedRank, source}: ServedOffer,
  {load, mayHaveRun, reason}: FailurePacket,
  now: Milliseconds,
): void {
  log.write(
    `offer.${reason}`,
    {
      ...load,
      instance: offer.instance,
      mayHaveRun,
      milliseconds: Math.round(now - arrivedAt),
      patienceMilliseconds: Math.round(offer.maximumQueueingMilliseconds),
      reason,
      request: offer.requestIdentifier,
      shedRank,
      source,
    },
    'attempt failed',
  );
}
