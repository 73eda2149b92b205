/** Caller-side pass-through proxy: HTTP from callers, CBOR over one TCP connection to the server-side proxy. */

import type {PassthroughAnswer} from './PassthroughFrames.js';
import type {PassthroughProxy} from './PassthroughUtils.js';
import type {Address} from 'jackdawcove-shared';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';

import {
  encodePassthroughFrame,
  PassthroughFrameDecoder,
} from './PassthroughFrames.js';
import {
  closeServer,
  listenOn,
  selectEndToEndHeaders,
} from './PassthroughUtils.js';

/** Options of the caller-side proxy. */
export type CallerSideProxyOptions = {
  readonly listen: {readonly host: string; readonly port: number};
  readonly serverProxy: Address;
};

const BAD_GATEWAY = 502;
const KEEP_ALIVE_MILLISECONDS = 60_000;

/**
 * Starts the caller-side proxy, which forwards every request without admission
 * control. Together with the server-side proxy it shows the minimum cost of two
 * hops, which the cost of jackdawcove is compared with.
 *
 * @example
 * const callerProxy = await startCallerSideProxy({listen, serverProxy: serverProxy.address});
 */
export async function startCallerSideProxy(
  options: CallerSideProxyOptions,
): Promise<PassthroughProxy> {
  const socket = connect({...options.serverProxy, noDelay: true});
  await once(socket, 'connect');
  const pendingAnswers = new Map<number, ServerResponse>();
  forwardAnswers(socket, pendingAnswers);
  let requestNumber = 0;
  const server = createServer((incoming, outgoing) => {
    requestNumber += 1;
    pendingAnswers.set(requestNumber, outgoing);
    void forwardRequest(incoming, socket, requestNumber);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  const address = await listenOn(server, options.listen);
  return {
    address,
    stop: async () => {
      socket.destroy();
      server.closeAllConnections();
      await closeServer(server);
    },
  };
}

async function forwardRequest(
  incoming: IncomingMessage,
  socket: Socket,
  requestNumber: number,
): Promise<void> {
  const chunks: Buffer[] = [];
  incoming.on('data', (bytes: Buffer) => chunks.push(bytes));
  incoming.on('error', () => undefined);
  await new Promise((resolve) => incoming.once('end', resolve));
  const {headers, method = 'GET', url = '/'} = incoming;
  const body = Buffer.concat(chunks);
  socket.write(
    encodePassthroughFrame([
      requestNumber,
      method,
      url,
      selectEndToEndHeaders(headers),
      body,
    ]),
  );
}

function forwardAnswers(
  socket: Socket,
  pendingAnswers: Map<number, ServerResponse>,
): void {
  const decoder = new PassthroughFrameDecoder<PassthroughAnswer>();
  socket.on('data', (bytes) => {
    for (const [requestNumber, status, headers, body] of decoder.push(bytes)) {
      const outgoing = pendingAnswers.get(requestNumber);
      pendingAnswers.delete(requestNumber);
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
    for (const outgoing of pendingAnswers.values()) {
      outgoing.writeHead(BAD_GATEWAY).end();
    }
    pendingAnswers.clear();
  });
}
