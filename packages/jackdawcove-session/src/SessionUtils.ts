/** Helpers around the sockets of a pool. */

import type {Address} from 'jackdawcove-shared';
import type {Server, Socket} from 'node:net';

import {createServer} from 'node:net';

const BIND_ATTEMPTS = 10;

/** TCP server and the address that it shares with a UDP socket. */
export type JointListener = {
  readonly address: Address;
  readonly server: Server;
};

/** Closes a server and waits until it is closed. */
export async function closeServer(server: Server | undefined): Promise<void> {
  if (server === undefined) {
    return;
  }
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

/**
 * Listens with TCP and UDP on the same port; with port 0 it tries until a port
 * is free for both.
 *
 * @example
 * const {address} = await listenTogether({host: '127.0.0.1', port: 0}, onSocket, bindDatagrams);
 */
export async function listenTogether(
  listen: {readonly host: string; readonly port: number},
  onSocket: (socket: Socket) => void,
  bindDatagrams: (address: Address) => Promise<void>,
): Promise<JointListener> {
  for (let attempt = 1; ; attempt += 1) {
    const server = createServer({noDelay: true}, onSocket);
    const address = await listenOnce(server, listen);
    try {
      await bindDatagrams(address);
      return {address, server};
    } catch (error) {
      await closeServer(server);
      if (listen.port !== 0 || attempt >= BIND_ATTEMPTS) {
        throw error;
      }
    }
  }
}

async function listenOnce(
  server: Server,
  listen: {readonly host: string; readonly port: number},
): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  const bound = server.address();
  const port = typeof bound === 'object' ? bound?.port : undefined;
  return {host: listen.host, port: port ?? listen.port};
}
