/** Open connections of callers, within the memory and the descriptors of the process. */

import type {DaemonHost} from '../DaemonHost.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {ClientConnection} from './ClientConnection.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {RateLimitedLog} from '../host/RateLimitedLog.js';
import {
  MINIMUM_RELEASED_BYTES,
  STALLED_MILLISECONDS,
} from './RelayConstants.js';

/** Dependencies of the connections. */
export type CallerConnectionsOptions = {
  readonly guard: DaemonGuard;
  readonly host: Pick<DaemonHost, 'clock' | 'log' | 'metrics'>;
  readonly maximumCount: number;
};

type Candidate = {
  readonly byteCount: number;
  readonly connection: ClientConnection;
  readonly stalledMilliseconds: Milliseconds;
};

/**
 * Closes connections when a limit is reached, so that other callers are served on: first
 * those that have stalled, the longest first, then the largest.
 */
export class CallerConnections {
  /** In the order of their last activity, so that the first idle one is found at once. */
  readonly #connections = new Set<ClientConnection>();
  #isReleasing = false;
  readonly #log: RateLimitedLog;
  readonly #options: CallerConnectionsOptions;

  constructor(options: CallerConnectionsOptions) {
    this.#log = new RateLimitedLog(options.host.log, options.host.clock);
    this.#options = options;
  }

  [Symbol.iterator](): IterableIterator<ClientConnection> {
    return this.#connections.values();
  }

  /** Adds a connection; at the limit, the one that has been idle for longest is closed. */
  add(connection: ClientConnection): void {
    if (this.#connections.size >= this.#options.maximumCount) {
      (this.#findLongestIdle() ?? connection).destroy();
      this.#record('connections');
    }
    this.#connections.add(connection);
  }

  /** Records that a connection has received something. */
  recordActivity(connection: ClientConnection): void {
    if (this.#connections.delete(connection)) {
      this.#connections.add(connection);
    }
  }

  delete(connection: ClientConnection): void {
    this.#connections.delete(connection);
  }

  /**
   * Records a change of the bytes that a connection holds, and frees memory if there is
   * too little.
   *
   * @example
   * connections.recordHeldBytes(65_536);
   */
  recordHeldBytes(byteCount: number): void {
    const {guard} = this.#options;
    guard.addBufferedBytes(byteCount);
    if (byteCount > 0 && guard.getFreeBytes() < 0 && !this.#isReleasing) {
      this.#isReleasing = true;
      this.#release();
      this.#isReleasing = false;
    }
  }

  /** A single large request or answer is served in spite of the limit. */
  #release(): void {
    const {guard} = this.#options;
    const candidates = this.#listCandidates();
    for (const {connection, stalledMilliseconds} of candidates) {
      const isAlone =
        candidates.length === 1 && stalledMilliseconds < STALLED_MILLISECONDS;
      if (guard.getFreeBytes() >= 0 || isAlone) {
        return;
      }
      connection.release();
      this.#record('memory');
    }
  }

  #listCandidates(): readonly Candidate[] {
    const now = this.#options.host.clock();
    return [...this.#connections]
      .map((connection) => {
        const held = connection.getHeldBytes();
        return {
          byteCount: held.getReleasableBytes(),
          connection,
          stalledMilliseconds: held.getStalledMilliseconds(now),
        };
      })
      .filter(({byteCount}) => byteCount >= MINIMUM_RELEASED_BYTES)
      .sort(compareCandidates);
  }

  #findLongestIdle(): ClientConnection | undefined {
    for (const connection of this.#connections) {
      if (connection.isIdle()) {
        return connection;
      }
    }
    return undefined;
  }

  #record(limit: 'connections' | 'memory'): void {
    const {guard, host} = this.#options;
    host.metrics.increment(`relay.closedConnection.${limit}`);
    this.#log.write(
      `closedConnection.${limit}`,
      {
        bufferedBytes: guard.getBufferedBytes(),
        connectionCount: this.#connections.size,
        limit,
      },
      'connection of a caller closed at a limit',
    );
  }
}

function compareCandidates(left: Candidate, right: Candidate): number {
  const [leftStalled, rightStalled] = [left, right].map(
    ({stalledMilliseconds}) =>
      stalledMilliseconds < STALLED_MILLISECONDS ? 0 : stalledMilliseconds,
  );
  return (
    (rightStalled ?? 0) - (leftStalled ?? 0) || right.byteCount - left.byteCount
  );
}
