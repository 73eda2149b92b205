/**
 * HTTP server for callers, and for calls that the local backend server makes. It
 * is created at the start of every daemon, so it loads no HTTP library.
 */

import type {ResultName} from 'jackdawcove-shared';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

import {createServer} from 'node:http';

import {getRefusalExecuted} from 'jackdawcove-call';
import {RESULT_CODES} from 'jackdawcove-shared';

import {CallerExchange} from './CallerExchange.js';
import {
  CALLER_KEEPALIVE_MILLISECONDS,
  EXECUTED_HEADER,
  GUARD_RETRY_AFTER_MILLISECONDS,
  KEY_HEADER,
  MAXIMUM_CHECKING_INTERVAL_MILLISECONDS,
  RESULT_HEADER,
} from './DataPlaneConstants.js';
import {getSingleHeader} from './HttpHeaders.js';

/** Limits of one HTTP server. */
export type CallServerLimits = {
  readonly callerConnections: number;
  readonly callerTimeoutMilliseconds: number;
  readonly headerBytes: number;
};

/**
 * Creates the HTTP server of one listener. Its port can be bound before the
 * daemon is ready: it refuses every request until `serveCalls` is called.
 *
 * @example
 * const server = createCallServer(settings.limits);
 * await listen(server, settings.listen.caller);
 */
export function createCallServer(limits: CallServerLimits): Server {
  const {callerConnections, callerTimeoutMilliseconds, headerBytes} = limits;
  const server = createServer({
    connectionsCheckingInterval: Math.min(
      MAXIMUM_CHECKING_INTERVAL_MILLISECONDS,
      callerTimeoutMilliseconds,
    ),
    headersTimeout: callerTimeoutMilliseconds,
    keepAliveTimeout: CALLER_KEEPALIVE_MILLISECONDS,
    maxHeaderSize: headerBytes,
    requestTimeout: callerTimeoutMilliseconds,
  });
  server.maxConnections = callerConnections;
  const lastAnswers = new WeakMap<Duplex, ServerResponse>();
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    answerClientError(error, socket, lastAnswers.get(socket));
  });
  server.on(
    'request',
    ({socket}: IncomingMessage, outgoing: ServerResponse) => {
      lastAnswers.set(socket, outgoing);
    },
  );
  server.on('request', refuseWhileStarting);
  return server;
}

/** Refuses a request because the daemon starts. */
export function refuseWhileStarting(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): void {
  const exchange = new CallerExchange(incoming, outgoing, () => true);
  refuseCall(exchange, 'daemonStarting', GUARD_RETRY_AFTER_MILLISECONDS);
}

/**
 * Answers a call with a result that refuses it.
 *
 * @example
 * refuseCall(exchange, 'malformedRequest');
 */
export function refuseCall(
  exchange: CallerExchange,
  result: ResultName,
  retryAfterMilliseconds?: number,
): void {
  const key = getSingleHeader(exchange.incoming.headers, KEY_HEADER);
  const executed = getRefusalExecuted(result, key !== undefined);
  const answer = {executed, result, retryAfterMilliseconds};
  if (exchange.incoming.complete) {
    exchange.answer(answer);
    return;
  }
  exchange.answerAndClose(answer);
}

const CLIENT_ERROR_RESULTS: Readonly<Record<string, ResultName>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 'callerTimeout',
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
};

function answerClientError(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  lastAnswer: ServerResponse | undefined,
): void {
  // A second status line must not be written into an answer in progress.
  const isAnswering =
    lastAnswer?.headersSent === true && !lastAnswer.writableFinished;
  if (!socket.writable || isAnswering) {
    socket.destroy();
    return;
  }
  const result = CLIENT_ERROR_RESULTS[error.code ?? ''] ?? 'malformedRequest';
  const code = RESULT_CODES[result];
  const lines = [
    `HTTP/1.1 ${String(code.httpStatus)} ${code.name}`,
    'connection: close',
    'content-length: 0',
    `${RESULT_HEADER}: ${String(code.number)}`,
    `${EXECUTED_HEADER}: ${code.executed}`,
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n`);
}
