/** Server-side pass-through proxy: CBOR over TCP from the caller-side proxy, HTTP to the backend server. */

import type {PassthroughRequest} from './PassthroughFrames.js';
import type {PassthroughProxy} from './PassthroughUtils.js';
import type {Address} from 'jackdawcove-shared';
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';

import {createServer} from 'node:net';

import {formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';

import {
  encodePassthroughFrame,
  PassthroughFrameDecoder,
} from './PassthroughFrames.js';
import {
  closeServer,
  listenOn,
  selectEndToEndHeaders,
} from './PassthroughUtils.js';

/** Options of the server-side proxy. */
export type ServerSideProxyOptions = {
  readonly backendServer: Address;
  /** Maximum number of connections to the backend server. */
  readonly connections: number;
  readonly listen: {readonly host: string; readonly port: number};
};

const BAD_GATEWAY = 502;
const EMPTY = Buffer.alloc(0);

/**
 * Starts the server-side proxy, which forwards every request without admission
 * control. Together with the caller-side proxy it shows the minimum cost of two
 * hops, which the cost of jackdawcove is compared with.
 *
 * @example
 * const serverProxy = await startServerSideProxy({backendServer, connections: 60, listen});
 */
export async function startServerSideProxy(
  options: ServerSideProxyOptions,
): Promise<PassthroughProxy> {
  const pool = new Pool(`http://${formatAddress(options.backendServer)}`, {
    connections: options.connections,
    pipelining: 1,
  });
  const sockets = new Set<Socket>();
  const server = createServer({noDelay: true}, (socket) => {
    const decoder = new PassthroughFrameDecoder<PassthroughRequest>();
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      for (const request of decoder.push(bytes)) {
        void forwardRequest(pool, socket, request);
      }
    });
  });
  const address = await listenOn(server, options.listen);
  return {
    address,
    stop: async () => {
      sockets.forEach((socket) => socket.destroy());
      await closeServer(server);
      await pool.destroy();
    },
  };
}

async function forwardRequest(
  pool: Pool,
  socket: Socket,
  [requestNumber, method, path, headers, body]: PassthroughRequest,
): Promise<void> {
  try {
    const reply = await pool.request({
      body: body.length === 0 ? null : body,
      headers: [...headers],
      method: method as Dispatcher.HttpMethod,
      path,
    });
    const bytes = await reply.body.bytes();
    const endToEndHeaders = selectEndToEndHeaders(reply.headers);
    socket.write(
      encodePassthroughFrame([
        requestNumber,
        reply.statusCode,
        endToEndHeaders,
        bytes,
      ]),
    );
  } catch {
    socket.write(
      encodePassthroughFrame([requestNumber, BAD_GATEWAY, [], EMPTY]),
    );
  }
}
