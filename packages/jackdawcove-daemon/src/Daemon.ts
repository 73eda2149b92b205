/** The daemon: starts its subsystems in order and shuts them down gracefully. */

import type {
  AppliedConfiguration,
  FleetMember,
} from './control/ConfigurationService.js';
import type {ControlRegistration} from './control/registerControl.js';
import type {BoundAddresses, DaemonHost} from './DaemonHost.js';
import type {BaselineName} from './dataPlane/Baselines.js';
import type {CallPath} from './dataPlane/CallPath.js';
import type {
  DaemonEdge,
  EdgeListeners,
  Embedding,
} from './embedding/EmbeddingTypes.js';
import type {LedgerRegistration} from './ledger/registerLedger.js';
import type {MembershipService} from './membership/MembershipService.js';
import type {MembershipRegistration} from './membership/registerMembership.js';
import type {QuarantineRegistration} from './quarantine/registerQuarantine.js';
import type {Relay} from './relay/registerRelay.js';
import type {RelayIngress} from './relay/RelayIngress.js';
import type Logger from 'bunyan';
import type {DaemonRecord} from 'jackdawcove-membership';
import type {DaemonSettings} from 'jackdawcove-settings';
import type {Address, Teardown} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {isDaemonReachable} from 'jackdawcove-membership';
import {DEFAULT_CALLER_LIMITS} from 'jackdawcove-routes';
import {formatAddress, mergeTeardowns} from 'jackdawcove-shared';

import {registerAdministration} from './administration/registerAdministration.js';
import {registerControl} from './control/registerControl.js';
import {createAdministrationServices} from './createAdministrationServices.js';
import {
  HANDOVER_TIMEOUT_MILLISECONDS,
  LEAVE_DELAY_MILLISECONDS,
  READY_POLL_MILLISECONDS,
  STOP_POLL_MILLISECONDS,
} from './DaemonConstants.js';
import {DaemonGuard} from './dataPlane/DaemonGuard.js';
import {checkDocument, PolicySource} from './dataPlane/PolicySource.js';
import {RouteSource} from './embedding/RouteSource.js';
import {startRelay} from './embedding/startRelay.js';
import {HostProcess} from './host/HostProcess.js';
import {registerMembership} from './membership/registerMembership.js';
import {registerQuarantine} from './quarantine/registerQuarantine.js';
import {CallTransport} from './transport/CallTransport.js';
import {registerTrafficMetrics} from './transport/registerTrafficMetrics.js';

/** Options for experiments, tests and embedding programs; `jackdawd` sets none. */
export type DaemonOptions = {
  /** Address at which the fleet reaches this daemon, if not the one it binds. */
  readonly advertisedAddress?: Address;
  readonly baseline?: BaselineName;
  /** Replaces the daemon's own interface to callers in an embedding program. */
  readonly embedding?: Embedding;
};

type AdministeredSubsystems = {
  readonly control: ControlRegistration;
  readonly callPath: CallPath;
  readonly membership: MembershipRegistration;
  readonly quarantine: QuarantineRegistration;
};

type StartedCallPath = {
  readonly callPath: CallPath;
  readonly ledger: LedgerRegistration | undefined;
  readonly relay: Relay | undefined;
};

type Subsystems = {
  readonly control: ControlRegistration;
  readonly callPath: CallPath;
  readonly edge: EdgeListeners | undefined;
  readonly ledger: LedgerRegistration | undefined;
  readonly membership: MembershipRegistration;
  readonly teardown: Teardown;
};

/** One running daemon. */
export class Daemon {
  readonly #guard: DaemonGuard;
  readonly #options: DaemonOptions;
  readonly #policies = new PolicySource();
  readonly #process: HostProcess;
  readonly #routes: RouteSource | undefined;
  readonly #startedAt: number;
  #isDraining = false;
  #stopping: Promise<void> | undefined;
  #subsystems: Subsystems | undefined;

  constructor(settings: DaemonSettings, options: DaemonOptions) {
    this.#guard = new DaemonGuard(settings.limits);
    this.#options = options;
    this.#process = new HostProcess(settings, options.advertisedAddress);
    this.#routes =
      options.embedding && new RouteSource(options.embedding.documentFormat);
    this.#startedAt = this.#process.clock();
  }

