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
  detachedAt: Milliseconds | undefined;
  endedAt: Milliseconds;
  readonly key: string;
  readonly offer: OfferPacket;
  run: RunningRequest | undefined;
  runBeganAt: Milliseconds;
  readonly source: DaemonName;
  state: 'ended' | 'queued' | 'running';
};

function createKey(
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
    detachedAt: undefined,
    endedAt: now,
    expiresAt: now + offer.patienceMilliseconds,
    key: createKey(source, offer),
    offer,
    run: undefined,
    runBeganAt: now,
    shedRank: offer.shedRank,
    source,
    state: 'queued',
  };
}

/** Offers under way, and those that ended lately: none is taken twice. */
export class ServedOffers {
  /** Oldest first. */
  readonly #ended = new Map<string, ServedOffer>();
  readonly #open = new Map<string, ServedOffer>();

  [Symbol.iterator](): IterableIterator<ServedOffer> {
    return this.#open.values();
  }

  add(served: ServedOffer): void {
    this.#open.set(served.key, served);
  }

  find(
    source: DaemonName,
    packet: CancelPacket | OfferPacket,
  ): ServedOffer | undefined {
    const key = createKey(source, packet);
    return this.#open.get(key) ?? this.#ended.get(key);
  }

  getOpenCount(): number {
    return this.#open.size;
  }

  /** Remembers an offer as ended. */
  end(served: ServedOffer, now: Milliseconds): void {
    served.state = 'ended';
    served.endedAt = now;
    this.#open.delete(served.key);
    this.#ended.set(served.key, served);
  }

  forgetEnded(now: Milliseconds): void {
    for (const [key, {endedAt}] of this.#ended) {
      if (now - endedAt <= ATTEMPT_RETENTION_MILLISECONDS) {
        return;
      }
      this.#ended.delete(key);
    }
  }
}
