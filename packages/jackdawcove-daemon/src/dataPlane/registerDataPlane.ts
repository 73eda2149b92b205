/** Creates the daemon's call path: decisions, planes and HTTP listeners. */

import type {DaemonHost} from '../DaemonHost.js';
import type {LedgerService} from '../ledger/LedgerService.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {CallTransport} from '../transport/CallTransport.js';
import type {BaselineName} from './Baselines.js';
import type {CallPath} from './CallPath.js';
import type {CallTarget} from './createCallRequest.js';
import type {DaemonGuard} from './DaemonGuard.js';
import type {PolicySource} from './PolicySource.js';
import type {ListInstances} from 'jackdawcove-call';
import type {Server} from 'node:http';

import {AdmissionController} from 'jackdawcove-admission';
import {
  CallerSide,
  CallsInProgress,
  DEFAULT_SERVER_SWITCHES,
  ServerSide,
  TICK_INTERVAL_MILLISECONDS,
} from 'jackdawcove-call';
import {InstanceChooser} from 'jackdawcove-routing';
import {mergeTeardowns, PER_MILLE} from 'jackdawcove-shared';

import {DEFAULT_BACKEND_DIALECT} from '../embedding/defaultDialects.js';
import {getBaselineOptions} from './Baselines.js';
import {CallerPlane} from './CallerPlane.js';
import {CallTicker} from './CallTicker.js';
import {createAnnouncementRoutes} from './createAnnouncementRoutes.js';
import {createInstanceLister} from './createInstanceLister.js';
import {registerEventLoopMonitor} from './DaemonGuard.js';
import {IDLE_TICK_INTERVAL_MILLISECONDS} from './DataPlaneConstants.js';
import {OpenAnswers} from './OpenAnswers.js';
import {serveCalls} from './serveCalls.js';
import {ServerPlane} from './ServerPlane.js';

/** HTTP servers whose ports are bound before the call path exists. */
export type CallServers = {
  readonly caller: Server;
  readonly local: Server;
};

/** Dependencies of the call path. */
export type DataPlaneDependencies = {
  readonly baseline: BaselineName;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly isDraining: () => boolean;
  readonly ledger: LedgerService;
  readonly membership: MembershipService;
  readonly policies: PolicySource;
  readonly quarantine: QuarantineRegistration;
  readonly servers: CallServers;
  readonly transport: CallTransport;
};

/** The running call path. */
export type DataPlane = CallPath;

function createCallerPlane(
  dependencies: DataPlaneDependencies,
  callsInProgress: CallsInProgress,
  listInstances: ListInstances,
  onCallOpened: () => void,
): CallerPlane {
  const {baseline, guard, host, ledger, policies, quarantine, transport} =
    dependencies;
  const {availabilityZone, name, region} = host.settings.daemon;
  const {retry} = host.settings;
  const options = getBaselineOptions(baseline);
  const resolvePolicy = policies.resolve.bind(policies);
  const callerSide = new CallerSide({
    callsInProgress,
    chooser: new InstanceChooser({
      availabilityZone,
      daemon: name,
      randomNumber: host.randomNumber,
      region,
      switches: options.routing,
    }),
    listInstances,
    quarantine: quarantine.crashQuarantine,
    resolvePolicy,
    retryBudget: {
      maximumTokens: retry.tokens,
      tokensPerSuccess: retry.perMilleOfSuccesses / PER_MILLE,
    },
    switches: {
      ...options.caller,
      isIsolatingSuspects: host.settings.quarantine.suspectsAlone,
    },
  });
  return new CallerPlane({
    callerSide,
    guard,
    host,
    ledger,
    onCallOpened,
    resolvePolicy,
    spreadSuspects: quarantine.spread,
    transport,
  });
}