  /** Addresses that the daemon listens on. */
  getAddresses(): BoundAddresses {
    return this.#process.getHost().addresses;
  }

  /** Log of the daemon; available after `start`. */
  get log(): Logger {
    return this.#process.getHost().log;
  }

  /** Binds every port, joins the fleet and resolves once calls are accepted. */
  async start(): Promise<void> {
    const host = await this.#process.start();
    this.#subsystems = await this.#startSubsystems(host);
    await this.#waitUntilReady(this.#subsystems.control);
    this.#guard.markReady();
    host.recordEvent('daemonStarted', {incarnation: host.incarnation});
    host.log.info(
      {addresses: formatAddresses(host.addresses)},
      'accepting calls',
    );
  }

  /**
   * Shuts down gracefully: requests in flight finish within the grace period.
   * Further calls wait for the same shutdown.
   */
  async stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  /** Replaces the seeds of the settings; no call is affected. */
  setSeeds(seeds: readonly Address[]): void {
    this.#subsystems?.membership.service.setSeeds(seeds);
  }

  /** Starts a drain: other daemons send no new work, running work continues. */
  drain(): void {
    if (this.#isDraining || this.#subsystems === undefined) {
      return;
    }
    this.#isDraining = true;
    const {callPath, membership} = this.#subsystems;
    this.#process.getHost().recordEvent('drainStarted', {});
    membership.service.drain();
    callPath.drain();
  }

