/** State of an offer in the daemon of the instance. */

import type {AbortRequest} from './BackendPool.js';
import type {RunningRequest} from './RunningRequests.js';
import type {
  CancelPacket,
  OfferPacket,
  WaitingRequest,
} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {RecentKeys} from './RecentKeys.js';

/** An offer that was accepted or refused. */
export type ServedOffer = WaitingRequest & {
  abort: AbortRequest | undefined;
  readonly deadline: Milliseconds;
  /** Time when the session was lost; undefined once the offer is received again. */
  sessionLostAt: Milliseconds | undefined;
  readonly key: string;
  readonly offer: OfferPacket;
  run: RunningRequest | undefined;
  runStartedAt: Milliseconds;
  readonly source: DaemonName;
  state: 'ended' | 'queued' | 'running';
};

/** Returns a key that is unique among the attempts offered to a daemon. */
export function createOfferKey(
  source: DaemonName,
  {attempt, callerIncarnation}: CancelPacket | OfferPacket,
): string {
  return `${source}/${String(callerIncarnation)}/${String(attempt)}`;
}

/**
 * Creates the state of an offer that was received.
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
    isRateLimitKnown: offer.requestsPerSecond !== undefined,
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

/** Open offers and recently ended ones, so that no offer is accepted twice. */
export class ServedOffers {
  readonly #ended = new RecentKeys();
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
    return this.#ended.has(key);
  }

  /** Marks an offer as ended. */
  end(served: ServedOffer, now: Milliseconds): void {
    served.state = 'ended';
    this.#open.delete(served.key);
    this.#ended.add(served.key, now);
  }

  expireEnded(now: Milliseconds): void {
    this.#ended.expire(now);
  }
}
