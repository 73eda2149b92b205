/** Queue of updates to gossip, ordered by how often they have been sent. */

import type {WireUpdate} from './MembershipMessages.js';
import type {DaemonName} from 'jackdawcove-shared';

import {
  RECORD_RETRANSMISSION_FACTOR,
  STATE_RETRANSMISSION_FACTOR,
} from './MembershipConstants.js';
import {estimateEncodedBytes, isWireRecord} from './MembershipMessages.js';

type QueuedUpdate = {
  readonly bytes: number;
  transmissions: number;
  readonly update: WireUpdate;
};

/** Queue of updates. It keeps only the newest update of each daemon. */
export class GossipQueue {
  readonly #updates = new Map<DaemonName, QueuedUpdate>();

  /**
   * Adds an update, which replaces an earlier update of the same daemon.
   *
   * @example
   * queue.add(encodeRecord(record));
   */
  add(update: WireUpdate): void {
    const [name] = update;
    this.#updates.delete(name);
    this.#updates.set(name, {
      bytes: estimateEncodedBytes(update),
      transmissions: 0,
      update,
    });
  }

  /**
   * Returns the least sent updates that fit into `maximumBytes`, and drops those
   * that reach their transmission limit.
   *
   * @example
   * const gossip = queue.take(900, view.getDaemons().length);
   */
  take(maximumBytes: number, memberCount: number): WireUpdate[] {
    const queued = [...this.#updates.values()].sort(
      (left, right) => left.transmissions - right.transmissions,
    );
    const taken: WireUpdate[] = [];
    let remaining = maximumBytes;
    for (const entry of queued) {
      if (entry.bytes > remaining) {
        continue;
      }
      remaining -= entry.bytes;
      taken.push(entry.update);
      this.#countTransmission(
        entry,
        getTransmissionLimit(entry.update, memberCount),
      );
    }
    return taken;
  }

  /** Checks whether no update is queued. */
  isEmpty(): boolean {
    return this.#updates.size === 0;
  }

  #countTransmission(entry: QueuedUpdate, limit: number): void {
    entry.transmissions += 1;
    if (entry.transmissions >= limit) {
      this.#updates.delete(entry.update[0]);
    }
  }
}

function getTransmissionLimit(update: WireUpdate, memberCount: number): number {
  const factor = isWireRecord(update)
    ? RECORD_RETRANSMISSION_FACTOR
    : STATE_RETRANSMISSION_FACTOR;
  return factor * Math.ceil(Math.log2(memberCount + 2));
}
