/** HTTP ingress whose requests follow the routes of the configuration. */

import type {CallerPlane} from '../dataPlane/CallerPlane.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {IngressDialect, IngressHead} from './EmbeddingTypes.js';
import type {RoutedTarget, RouteSource} from './RouteSource.js';
import type {CallRequest} from 'jackdawcove-call';
import type {ResultName} from 'jackdawcove-shared';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {digestHex} from 'jackdawcove-shared';
import {isErr} from 'true-myth/result';

import {CallerExchange} from '../dataPlane/CallerExchange.js';
import {createCallServer} from '../dataPlane/CallServer.js';
import {GUARD_RETRY_AFTER_MILLISECONDS} from '../dataPlane/DataPlaneConstants.js';
import {RequestBody} from '../dataPlane/RequestBody.js';

/** What the ingress is wired to. */
export type RouteIngressOptions = {
  readonly callerPlane: CallerPlane;
  readonly dialect: IngressDialect;
  readonly guard: DaemonGuard;
  readonly isClosing: () => boolean;
  readonly routes: RouteSource;
};

/** Takes requests, looks their route up and begins their calls. */
export class RouteIngress {
  readonly #options: RouteIngressOptions;

  constructor(options: RouteIngressOptions) {
    this.#options = options;
  }

  /** Creates an HTTP server under the limits that are in force now. */
  createServer(): Server {
    const {bodyBytes, headerBytes, headerTimeoutMilliseconds} =
      this.#options.routes.getLimits();
    const server = createCallServer({
      callerTimeoutMilliseconds: headerTimeoutMilliseconds,
      headerBytes,
    });
    server.requestTimeout = 0;
    server.removeAllListeners('request');
    server.on('request', (incoming, outgoing) => {
      void this.#receive(incoming, outgoing, bodyBytes);
    });
    server.on('connection', (socket) => {
      // Each pipelined request listens for the end of its connection.
      socket.setMaxListeners(0);
    });
    return server;
  }

  async #receive(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    limitBytes: number,
  ): Promise<void> {
    const {callerPlane, dialect, guard, isClosing, routes} = this.#options;
    const exchange = new CallerExchange(incoming, outgoing, isClosing, dialect);
    const head = dialect.readHead(incoming);
    if (isErr(head)) {
      refuse(exchange, head.error);
      return;
    }
    const {hostName, path} = head.value;
    exchange.setForwardedHeaders(head.value.forwardedHeaders);
    const target = routes.resolve(hostName, path);
    const refusal = guard.findRefusal(false) ?? this.#findRouteRefusal(target);
    if (refusal !== undefined || target === undefined) {
      refuse(exchange, refusal ?? 'unknownService');
      return;
    }
    const body = new RequestBody(incoming, limitBytes, (byteCount) => {
      guard.addBufferedBytes(byteCount);
    });
    const start = await body.readStart();
    if (start === 'cut' || start === 'tooLarge') {
      body.release();
      if (start === 'tooLarge') {
        refuse(exchange, 'bodyTooLarge');
      }
      return;
    }
    const bodyBytes = start === 'small' ? body.getKeptBytes() : undefined;
    const request = createRoutedRequest(
      incoming.method ?? 'GET',
      head.value,
      target,
      bodyBytes,
    );
    callerPlane.begin({body, bodyBytes, exchange, request});
  }

  #findRouteRefusal(target: RoutedTarget | undefined): ResultName | undefined {
    if (target !== undefined) {
      return undefined;
    }
    const isConfigured = this.#options.routes.getRevision() > 0;
    return isConfigured ? 'unknownService' : 'daemonStarting';
  }
}

function refuse(exchange: CallerExchange, result: ResultName): void {
  const answer = {
    executed: 'no',
    result,
    retryAfterMilliseconds: GUARD_RETRY_AFTER_MILLISECONDS,
  } as const;
  if (exchange.incoming.complete) {
    exchange.answer(answer);
    return;
  }
  exchange.answerAndClose(answer);
}

function createRoutedRequest(
  method: string,
  {path, requestIdentifier, timeoutMilliseconds}: IngressHead,
  {policy, service}: RoutedTarget,
  body: Uint8Array | undefined,
): CallRequest {
  return {
    isFromLoopback: false,
    isReplayable: body !== undefined,
    method,
    path,
    policy,
    requestIdentifier,
    service,
    ...(body === undefined
      ? {}
      : {bodyFingerprint: digestHex(body), bodyLength: body.length}),
    ...(timeoutMilliseconds === undefined ? {} : {timeoutMilliseconds}),
  };
}
