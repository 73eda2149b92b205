/** Pool of connections to the local backend server. */

import type {BackendConnectionOwner} from './BackendConnection.js';
import type {
  BackendOutcome,
  BackendRequest,
  StrayAnswer,
} from './BackendTypes.js';
import type {RelayDialect} from './RelayTypes.js';
import type {Address, MonotonicClock} from 'jackdawcove-shared';

import {connect} from 'node:net';

import {BackendConnection} from './BackendConnection.js';
import {
  BACKEND_CONNECT_TIMEOUT_MILLISECONDS,
  LARGE_ANSWER_BYTES,
  MAXIMUM_RECEIVING_ANSWER_BYTES,
  NON_IDEMPOTENT_MAXIMUM_IDLE_MILLISECONDS,
} from './RelayConstants.js';

/** Aborts a request to the backend server. */
export type AbortRequest = () => void;

/** Memory that the answers share with all else that the daemon buffers. */
export type AnswerMemory = {
  /** Records a change of the bytes that are buffered. */
  readonly addBytes: (byteCount: number) => void;
  /** Whether what is buffered, and waits to be sent on, leaves no room. */
  readonly isShort: () => boolean;
};

const UNLIMITED_MEMORY: AnswerMemory = {
  addBytes: () => undefined,
  isShort: () => false,
};

/** Reuses idle connections, the most recently used one first. */
export class BackendPool {
  readonly #address: Address;
  readonly #connections = new Set<BackendConnection>();
  readonly #clock: MonotonicClock;
  readonly #dialect: RelayDialect;
  readonly #idle: BackendConnection[] = [];
  #isRetired = false;
  readonly #memory: AnswerMemory;
  readonly #owner: BackendConnectionOwner;
  #receivingBytes = 0;
  /** Connections that do not read while too much is being received. */
  readonly #waiting = new Set<BackendConnection>();

