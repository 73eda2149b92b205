/** Helpers for the sockets of a pool. */

import type {SessionLink} from './SessionLink.js';
import type {Address, Teardown} from 'jackdawcove-shared';
import type {Server, Socket} from 'node:net';

import {createServer, isIP} from 'node:net';

const BIND_ATTEMPTS = 10;
const SMALL_CHUNK_BYTES = 16_384;

/** TCP server, and the address that it shares with a UDP socket. */
export type TcpUdpListener = {
  readonly address: Address;
  readonly server: Server;
};

/**
 * Joins consecutive small chunks, because one large write costs less than many
 * small ones; larger chunks are passed through without a copy.
 *
 * @example
 * joinSmallChunks([header, fields, body]).length; // 1
 */
export function joinSmallChunks(
  chunks: readonly Uint8Array[],
): readonly Uint8Array[] {
  const joined: Uint8Array[] = [];
  let pending: Uint8Array[] = [];
  const flushPending = () => {
    const [first] = pending;
    if (first !== undefined) {
      joined.push(pending.length === 1 ? first : Buffer.concat(pending));
    }
    pending = [];
  };
  for (const chunk of chunks) {
    if (chunk.length <= SMALL_CHUNK_BYTES) {
      pending.push(chunk);
    } else {
      flushPending();
      joined.push(chunk);
    }
  }
  flushPending();
  return joined;
}

/** Returns whether a host is a wildcard for all addresses of a VM. */
export function isWildcardHost(host: string): boolean {
  return host === '0.0.0.0' || host === '::';
}

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
 * Listens with TCP and UDP on the same port; with port 0 it retries until a
 * port is free for both.
 *
 * @example
 * const {address} = await listenOnTcpAndUdp({host: '127.0.0.1', port: 0}, onSocket, bindDatagrams);
 */
export async function listenOnTcpAndUdp(
  listen: {readonly host: string; readonly port: number},
  onSocket: (socket: Socket) => void,
  bindDatagrams: (address: Address) => Promise<void>,
): Promise<TcpUdpListener> {
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

/**
 * Returns the connect option with the local address, so that a VM with several
 * addresses connects from the one that it listens on.
 *
 * @example
 * connect({...peer, ...getLocalAddress('10.0.0.4', peer)});
 */
export function getLocalAddress(
  listenHost: string,
  peer: Address,
): {readonly localAddress?: string} {
  const isSingleAddress =
    !isWildcardHost(listenHost) && isIP(listenHost) === isIP(peer.host);
  return isSingleAddress ? {localAddress: listenHost} : {};
}

/** Counts the sessions whose handshake is in progress. */
export function countPendingHandshakes(links: Iterable<SessionLink>): number {
  let count = 0;
  for (const {core} of links) {
    count += core.getPhase() === 'handshake' ? 1 : 0;
  }
  return count;
}

/**
 * Calls a function at an interval, in milliseconds, with a timer of its own.
 *
 * @example
 * const stop = registerTimer(100, () => pool.tick());
 */
export function registerTimer(
  intervalMilliseconds: number,
  onTick: () => void,
): Teardown {
  const timer = setInterval(onTick, intervalMilliseconds);
  return () => {
    clearInterval(timer);
  };
}