  async #startSubsystems(host: DaemonHost): Promise<Subsystems> {
    const membership = registerMembership(host);
    const {service} = membership;
    // Sessions look up addresses while the other subsystems start.
    this.#process.setAddressResolver((name) => service.getAddress(name));
    const control = await registerControl(host, {
      checkDocument:
        this.#options.embedding?.documentFormat.check ?? checkDocument,
      getMembers: () => service.getView().getDaemons().map(createFleetMember),
    });
    const removeConfigurationListener = this.#registerConfigurationListener(
      host,
      control,
    );
    const quarantine = registerQuarantine(host, service);
    const startedPath = await this.#startCallPath(
      host,
      control,
      service,
      quarantine,
    );
    const {callPath, ledger, relay} = startedPath;
    const removeAdministration = this.#registerAdministration(host, {
      callPath,
      control,
      membership,
      quarantine,
    });
    const edge =
      relay &&
      (await this.#options.embedding?.registerEdge(
        this.#createEdge(host, control, relay.ingress, membership),
      ));
    const teardown = mergeTeardowns(
      edge?.teardown ?? (() => undefined),
      membership.teardown,
      control.teardown,
      removeConfigurationListener,
      ledger?.teardown ?? (() => undefined),
      quarantine.teardown,
      callPath.teardown,
      removeAdministration,
      registerTrafficMetrics(host, this.#process.getSessions(), service),
    );
    return {callPath, control, edge, ledger, membership, teardown};
  }

  /**
   * Starts the relay for an embedding program, else the data plane. The relay
   * needs no ledger: each routed request arrives once, at one daemon.
   */
  async #startCallPath(
    host: DaemonHost,
    control: ControlRegistration,
    membership: MembershipService,
    quarantine: QuarantineRegistration,
  ): Promise<StartedCallPath> {
    const {baseline = 'none', embedding} = this.#options;
    const isDraining = (): boolean => this.#isDraining;
    const sessions = this.#process.getSessions();
    if (embedding !== undefined && this.#routes !== undefined) {
      const relay = startRelay({
        control,
        embedding,
        guard: this.#guard,
        host,
        isDraining,
        membership,
        quarantine,
        routes: this.#routes,
        sessions,
      });
      return {callPath: relay, ledger: undefined, relay};
    }
    // Imported here so that an embedding program does not load it.
    const {registerDataPlane} =
      await import('./dataPlane/registerDataPlane.js');
    const {registerLedger} = await import('./ledger/registerLedger.js');
    const ledger = registerLedger(host, membership, control.ledgerAssignments);
    const callPath = registerDataPlane({
      baseline,
      guard: this.#guard,
      host,
      isDraining,
      ledger: ledger.service,
      membership,
      policies: this.#policies,
      quarantine,
      servers: this.#process.getCallServers(),
      transport: new CallTransport(sessions, {
        address: host.addresses.fleet,
        daemon: host.settings.daemon.name,
      }),
    });
    return {callPath, ledger, relay: undefined};
  }

  #createEdge(
    host: DaemonHost,
    {service}: ControlRegistration,
    ingress: RelayIngress,
    membership: MembershipRegistration,
  ): DaemonEdge {
    return {
      closeIdleConnections: () => {
        ingress.closeIdleConnections();
      },
      configuration: service,
      createIngressServer: () => ingress.createServer(),
      getLimits: () => this.#routes?.getLimits() ?? DEFAULT_CALLER_LIMITS,
      isReady: () =>
        this.#guard.findRefusal(true) === undefined &&
        !this.#isDraining &&
        (this.#routes?.getRevision() ?? 0) > 0,
      log: host.log,
      membership: membership.service,
      wallClock: host.wallClock,
    };
  }

  #registerConfigurationListener(
    host: DaemonHost,
    {service}: ControlRegistration,
  ): Teardown {
    const applyConfiguration = (applied: AppliedConfiguration): void => {
      if (this.#routes !== undefined) {
        this.#routes.apply(applied);
        return;
      }
      const faults = this.#policies.apply(applied);
      for (const fault of faults) {
        host.log.error(
          {fault, revision: applied.revision},
          'ignored a part of the configuration that this version does not understand',
        );
      }
    };
    applyConfiguration(service.getApplied());
    return service.registerAppliedListener(applyConfiguration);
  }

  #registerAdministration(
    host: DaemonHost,
    {callPath, control, membership, quarantine}: AdministeredSubsystems,
  ): Teardown {
    const services = createAdministrationServices({
      callPath,
      configuration: control.service,
      drain: () => {
        this.drain();
      },
      guard: this.#guard,
      host,
      isDraining: () => this.#isDraining,
      membership: membership.service,
      quarantine,
      startedAt: this.#startedAt,
    });
    return registerAdministration(
      host,
      this.#process.getAdministrationServer(),
      services,
      this.#process.getTimeline(),
    );
  }

  async #waitUntilReady({service}: ControlRegistration): Promise<void> {
    while (!service.isReady()) {
      await delay(READY_POLL_MILLISECONDS);
    }
  }

  async #stop(): Promise<void> {
    const subsystems = this.#subsystems;
    if (subsystems === undefined) {
      await this.#process.stop();
      return;
    }
    const {callPath, control, ledger, membership} = subsystems;
    const {graceMilliseconds, spreadMilliseconds} =
      this.#process.getHost().settings.drain;
    this.drain();
    await Promise.all([
      control.service.prepareStop(),
      delay(spreadMilliseconds),
    ]);
    this.#process.closeListeners();
    subsystems.edge?.closeListeners();
    this.#guard.markDraining();
    const sessions = this.#process.getSessions();
    const isFinished = (): boolean =>
      callPath.isFinished() && sessions.getStatistics().unwrittenBytes === 0;
    await this.#waitUntil(isFinished, graceMilliseconds);
    this.#process.getHost().recordEvent('drainFinished', {});
    await this.#waitUntil(
      () => ledger?.service.isHandedOver() ?? true,
      HANDOVER_TIMEOUT_MILLISECONDS,
    );
    membership.service.leave();
    await delay(LEAVE_DELAY_MILLISECONDS);
    subsystems.teardown();
    await this.#process.stop();
  }

  async #waitUntil(
    isDone: () => boolean,
    timeoutMilliseconds: number,
  ): Promise<void> {
    const deadline = this.#process.clock() + timeoutMilliseconds;
    while (!isDone() && this.#process.clock() < deadline) {
      await delay(STOP_POLL_MILLISECONDS);
    }
  }
}

function formatAddresses(addresses: BoundAddresses): Record<string, string> {
  return Object.fromEntries(
    Object.entries(addresses).map(([name, address]) => [
      name,
      formatAddress(address),
    ]),
  );
}

function createFleetMember(record: DaemonRecord): FleetMember {
  return {
    availabilityZone: record.availabilityZone,
    daemon: record.name,
    isReachable: isDaemonReachable(record),
  };
}

/**
 * Starts a daemon; rejects when an address is in use or storage is unusable.
 *
 * @example
 * const daemon = await startDaemon(settings);
 * await daemon.stop();
 */
export async function startDaemon(
  settings: DaemonSettings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const daemon = new Daemon(settings, options);
  await daemon.start();
  return daemon;
}
