/** HTTP ingress whose requests follow the routes of the configuration. */

import type {CallerPlane} from '../dataPlane/CallerPlane.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {IngressDialect, IngressHead} from './EmbeddingTypes.js';
import type {RoutedTarget, RouteSource} from './RouteSource.js';
import type {CallRequest} from 'jackdawcove-call';
import type {CallerLimits} from 'jackdawcove-routes';
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

/** A request whose route is known. */
type ReceivedHead = {
  readonly body: RequestBody;
  readonly exchange: CallerExchange;
  readonly head: IngressHead;
  readonly target: RoutedTarget;
};

const NO_BYTES = Buffer.alloc(0);

function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'];
  return (
    headers['transfer-encoding'] !== undefined ||
    (length !== undefined && length !== '0')
  );
}

/** Takes requests, looks their route up and begins their calls. */
export class RouteIngress {
  readonly #options: RouteIngressOptions;

  constructor(options: RouteIngressOptions) {
    this.#options = options;
  }

  /** Creates an HTTP server under the limits that are in force now. */
  createServer(): Server {
    const {routes} = this.#options;
    const {headerBytes, headerTimeoutMilliseconds} = routes.getLimits();
    const server = createCallServer({
      callerTimeoutMilliseconds: headerTimeoutMilliseconds,
      headerBytes,
    });
    const follow = (limits: CallerLimits): void => {
      server.headersTimeout = limits.headerTimeoutMilliseconds;
      server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
      // Long bodies may take longer than a head.
      server.requestTimeout = 0;
    };
    follow(routes.getLimits());
    server.on('close', routes.registerLimitsListener(follow));
    server.removeAllListeners('request');
    server.on('request', (incoming, outgoing) => {
      this.#receive(incoming, outgoing);
    });
    server.on('connection', (socket) => {
      // Each pipelined request listens for the end of its connection.
      socket.setMaxListeners(0);
    });
    return server;
  }

  #receive(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const {dialect, guard, isClosing, routes} = this.#options;
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
    const {bodyBytes: limitBytes} = routes.getLimits();
    const body = new RequestBody(incoming, limitBytes, (byteCount) => {
      guard.addBufferedBytes(byteCount);
    });
    const received = {body, exchange, head: head.value, target};
    if (hasBody(incoming)) {
      void this.#readBody(received);
      return;
    }
    body.skip();
    this.#begin(received, NO_BYTES);
  }

  async #readBody(received: ReceivedHead): Promise<void> {
    const {body, exchange} = received;
    const start = await body.readStart();
    if (start === 'cut' || start === 'tooLarge') {
      body.release();
      if (start === 'tooLarge') {
        refuse(exchange, 'bodyTooLarge');
      }
      return;
    }
    const isSmall = start === 'small';
    this.#begin(received, isSmall ? body.getKeptBytes() : undefined);
  }

  #begin(
    {body, exchange, head, target}: ReceivedHead,
    bodyBytes: Buffer | undefined,
  ): void {
    const method = exchange.incoming.method ?? 'GET';
    const request = createRoutedRequest(method, head, target, bodyBytes);
    // A busy daemon reads a request late: its caller may have left by then, which
    // shows once the rest of the connection has been read.
    setImmediate(() => {
      if (exchange.isGone()) {
        body.release();
        return;
      }
      this.#options.callerPlane.begin({body, bodyBytes, exchange, request});
    });
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

function fingerprintBody(body: Uint8Array): string {
  return body.length === 0 ? '' : digestHex(body);
}

function createRoutedRequest(
  method: string,
  {
    parentRequestIdentifier,
    path,
    requestIdentifier,
    timeoutMilliseconds,
  }: IngressHead,
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
      : {bodyFingerprint: fingerprintBody(body), bodyLength: body.length}),
    ...(parentRequestIdentifier === undefined ? {} : {parentRequestIdentifier}),
    ...(timeoutMilliseconds === undefined ? {} : {timeoutMilliseconds}),
  };
}
