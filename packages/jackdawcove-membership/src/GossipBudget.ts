/** Bytes of gossip that a daemon may still send. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  GOSSIP_BURST_BYTES,
  GOSSIP_BYTES_PER_SECOND,
  MAXIMUM_DATAGRAM_BYTES,
} from './MembershipConstants.js';

/** Token bucket of gossip bytes. */
export class GossipBudget {
  #bytes = GOSSIP_BURST_BYTES;
  #refilledAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#refilledAt = now;
  }

  /** Adds the bytes for the time that passed. */
  refill(now: Milliseconds): void {
    const seconds = (now - this.#refilledAt) / MILLISECONDS_PER_SECOND;
    this.#refilledAt = now;
    this.#bytes = Math.min(
      GOSSIP_BURST_BYTES,
      this.#bytes + seconds * GOSSIP_BYTES_PER_SECOND,
    );
  }

  /** Returns the bytes of gossip that fit into a datagram beside its message. */
  getAvailableBytes(messageBytes: number): number {
    return Math.min(this.#bytes, MAXIMUM_DATAGRAM_BYTES - messageBytes);
  }

  /** Takes bytes off the budget. */
  spend(bytes: number): void {
    this.#bytes -= bytes;
  }
}
