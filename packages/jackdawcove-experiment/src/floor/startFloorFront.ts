/** Front of the floor: HTTP from callers, cbor over one TCP connection to the back. */

import type {FloorAnswer} from './FloorFrames.js';
import type {FloorEnd} from './FloorUtils.js';
import type {Address} from 'jackdawcove-shared';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';

import {encodeFloorFrame, FloorSplitter} from './FloorFrames.js';
import {
  closeFloorServer,
  listenFloorServer,
  selectEndHeaders,
} from './FloorUtils.js';

/** What the front needs. */
export type FloorFrontOptions = {
  readonly back: Address;
  readonly listen: {readonly host: string; readonly port: number};
};

const BAD_GATEWAY = 502;
const KEEP_ALIVE_MILLISECONDS = 60_000;

/**
 * Starts the front of the floor: it passes on whatever comes, without a decision.
 *
 * @example
 * const front = await startFloorFront({back: back.address, listen});
 */
export async function startFloorFront(
  options: FloorFrontOptions,
): Promise<FloorEnd> {
  const socket = connect({...options.back, noDelay: true});
  await once(socket, 'connect');
  const waiting = new Map<number, ServerResponse>();
  registerAnswers(socket, waiting);
  let number = 0;
  const server = createServer((incoming, outgoing) => {
    number += 1;
    waiting.set(number, outgoing);
    void passOn(incoming, socket, number);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  const address = await listenFloorServer(server, options.listen);
  return {
    address,
    stop: async () => {
      socket.destroy();
      server.closeAllConnections();
      await closeFloorServer(server);
    },
  };
}

async function passOn(
  incoming: IncomingMessage,
  socket: Socket,
  number: number,
): Promise<void> {
  const parts: Buffer[] = [];
  incoming.on('data', (bytes: Buffer) => parts.push(bytes));
  incoming.on('error', () => undefined);
  await new Promise((resolve) => incoming.once('end', resolve));
  const {headers, method = 'GET', url = '/'} = incoming;
  const body = Buffer.concat(parts);
  socket.write(
    encodeFloorFrame([number, method, url, selectEndHeaders(headers), body]),
  );
}

function registerAnswers(
  socket: Socket,
  waiting: Map<number, ServerResponse>,
): void {
  const splitter = new FloorSplitter<FloorAnswer>();
  socket.on('data', (bytes) => {
    for (const [number, status, headers, body] of splitter.push(bytes)) {
      const outgoing = waiting.get(number);
      waiting.delete(number);
      outgoing?.writeHead(status, [
        ...headers,
        'content-length',
        String(body.length),
      ]);
      outgoing?.end(body);
    }
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    for (const outgoing of waiting.values()) {
      outgoing.writeHead(BAD_GATEWAY).end();
    }
    waiting.clear();
  });
}
