/** TCP forwarder on loopback that can hold, cut or go silent. */

import type {Address} from 'jackdawcove-shared';
import type {AddressInfo, Server, Socket} from 'node:net';

import {connect, createServer} from 'node:net';

/** Direction of bytes, seen from the end that connects. */
export type Direction = 'back' | 'forth';

type Connection = {
  readonly back: Socket;
  readonly forth: Socket;
  readonly held: {readonly bytes: Buffer; readonly direction: Direction}[];
  isCut: boolean;
};

/** Passes bytes on to a target until a test interferes. */
export class Forwarder {
  readonly #connections: Connection[] = [];
  #cutAfter: {direction: Direction; remaining: number} | undefined;
  readonly #server: Server;
  readonly #silent = new Set<Direction>();
  readonly #target: Address;

  constructor(target: Address) {
    this.#target = target;
    this.#server = createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Returns the number of connections so far. */
  getConnectionCount(): number {
    return this.#connections.length;
  }

  /** Cuts the connection that passes this many more bytes. */
  cutAfter(direction: Direction, remaining: number): void {
    this.#cutAfter = {direction, remaining};
  }

  /** Cuts every connection. */
  cutAll(): void {
    this.#connections.forEach(cut);
  }

  /** Passes on what was held back; later connections are not silent. */
  release(): void {
    this.#silent.clear();
    for (const connection of this.#connections) {
      for (const {bytes, direction} of connection.held.splice(0)) {
        write(connection, direction, bytes);
      }
    }
  }

  /** Holds bytes of present connections back; new connections work. */
  silence(...directions: readonly Direction[]): void {
    directions.forEach((direction) => this.#silent.add(direction));
    this.#silentConnections = this.#connections.length;
  }

  #silentConnections = 0;

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

  #accept(forth: Socket): void {
    const back = connect(this.#target);
    const connection: Connection = {back, forth, held: [], isCut: false};
    const index = this.#connections.push(connection) - 1;
    forth.on('data', (bytes) => {
      this.#pass(connection, index, 'forth', bytes);
    });
    back.on('data', (bytes) => {
      this.#pass(connection, index, 'back', bytes);
    });
    for (const socket of [forth, back]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('end', () => {
        this.#end(connection, index);
      });
    }
  }

  #end(connection: Connection, index: number): void {
    const isSilent = this.#silent.size > 0 && index < this.#silentConnections;
    if (!isSilent) {
      connection.back.end();
      connection.forth.end();
    }
  }

  #pass(
    connection: Connection,
    index: number,
    direction: Direction,
    bytes: Buffer,
  ): void {
    if (connection.isCut) {
      return;
    }
    if (this.#silent.has(direction) && index < this.#silentConnections) {
      connection.held.push({bytes, direction});
      return;
    }
    const limit = this.#cutAfter;
    if (limit?.direction !== direction) {
      write(connection, direction, bytes);
      return;
    }
    write(connection, direction, bytes.subarray(0, limit.remaining));
    limit.remaining -= bytes.length;
    if (limit.remaining <= 0) {
      this.#cutAfter = undefined;
      cut(connection);
    }
  }
}

function cut(connection: Connection): void {
  connection.isCut = true;
  connection.back.end();
  connection.forth.end();
}

function write(
  connection: Connection,
  direction: Direction,
  bytes: Buffer,
): void {
  const socket = direction === 'forth' ? connection.back : connection.forth;
  if (bytes.length > 0) {
    socket.write(bytes);
  }
}