  constructor(
    address: Address,
    dialect: RelayDialect,
    clock: MonotonicClock,
    onStrayAnswer: (stray: StrayAnswer) => void,
    memory = UNLIMITED_MEMORY,
  ) {
    this.#address = address;
    this.#clock = clock;
    this.#dialect = dialect;
    this.#memory = memory;
    this.#owner = {
      onClosed: (connection) => {
        this.#connections.delete(connection);
        this.#waiting.delete(connection);
        const index = this.#idle.indexOf(connection);
        if (index >= 0) {
          this.#idle.splice(index, 1);
        }
      },
      onIdle: (connection) => {
        this.#addIdle(connection);
      },
      onReceived: (connection, byteCount) =>
        this.#countReceived(connection, byteCount),
      onStrayAnswer,
    };
  }

  /**
   * Sends a request on an idle or a new connection.
   *
   * @example
   * const abort = pool.send(request, true, (outcome) => finish(outcome));
   */
  send(
    request: BackendRequest,
    isIdempotent: boolean,
    onEnd: (outcome: BackendOutcome) => void,
  ): AbortRequest {
    const {requestIdentifier} = request;
    const connection =
      this.#takeIdle(requestIdentifier, isIdempotent) ?? this.#open();
    connection.send(request, onEnd);
    return () => {
      connection.abort();
    };
  }

  /** Checks whether the backend server refuses connections. */
  probe(onResult: (isRefused: boolean) => void): void {
    const socket = connect(this.#address);
    let isRefused = false;
    socket.setTimeout(BACKEND_CONNECT_TIMEOUT_MILLISECONDS, () => {
      socket.destroy();
    });
    socket.on('connect', () => {
      socket.destroy();
    });
    socket.on('error', ({message}) => {
      isRefused = message.includes('ECONNREFUSED');
    });
    socket.on('close', () => {
      onResult(isRefused);
    });
  }

  /** Closes the idle connections; running requests may finish. */
  retire(): void {
    this.#isRetired = true;
    for (const connection of [...this.#idle]) {
      connection.abort();
    }
  }

  close(): void {
    for (const connection of [...this.#connections]) {
      connection.abort();
    }
  }

  #open(): BackendConnection {
    const connection = new BackendConnection(
      this.#address,
      this.#dialect,
      this.#owner,
    );
    this.#connections.add(connection);
    return connection;
  }

  #addIdle(connection: BackendConnection): void {
    if (this.#isRetired) {
      connection.abort();
      return;
    }
    connection.idleSince = this.#clock();
    this.#idle.push(connection);
  }

  /** Number of bytes of the answers that are being received. */
  getReceivingBytes(): number {
    return this.#receivingBytes;
  }

  /** Reads on where connections wait, unless memory is short. */
  resumeWaiting(): void {
    if (this.#waiting.size === 0 || this.#isMemoryShort()) {
      return;
    }
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const connection of waiting) {
      connection.resume();
    }
  }

  #isMemoryShort(): boolean {
    return this.#receivingBytes > LARGE_ANSWER_BYTES && this.#memory.isShort();
  }

  /** Returns false if the connection has to wait until others have received theirs. */
  #countReceived(connection: BackendConnection, byteCount: number): boolean {
    this.#receivingBytes += byteCount;
    this.#memory.addBytes(byteCount);
    const isOverLimit = this.#receivingBytes > MAXIMUM_RECEIVING_ANSWER_BYTES;
    if (!isOverLimit && !this.#isMemoryShort()) {
      this.resumeWaiting();
      return true;
    }
    const largest = isOverLimit
      ? this.#limitReceivedBytes()
      : findLargest([...this.#connections]);
    if (largest === undefined || largest === connection) {
      return true;
    }
    this.#waiting.add(connection);
    return false;
  }

  /**
   * Cuts a large answer when too much is being received: the largest of those that do
   * not state their length, because one without end is among them, or else the largest.
   * While there are small ones alone, only the largest is received, which is returned.
   */
  #limitReceivedBytes(): BackendConnection | undefined {
    const receiving = [...this.#connections];
    const largest = findLargest(receiving);
    if (
      largest === undefined ||
      largest.getReceivedBodyBytes() <= LARGE_ANSWER_BYTES
    ) {
      largest?.resume();
      return largest;
    }
    const unbounded = receiving.filter((connection) =>
      connection.isAnswerUnbounded(),
    );
    (findLargest(unbounded) ?? largest).cutAnswer();
    return undefined;
  }

  /**
   * Returns an idle connection. One that is too old for a non-idempotent request, or on
   * which the same request failed, is kept for others.
   */
  #takeIdle(
    requestIdentifier: string,
    isIdempotent: boolean,
  ): BackendConnection | undefined {
    const now = this.#clock();
    for (let index = this.#idle.length - 1; index >= 0; index -= 1) {
      const connection = this.#idle[index];
      if (connection === undefined) {
        break;
      }
      const idleMilliseconds = now - connection.idleSince;
      const isUsable =
        connection.isOpen() &&
        idleMilliseconds <= connection.maximumIdleMilliseconds;
      // The connections below have been idle even longer.
      if (
        isUsable &&
        !isIdempotent &&
        idleMilliseconds > NON_IDEMPOTENT_MAXIMUM_IDLE_MILLISECONDS
      ) {
        return undefined;
      }
      if (isUsable && connection.hasFailed(requestIdentifier)) {
        continue;
      }
      this.#idle.splice(index, 1);
      if (isUsable) {
        return connection;
      }
      connection.abort();
    }
    return undefined;
  }
}

function findLargest(
  connections: readonly BackendConnection[],
): BackendConnection | undefined {
  let largest: BackendConnection | undefined;
  for (const connection of connections) {
    if (
      connection.getReceivedBodyBytes() > (largest?.getReceivedBodyBytes() ?? 0)
    ) {
      largest = connection;
    }
  }
  return largest;
}
