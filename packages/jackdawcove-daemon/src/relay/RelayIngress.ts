/** Listener for requests that are routed by the configuration. */

import type {DaemonHost} from '../DaemonHost.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {RouteSource} from '../embedding/RouteSource.js';
import type {MemoryMonitor} from '../host/MemoryMonitor.js';
import type {RequestQuotas} from '../quota/registerQuota.js';
import type {RelayCaller} from './RelayCaller.js';
import type {RelayDialect, RelayExchange, RequestFacts} from './RelayTypes.js';
import type {RequestAccess} from './RequestAccess.js';
import type {HttpHead} from 'jackdawcove-relay';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';
import type {Server, Socket} from 'node:net';

import {createServer} from 'node:net';

import {GUARD_RETRY_AFTER_MILLISECONDS} from '../dataPlane/DataPlaneConstants.js';
import {afterPendingReads, ArrivalOrder} from './ArrivalOrder.js';
import {CallerConnections} from './CallerConnections.js';
import {ClientConnection} from './ClientConnection.js';
import {UnansweredLog} from './UnansweredRequests.js';

/** Dependencies of the listener. */
export type RelayIngressOptions = {
  readonly caller: RelayCaller;
  readonly dialect: RelayDialect;
  /** Flushes the packets buffered for other daemons. */
  readonly flush: () => void;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly access: RequestAccess;
  readonly isDraining: () => boolean;
  /** Connections of callers that are open at once; undefined: any number. */
  readonly maximumConnections?: number | undefined;
  readonly memoryMonitor: MemoryMonitor;
  /** Undefined where organisations have no quotas. */
  readonly quotas?: RequestQuotas | undefined;
  readonly routes: RouteSource;
};

type IncomingRequest = {
  readonly body: Buffer;
  readonly exchange: RelayExchange;
  readonly head: HttpHead;
  readonly isFromThisVm: boolean;
};

/** Receives requests, resolves their routes and begins their calls. */
export class RelayIngress {
  readonly #connections: CallerConnections;
  readonly #options: RelayIngressOptions;
  readonly #order: ArrivalOrder<IncomingRequest>;
  readonly #unansweredLog: UnansweredLog;

  constructor(options: RelayIngressOptions) {
    this.#connections = new CallerConnections({
      guard: options.guard,
      host: options.host,
      maximumCount: options.maximumConnections ?? Number.POSITIVE_INFINITY,
    });
    this.#options = options;
    this.#order = new ArrivalOrder({
      clock: options.host.clock,
      onArrival: (request) => {
        this.#begin(request);
      },
      // Flushes once for several requests; each later write would cost a system call.
      onHandled: options.flush,
    });
    this.#unansweredLog = new UnansweredLog(options.host);
  }

  /** Creates the server; its owner binds it. */
  createServer(): Server {
    return createServer((socket) => {
      this.#accept(socket);
    });
  }

  /** Records a tick of the relay; a late tick shows that the event loop is delayed. */
  recordTick(): void {
    this.#order.recordTick();
  }

  /** Closes connections whose timeout has passed. */
  checkTimeouts(): void {
    afterPendingReads(() => {
      this.#closeTimedOut();
    });
  }

  #closeTimedOut(): void {
    const {host, routes} = this.#options;
    const limits = routes.getLimits();
    const now = host.clock();
    for (const connection of this.#connections) {
      connection.checkTimeouts(now, limits);
    }
  }

  /** Closes the connections without an open request. */
  closeIdleConnections(): void {
    afterPendingReads(() => {
      for (const connection of this.#connections) {
        connection.closeIfIdle();
      }
    });
  }

  /** Whether a connection has a request whose answer is not written. */
  hasBusyConnections(): boolean {
    for (const connection of this.#connections) {
      if (connection.isBusy()) {
        return true;
      }
    }
    return false;
  }

  destroyConnections(): void {
    for (const connection of this.#connections) {
      connection.destroy();
    }
  }

  #accept(socket: Socket): void {
    const {dialect, host, isDraining, memoryMonitor, routes} = this.#options;
    this.#order.recordConnection();
    const isFromThisVm = isConnectionFromThisVm(socket);
    const connection: ClientConnection = new ClientConnection(socket, {
      clock: host.clock,
      dialect,
      getRequestRules: () =>
        routes.getOrganisations() === undefined
          ? dialect.requestRules
          : dialect.keyedRequestRules,
      isDraining,
      // Read for each message, so that a change applies to open connections.
      limits: {
        get bodyBytes() {
          return routes.getLimits().bodyBytes;
        },
        get headBytes() {
          return routes.getLimits().headerBytes;
        },
      },
      onClosed: (closed) => {
        this.#connections.delete(closed);
      },
      onHeldBytes: (byteCount) => {
        this.#connections.recordHeldBytes(byteCount);
      },
      onReceivedBytes: (byteCount) => {
        this.#connections.recordActivity(connection);
        memoryMonitor.recordReceivedBytes(byteCount);
      },
      onRequest: (head, body, exchange) => {
        this.#order.add({body, exchange, head, isFromThisVm});
      },
      onUnanswered: (requests) => {
        this.#unansweredLog.record(requests);
      },
    });
    this.#connections.add(connection);
  }

  #begin({body, exchange, head, isFromThisVm}: IncomingRequest): void {
    const {access, caller, dialect, guard, routes} = this.#options;
    if (exchange.isDisconnected()) {
      return;
    }
    const facts = dialect.readRequest(head);
    if (facts === undefined) {
      refuse(exchange, 'malformedRequest');
      return;
    }
    const target = routes.resolve(facts.hostName, facts.path);
    // Runs that began before a drain may make calls until the drain is over.
    const isCall = caller.isCallOfRunningRequest(facts);
    const refusal = guard.findRefusal(isCall, body.length);
    if (refusal !== undefined || target === undefined) {
      refuse(exchange, refusal ?? this.#getRouteRefusal());
      return;
    }
    let forwardedLines = head.forwardedLines + dialect.callerLines;
    // Callers on this VM share its address, so the address proves nothing by itself.
    const isCallOfInstance = isCall && isFromThisVm;
    const decision = access.decide(head, facts, target.route, isCallOfInstance);
    if (typeof decision === 'object') {
      forwardedLines += dialect.createOrganisationLine(decision.name);
      const organisation = decision;
      const delay = this.#askQuota(decision.name, facts);
      if (delay > 0) {
        refuse(exchange, 'quotaExceeded', delay);
        return;
      }
      caller.begin({
        body,
        exchange,
        facts,
        forwardedLines,
        organisation,
        target,
      });
    } else if (decision === 'open') {
      caller.begin({body, exchange, facts, forwardedLines, target});
    } else {
      refuse(exchange, decision);
    }
  }

  #askQuota(
    organisation: string,
    {requestIdentifier}: RequestFacts,
  ): Milliseconds {
    return this.#options.quotas?.admit(organisation, requestIdentifier) ?? 0;
  }

  #getRouteRefusal(): ResultName {
    const isConfigured = this.#options.routes.getRevision() > 0;
    return isConfigured ? 'unknownService' : 'daemonStarting';
  }
}

/** Whether the other end has the address of this VM, as the local instance has. */
function isConnectionFromThisVm({
  localAddress,
  remoteAddress,
}: Socket): boolean {
  return remoteAddress !== undefined && remoteAddress === localAddress;
}

function refuse(
  exchange: RelayExchange,
  result: ResultName,
  retryAfterMilliseconds = GUARD_RETRY_AFTER_MILLISECONDS,
): void {
  exchange.answerWithResult({
    executed: 'no',
    result,
    retryAfterMilliseconds,
  });
}
