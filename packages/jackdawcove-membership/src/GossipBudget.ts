/** Rate limit of gossip. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  GOSSIP_BURST_BYTES,
  GOSSIP_BYTES_PER_SECOND,
  MAXIMUM_DATAGRAM_BYTES,
} from './MembershipConstants.js';

/** Token bucket that limits the bytes of gossip a daemon sends. */
export class GossipBudget {
  #bytes = GOSSIP_BURST_BYTES;
  #refilledAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#refilledAt = now;
  }

  /** Refills the bucket for the time since the last refill. */
  refill(now: Milliseconds): void {
    const seconds = (now - this.#refilledAt) / MILLISECONDS_PER_SECOND;
    this.#refilledAt = now;
    this.#bytes = Math.min(
      GOSSIP_BURST_BYTES,
      this.#bytes + seconds * GOSSIP_BYTES_PER_SECOND,
    );
  }

  /** Returns the bytes of gossip that may be added to a message in a datagram. */
  getAvailableBytes(messageBytes: number): number {
    return Math.min(this.#bytes, MAXIMUM_DATAGRAM_BYTES - messageBytes);
  }

  /** Deducts sent bytes from the budget. */
  spend(bytes: number): void {
    this.#bytes -= bytes;
  }
}
