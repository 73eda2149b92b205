/** An offer as the daemon of the instance keeps it. */

import type {AbortRequest} from './BackendPool.js';
import type {RunningRequest} from './RunningRequests.js';
import type {
  CancelPacket,
  OfferPacket,
  WaitingRequest,
} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {ATTEMPT_RETENTION_MILLISECONDS} from './RelayConstants.js';

/** An offer that was taken or refused. */
export type ServedOffer = WaitingRequest & {
  abort: AbortRequest | undefined;
  readonly deadline: Milliseconds;
  /** Set while the session with the caller's daemon is lost. */
  sessionLostAt: Milliseconds | undefined;
  readonly key: string;
  readonly offer: OfferPacket;
  run: RunningRequest | undefined;
  runStartedAt: Milliseconds;
  readonly source: DaemonName;
  state: 'ended' | 'queued' | 'running';
};

/** Returns the key of an attempt among all that a daemon is offered. */
export function createOfferKey(
  source: DaemonName,
  {attempt, callerIncarnation}: CancelPacket | OfferPacket,
): string {
  return `${source}/${String(callerIncarnation)}/${String(attempt)}`;
}

/**
 * Creates the record of an offer that arrives.
 *
 * @example
 * const served = createServedOffer(offer, 'vm-1', clock());
 */
export function createServedOffer(
  offer: OfferPacket,
  source: DaemonName,
  now: Milliseconds,
): ServedOffer {
  return {
    abort: undefined,
    arrivedAt: now,
    deadline: now + offer.remainingMilliseconds,
    expiresAt: now + offer.maximumQueueingMilliseconds,
    key: createOfferKey(source, offer),
    offer,
    run: undefined,
    runStartedAt: now,
    sessionLostAt: undefined,
    shedRank: offer.shedRank,
    source,
    state: 'queued',
  };
}

/** Offers under way, and those that ended lately: none is taken twice. */
export class ServedOffers {
  /** When the offers ended, by their keys; oldest first. */
  readonly #endedAt = new Map<string, Milliseconds>();
  readonly #open = new Map<string, ServedOffer>();

  [Symbol.iterator](): IterableIterator<ServedOffer> {
    return this.#open.values();
  }

  add(served: ServedOffer): void {
    this.#open.set(served.key, served);
  }

  find(key: string): ServedOffer | undefined {
    return this.#open.get(key);
  }

  getOpenCount(): number {
    return this.#open.size;
  }

  hasEnded(key: string): boolean {
    return this.#endedAt.has(key);
  }

  /** Remembers an offer as ended. */
  end(served: ServedOffer, now: Milliseconds): void {
    served.state = 'ended';
    this.#open.delete(served.key);
    this.#endedAt.set(served.key, now);
  }

  forgetEnded(now: Milliseconds): void {
    for (const [key, endedAt] of this.#endedAt) {
      if (now - endedAt <= ATTEMPT_RETENTION_MILLISECONDS) {
        return;
      }
      this.#endedAt.delete(key);
    }
  }
}
