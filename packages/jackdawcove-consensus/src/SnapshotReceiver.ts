/** Assembles a snapshot from its chunks. */

import type {RaftMessageOf, Snapshot} from './RaftMessages.js';

/** Progress after one chunk: the complete snapshot, or the next missing offset. */
export type ReceivedChunk =
  | {readonly kind: 'complete'; readonly snapshot: Snapshot}
  | {readonly kind: 'partial'; readonly nextOffset: number};

/**
 * Assembles one snapshot at a time.
 *
 * @example
 * receiver.receive(request).kind; // 'complete' after the last chunk
 */
export class SnapshotReceiver {
  #data = '';
  #transferKey = '';

  /** Adds a chunk if it continues the data received so far. */
  receive(request: RaftMessageOf<'snapshotRequest'>): ReceivedChunk {
    const {snapshotIndex, snapshotTerm, term} = request;
    const transferKey = `${request.from.identity} ${String(term)} ${String(snapshotIndex)}`;
    if (transferKey !== this.#transferKey) {
      this.#data = '';
      this.#transferKey = transferKey;
    }
    if (request.offset !== this.#data.length) {
      return {kind: 'partial', nextOffset: this.#data.length};
    }
    this.#data += request.chunk;
    if (!request.isLast) {
      return {kind: 'partial', nextOffset: this.#data.length};
    }
    const content = {data: this.#data, replicaSet: request.replicaSet};
    this.#data = '';
    this.#transferKey = '';
    return {
      kind: 'complete',
      snapshot: {content, index: snapshotIndex, term: snapshotTerm},
    };
  }
}
