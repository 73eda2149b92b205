/** Log of the offers that ended without an answer. */

import type {DaemonHost} from '../DaemonHost.js';
import type {ServedOffer} from './ServedOffer.js';
import type {FailurePacket} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {RateLimitedLog} from '../host/RateLimitedLog.js';

/** Writes one line for each failed offer, up to a limit for each reason. */
export class OfferFailureLog {
  readonly #log: RateLimitedLog;

  constructor({clock, log}: Pick<DaemonHost, 'clock' | 'log'>) {
    this.#log = new RateLimitedLog(log, clock);
  }

  /** Logs a failure with the load of the instance that decided it. */
  write(
    {arrivedAt, offer, shedRank, source}: ServedOffer,
    {load, mayHaveRun, reason}: FailurePacket,
    now: Milliseconds,
  ): void {
    this.#log.write(
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
}
