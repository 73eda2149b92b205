/** Back of the floor: cbor over TCP from the front, undici to the backend server. */

import type {FloorRequest} from './FloorFrames.js';
import type {FloorEnd} from './FloorUtils.js';
import type {Address} from 'jackdawcove-shared';
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';

import {createServer} from 'node:net';

import {formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';

import {encodeFloorFrame, FloorSplitter} from './FloorFrames.js';
import {
  closeFloorServer,
  listenFloorServer,
  selectEndHeaders,
} from './FloorUtils.js';

/** What the back needs. */
export type FloorBackOptions = {
  readonly backendServer: Address;
  /** Connections to the backend server at most. */
  readonly connections: number;
  readonly listen: {readonly host: string; readonly port: number};
};

const BAD_GATEWAY = 502;
const EMPTY = Buffer.alloc(0);

/**
 * Starts the back of the floor: it passes on whatever comes, without a decision.
 *
 * @example
 * const back = await startFloorBack({backendServer, connections: 60, listen});
 */
export async function startFloorBack(
  options: FloorBackOptions,
): Promise<FloorEnd> {
  const pool = new Pool(`http://${formatAddress(options.backendServer)}`, {
    connections: options.connections,
    pipelining: 1,
  });
  const sockets = new Set<Socket>();
  const server = createServer({noDelay: true}, (socket) => {
    const splitter = new FloorSplitter<FloorRequest>();
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      for (const request of splitter.push(bytes)) {
        void answer(pool, socket, request);
      }
    });
  });
  const address = await listenFloorServer(server, options.listen);
  return {
    address,
    stop: async () => {
      sockets.forEach((socket) => socket.destroy());
      await closeFloorServer(server);
      await pool.destroy();
    },
  };
}

async function answer(
  pool: Pool,
  socket: Socket,
  [number, method, path, headers, body]: FloorRequest,
): Promise<void> {
  try {
    const reply = await pool.request({
      body: body.length === 0 ? null : body,
      headers: [...headers],
      method: method as Dispatcher.HttpMethod,
      path,
    });
    const bytes = await reply.body.bytes();
    const endHeaders = selectEndHeaders(reply.headers);
    socket.write(
      encodeFloorFrame([number, reply.statusCode, endHeaders, bytes]),
    );
  } catch {
    socket.write(encodeFloorFrame([number, BAD_GATEWAY, [], EMPTY]));
  }
}
