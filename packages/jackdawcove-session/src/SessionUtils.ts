/** Helpers for the sockets of a pool. */

import type {SessionLink} from './SessionLink.js';
import type {CallHead} from './SessionSchemas.js';
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
  if (chunks.every(isSmall)) {
    return chunks.length > 1 ? [Buffer.concat(chunks)] : chunks;
  }
  const joined: Uint8Array[] = [];
  let start = 0;
  for (const [index, chunk] of chunks.entries()) {
    if (!isSmall(chunk)) {
      joined.push(...joinSmallChunks(chunks.slice(start, index)), chunk);
      start = index + 1;
    }
  }
  joined.push(...joinSmallChunks(chunks.slice(start)));
  return joined;
}

function isSmall({length}: Uint8Array): boolean {
  return length <= SMALL_CHUNK_BYTES;
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

/** Returns the head with the time left after a wait. */
export function shortenDeadline(
  head: CallHead,
  waitedMilliseconds: number,
): CallHead {
  const remainingMilliseconds = Math.max(
    0,
    head.remainingMilliseconds - waitedMilliseconds,
  );
  return {...head, remainingMilliseconds};
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
