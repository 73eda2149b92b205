/** Serves calls on the HTTP server of a listener. */

import type {CallerPlane} from './CallerPlane.js';
import type {CallTarget} from './createCallRequest.js';
import type {DaemonGuard} from './DaemonGuard.js';
import type {HttpBindings} from '@hono/node-server';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {getRequestListener} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';

import {CallerExchange} from './CallerExchange.js';
import {refuseCall, refuseWhileStarting} from './CallServer.js';
import {createCallRequest, parseTarget} from './createCallRequest.js';
import {GUARD_RETRY_AFTER_MILLISECONDS} from './DataPlaneConstants.js';
import {RequestBody} from './RequestBody.js';

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
    refuseCall(exchange, refusal, GUARD_RETRY_AFTER_MILLISECONDS);
    return;
  }
  const target = parseTarget(incoming.url ?? '/');
  if (target === undefined) {
    refuseCall(exchange, 'malformedRequest');
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
      refuseCall(exchange, 'bodyTooLarge');
    }
    return;
  }
  const bodyBytes = start === 'small' ? body.getBufferedBody() : undefined;
  const source = {body: bodyBytes, incoming, isFromLoopback, target};
  const request = createCallRequest(source);
  callerPlane.begin({body, bodyBytes, exchange, request});
}
