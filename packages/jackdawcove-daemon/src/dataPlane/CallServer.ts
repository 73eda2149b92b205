/**
 * HTTP server for callers, and for calls that the local backend server makes.
 */

import type {CallerPlane} from './CallerPlane.js';
import type {CallTarget} from './createCallRequest.js';
import type {DaemonGuard} from './DaemonGuard.js';
import type {HttpBindings} from '@hono/node-server';
import type {ResultName} from 'jackdawcove-shared';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

import {createServer} from 'node:http';

import {getRequestListener} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {getRefusalExecuted} from 'jackdawcove-call';
import {RESULT_CODES} from 'jackdawcove-shared';

import {CallerExchange} from './CallerExchange.js';
import {createCallRequest, parseTarget} from './createCallRequest.js';
import {
  CALLER_KEEPALIVE_MILLISECONDS,
  EXECUTED_HEADER,
  GUARD_RETRY_AFTER_MILLISECONDS,
  KEY_HEADER,
  MAXIMUM_CHECKING_INTERVAL_MILLISECONDS,
  RESULT_HEADER,
} from './DataPlaneConstants.js';
import {getSingleHeader} from './HttpHeaders.js';
import {RequestBody} from './RequestBody.js';

/** Limits of one HTTP server. */
export type CallServerLimits = {
  readonly callerTimeoutMilliseconds: number;
  readonly headerBytes: number;
};

/** Dependencies of an HTTP server for calls. */
export type CallServerOptions = {
  readonly callerPlane: CallerPlane;
  /** Returns the largest accepted body of a request, in bytes. */
  readonly getBodyLimit: (method: string, target: CallTarget) => number;
  readonly guard: DaemonGuard;
  readonly isDraining: () => boolean;
  /** True for the listener that the local backend server uses. */
  readonly isFromLoopback: boolean;
  /** Routes under `/jackdaw`, which take precedence over services. */
  readonly routes?: Hono<{Bindings: HttpBindings}>;
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
  const {callerTimeoutMilliseconds, headerBytes} = limits;
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

function refuseWhileStarting(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): void {
  const exchange = new CallerExchange(incoming, outgoing, () => true);
  refuse(exchange, 'daemonStarting', GUARD_RETRY_AFTER_MILLISECONDS);
}

/**
 * Serves calls on a server that `createCallServer` created.
 *
 * @example
 * serveCalls(server, options);
 */
export function serveCalls(server: Server, options: CallServerOptions): void {
  const application = new Hono<{Bindings: HttpBindings}>();
  if (options.routes !== undefined) {
    application.route('/jackdaw', options.routes);
  }
  application.all('*', (context) => {
    void handleCall(options, context.env.incoming, context.env.outgoing);
    return RESPONSE_ALREADY_SENT;
  });
  const listener = getRequestListener(application.fetch);
  server.off('request', refuseWhileStarting);
  server.on(
    'request',
    (incoming: IncomingMessage, outgoing: ServerResponse) => {
      void listener(incoming, outgoing);
    },
  );
}

async function handleCall(
  options: CallServerOptions,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const {callerPlane, guard, isFromLoopback} = options;
  const exchange = new CallerExchange(incoming, outgoing, options.isDraining);
  const refusal = guard.findRefusal(isFromLoopback);
  if (refusal !== undefined) {
    refuse(exchange, refusal, GUARD_RETRY_AFTER_MILLISECONDS);
    return;
  }
  const target = parseTarget(incoming.url ?? '/');
  if (target === undefined) {
    refuse(exchange, 'malformedRequest');
    return;
  }
  const limitBytes = options.getBodyLimit(incoming.method ?? 'GET', target);
  const body = new RequestBody(incoming, limitBytes, (byteCount) => {
    guard.addBufferedBytes(byteCount);
  });
  const start = await body.readStart();
  if (start === 'incomplete' || start === 'tooLarge') {
    body.release();
    if (start === 'tooLarge') {
      refuse(exchange, 'bodyTooLarge');
    }
    return;
  }
  const bodyBytes = start === 'small' ? body.getBufferedBody() : undefined;
  const source = {body: bodyBytes, incoming, isFromLoopback, target};
  const request = createCallRequest(source);
  callerPlane.begin({body, bodyBytes, exchange, request});
}

function refuse(
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
