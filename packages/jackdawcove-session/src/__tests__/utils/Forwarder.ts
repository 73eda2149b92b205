/** TCP forwarder on loopback that can hold back bytes or cut connections. */

import type {Address} from 'jackdawcove-shared';
import type {AddressInfo, Server, Socket} from 'node:net';

import {connect, createServer} from 'node:net';

/** Direction of bytes: `upstream` goes from the client to the target. */
export type Direction = 'downstream' | 'upstream';

type Connection = {
  readonly targetSocket: Socket;
  readonly clientSocket: Socket;
  readonly held: {readonly bytes: Buffer; readonly direction: Direction}[];
  isCut: boolean;
};

/** Forwards bytes to a target until a test injects a fault. */
export class Forwarder {
  readonly #connections: Connection[] = [];
  #pendingCut: {direction: Direction; remaining: number} | undefined;
  readonly #server: Server;
  readonly #silencedDirections = new Set<Direction>();
  readonly #target: Address;

  constructor(target: Address) {
    this.#target = target;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Returns the number of connections accepted so far. */
  getConnectionCount(): number {
    return this.#connections.length;
  }

  /** Cuts the connection that forwards this many more bytes in a direction. */
  cutAfter(direction: Direction, remaining: number): void {
    this.#pendingCut = {direction, remaining};
  }

  /** Cuts every connection. */
  cutAll(): void {
    this.#connections.forEach(cut);
  }

  /** Forwards the bytes held back and stops holding back more. */
  release(): void {
    this.#silencedDirections.clear();
    for (const connection of this.#connections) {
      for (const {bytes, direction} of connection.held.splice(0)) {
        write(connection, direction, bytes);
      }
    }
  }

  /** Holds back bytes of the existing connections; new connections work. */
  silence(...directions: readonly Direction[]): void {
    directions.forEach((direction) => this.#silencedDirections.add(direction));
    this.#silentConnectionCount = this.#connections.length;
  }

  #silentConnectionCount = 0;

  async start(): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.#server.address() as AddressInfo;
    return {host: '127.0.0.1', port};
  }

  stop(): void {
    this.#server.close();
    this.#connections.forEach(cut);
  }

  #accept(clientSocket: Socket): void {
    const targetSocket = connect(this.#target);
    const connection: Connection = {
      clientSocket,
      held: [],
      isCut: false,
      targetSocket,
    };
    const index = this.#connections.push(connection) - 1;
    clientSocket.on('data', (bytes) => {
      this.#forward(connection, index, 'upstream', bytes);
    });
    targetSocket.on('data', (bytes) => {
      this.#forward(connection, index, 'downstream', bytes);
    });
    for (const socket of [clientSocket, targetSocket]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('end', () => {
        this.#end(connection, index);
      });
    }
  }

  #end(connection: Connection, index: number): void {
    const isSilent =
      this.#silencedDirections.size > 0 && index < this.#silentConnectionCount;
    if (!isSilent) {
      connection.targetSocket.end();
      connection.clientSocket.end();
    }
  }

  #forward(
    connection: Connection,
    index: number,
    direction: Direction,
    bytes: Buffer,
  ): void {
    if (connection.isCut) {
      return;
    }
    if (
      this.#silencedDirections.has(direction) &&
      index < this.#silentConnectionCount
    ) {
      connection.held.push({bytes, direction});
      return;
    }
    const pendingCut = this.#pendingCut;
    if (pendingCut?.direction !== direction) {
      write(connection, direction, bytes);
      return;
    }
    write(connection, direction, bytes.subarray(0, pendingCut.remaining));
    pendingCut.remaining -= bytes.length;
    if (pendingCut.remaining <= 0) {
      this.#pendingCut = undefined;
      cut(connection);
    }
  }
}

function cut(connection: Connection): void {
  connection.isCut = true;
  connection.targetSocket.end();
  connection.clientSocket.end();
}

function write(
  connection: Connection,
  direction: Direction,
  bytes: Buffer,
): void {
  const socket =
    direction === 'upstream'
      ? connection.targetSocket
      : connection.clientSocket;
  if (bytes.length > 0) {
    socket.write(bytes);
  }
}
