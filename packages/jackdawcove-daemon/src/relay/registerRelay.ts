/** Starts the relay of routed requests. */

import type {DaemonHost} from '../DaemonHost.js';
import type {CallPath} from '../dataPlane/CallPath.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {RouteSource} from '../embedding/RouteSource.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {RequestQuotas} from '../quota/registerQuota.js';
import type {AnswerMemory} from './BackendPool.js';
import type {ListCandidates} from './RelayCallerOptions.js';
import type {RelayDialect} from './RelayTypes.js';
import type {InstanceView} from 'jackdawcove-membership';
import type {ConfigurationFreshness} from 'jackdawcove-organisations';
import type {PlacementCandidate, RetryBudgetOptions} from 'jackdawcove-relay';
import type {SessionPool} from 'jackdawcove-session';
import type {Teardown} from 'jackdawcove-shared';

import {mergeTeardowns, MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {CallTicker} from '../dataPlane/CallTicker.js';
import {registerEventLoopMonitor} from '../dataPlane/DaemonGuard.js';
import {
  GUARD_INTERVAL_MILLISECONDS,
  IDLE_TICK_INTERVAL_MILLISECONDS,
} from '../dataPlane/DataPlaneConstants.js';
import {MemoryMonitor} from '../host/MemoryMonitor.js';
import {createInstanceLookup} from '../membership/createInstanceLookup.js';
import {RelayCaller} from './RelayCaller.js';
import {BUSY_TICK_MILLISECONDS} from './RelayConstants.js';
import {RelayIngress} from './RelayIngress.js';
import {RelayServer} from './RelayServer.js';
import {RelayTransport} from './RelayTransport.js';
import {RequestAccess} from './RequestAccess.js';
import {RunningRequests} from './RunningRequests.js';

/** Dependencies of the relay. */
export type RelayDependencies = {
  /** Undefined where removed keys need not stop to work within a bound. */
  readonly freshness?: ConfigurationFreshness | undefined;
  readonly dialect: RelayDialect;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly isDraining: () => boolean;
  readonly membership: MembershipService;
  readonly quarantine: QuarantineRegistration;
  /** Undefined where organisations have no quotas. */
  readonly quotas?: RequestQuotas | undefined;
  readonly retryBudget: RetryBudgetOptions;
  readonly routes: RouteSource;
  readonly sessions: SessionPool;
};

/** The running relay. */
export type Relay = CallPath & {readonly ingress: RelayIngress};

function createCandidate({
  backendServer,
  daemon,
}: InstanceView): PlacementCandidate {
  return {
    availabilityZone: daemon.availabilityZone,
    daemon: daemon.name,
    daemonIncarnation: daemon.incarnation,
    incarnation: backendServer.incarnation,
    instance: backendServer.instance,
    slots: backendServer.slots,
  };
}

function isAcceptingRequests({backendServer, daemon}: InstanceView): boolean {
  return backendServer.state === 'ready' && !daemon.isDraining;
}

/** Lists reachable instances; suspected ones only if there are no others. */
function createCandidateLister(membership: MembershipService): ListCandidates {
  return createInstanceLookup(
    () => membership.getView(),
    (instances) => {
      const accepting = instances.filter(isAcceptingRequests);
      const alive = accepting.filter(({daemon}) => daemon.state === 'alive');
      return (alive.length > 0 ? alive : accepting).map(createCandidate);
    },
  );
}

function registerPackets(
  transport: RelayTransport,
  caller: RelayCaller,
  server: RelayServer,
): Teardown {
  return transport.register({
    onLost: (daemon) => {
      caller.handleSessionLost(daemon);
      server.handleSessionLost(daemon);
    },
    onOpened: (daemon) => {
      caller.handleSessionOpened(daemon);
    },
    onPacket: (packet, source) => {
      switch (packet.kind) {
        case 'answer':
          caller.handleAnswer(packet, source);
          break;
        case 'cancel':
          server.handleCancel(packet, source);
          break;
        case 'failure':
          caller.handleFailure(packet, source);
          break;
        case 'offer':
          server.handleOffer(packet, source);
          break;
      }
    },
  });
}

type RelaySides = {
  readonly caller: RelayCaller;
  readonly server: RelayServer;
  readonly transport: RelayTransport;
};

/** One budget for what callers and the instance send, and what waits to be sent on. */
function createAnswerMemory(
  {guard, sessions}: RelayDependencies,
  monitor: MemoryMonitor,
): AnswerMemory {
  return {
    addBytes: (byteCount) => {
      guard.addBufferedBytes(byteCount);
      monitor.recordReceivedBytes(Math.max(0, byteCount));
    },
    isShort: () =>
      guard.getFreeBytes() < sessions.getStatistics().unwrittenBytes,
  };
}

function createSides(
  dependencies: RelayDependencies,
  memoryMonitor: MemoryMonitor,
  wake: () => void,
): RelaySides {
  const {host, membership} = dependencies;
  const answerMemory = createAnswerMemory(dependencies, memoryMonitor);
  const runningRequests = new RunningRequests();
  const transport = new RelayTransport(
    dependencies.sessions,
    host.settings.daemon.name,
    () => {
      host.metrics.increment('relay.malformed');
    },
  );
  const shared = {...dependencies, runningRequests, transport};
  const listCandidates = createCandidateLister(membership);
  const server = new RelayServer({
    ...shared,
    answerMemory,
    listCandidates,
    onOffer: wake,
  });
  const caller = new RelayCaller({
    ...shared,
    getDaemonCount: () => membership.getView().getDaemons().length,
    listCandidates,
    onCall: wake,
  });
  return {caller, server, transport};
}

function registerMemoryMonitor(
  monitor: MemoryMonitor,
  {registerTicker}: Pick<DaemonHost, 'registerTicker'>,
): Teardown {
  return registerTicker(GUARD_INTERVAL_MILLISECONDS, () => {
    monitor.check();
  });
}

/**
 * Starts the relay.
 *
 * @example
 * const relay = registerRelay(dependencies);
 * relay.ingress.createServer().listen(8304);
 */
export function registerRelay(dependencies: RelayDependencies): Relay {
  const {guard, host, membership} = dependencies;
  const memoryMonitor = new MemoryMonitor(host.settings.limits);
  const wake = (): void => {
    ticker.wake();
  };
  const sides = createSides(dependencies, memoryMonitor, wake);
  const {caller, server, transport} = sides;
  const getOpenCalls = (): number =>
    caller.getOpenCalls() + server.getOpenOffers();
  const ticker = new CallTicker({
    busyIntervalMilliseconds: BUSY_TICK_MILLISECONDS,
    hasOpenCalls: () => getOpenCalls() > 0,
    idleIntervalMilliseconds: IDLE_TICK_INTERVAL_MILLISECONDS,
    onTick: () => {
      ingress.recordTick();
      server.tick();
      caller.tick();
    },
    registerTicker: host.registerTicker,
  });
  const flush = (): void => {
    transport.flush();
  };
  const access = new RequestAccess(dependencies);
  const maximumConnections = host.settings.limits.callerConnections;
  const edge = {access, caller, flush, maximumConnections, memoryMonitor};
  const ingress = new RelayIngress({...dependencies, ...edge});
  const teardown = mergeTeardowns(
    registerPackets(transport, caller, server),
    registerEventLoopMonitor(guard, host),
    registerMemoryMonitor(memoryMonitor, host),
    membership.registerViewListener(() => {
      server.refreshBackendServer();
    }),
    host.registerTicker(MILLISECONDS_PER_SECOND, () => {
      access.checkConfirmation();
      ingress.checkTimeouts();
    }),
    () => {
      ticker.stop();
      ingress.destroyConnections();
      server.close();
    },
  );
  return {
    drain: () => {
      server.drain();
    },
    getBackendLoad: () => {
      const {limit, queued, running} = server.getLoad();
      return {inFlight: running, limit, queued, queueingDelayMilliseconds: 0};
    },
    getOpenCalls,
    ingress,
    isFinished: () => getOpenCalls() === 0 && !ingress.hasBusyConnections(),
    teardown,
  };
}