function createServerSide(
  {baseline, host, quarantine}: DataPlaneDependencies,
  callsInProgress: CallsInProgress,
  listInstances: ListInstances,
): ServerSide {
  return new ServerSide({
    admission: new AdmissionController(getBaselineOptions(baseline).admission),
    callsInProgress,
    daemonIncarnation: host.incarnation,
    listInstances,
    quarantine: quarantine.crashQuarantine,
    startedAt: host.clock(),
    switches: {
      ...DEFAULT_SERVER_SWITCHES,
      isIsolatingSuspects: host.settings.quarantine.suspectsAlone,
    },
  });
}

function createServerPlane(
  {host, membership, quarantine, transport}: DataPlaneDependencies,
  serverSide: ServerSide,
  onCallOpened: () => void,
): ServerPlane {
  return new ServerPlane({
    backendDialect: DEFAULT_BACKEND_DIALECT,
    host,
    membership,
    onCallOpened,
    serverSide,
    spreadSuspects: quarantine.spread,
    transport,
  });
}

function serveListeners(
  dependencies: DataPlaneDependencies,
  callerPlane: CallerPlane,
): void {
  const {guard, isDraining, membership, policies, servers} = dependencies;
  const {bodyBytes} = dependencies.host.settings.limits;
  const shared = {
    callerPlane,
    getBodyLimit: (method: string, target: CallTarget) =>
      Math.min(bodyBytes, policies.getBodyLimit(method, target)),
    guard,
    isDraining,
  };
  serveCalls(servers.caller, {...shared, isFromLoopback: false});
  serveCalls(servers.local, {
    ...shared,
    isFromLoopback: true,
    routes: createAnnouncementRoutes(membership),
  });
}

function createTicker(
  {host: {registerTicker}}: DataPlaneDependencies,
  callerPlane: CallerPlane,
  serverPlane: ServerPlane,
  getOpenCalls: () => number,
): CallTicker {
  return new CallTicker({
    busyIntervalMilliseconds: TICK_INTERVAL_MILLISECONDS,
    hasOpenCalls: () => getOpenCalls() > 0,
    idleIntervalMilliseconds: IDLE_TICK_INTERVAL_MILLISECONDS,
    onTick: () => {
      serverPlane.refreshBackendServer();
      callerPlane.tick();
      serverPlane.tick();
    },
    registerTicker,
  });
}

/**
 * Starts the call path.
 *
 * @example
 * const dataPlane = registerDataPlane(dependencies);
 */
export function registerDataPlane(
  dependencies: DataPlaneDependencies,
): DataPlane {
  const {guard, host, membership} = dependencies;
  const callsInProgress = new CallsInProgress();
  const listInstances = createInstanceLister(() => membership.getView());
  const callerPlane = createCallerPlane(
    dependencies,
    callsInProgress,
    listInstances,
    () => {
      ticker.wake();
    },
  );
  const serverSide = createServerSide(
    dependencies,
    callsInProgress,
    listInstances,
  );
  const serverPlane = createServerPlane(dependencies, serverSide, () => {
    ticker.wake();
  });
  const getOpenCalls = (): number =>
    callerPlane.getOpenCalls() + serverPlane.getOpenAttempts();
  const ticker = createTicker(
    dependencies,
    callerPlane,
    serverPlane,
    getOpenCalls,
  );
  serveListeners(dependencies, callerPlane);
  const {caller, local} = dependencies.servers;
  const openAnswers = new OpenAnswers([caller, local]);
  const teardown = mergeTeardowns(
    serverPlane.register(),
    registerEventLoopMonitor(guard, host),
    membership.registerViewListener(() => {
      serverPlane.refreshBackendServer();
    }),
    () => {
      ticker.stop();
      serverPlane.close();
    },
  );
  return {
    drain: () => {
      serverPlane.drain();
    },
    getBackendLoad: () => {
      const {inFlight, limit, load, queued} = serverSide.getStatus();
      const {queueingDelayMilliseconds} = load;
      return {inFlight, limit, queued, queueingDelayMilliseconds};
    },
    getOpenCalls,
    isFinished: () => getOpenCalls() + openAnswers.getCount() === 0,
    teardown,
  };
}
