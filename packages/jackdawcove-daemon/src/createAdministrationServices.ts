/** Status and commands of this daemon that the administration API exposes. */

import type {DaemonStatus} from './administration/AdministrationSchemas.js';
import type {AdministrationServices} from './administration/AdministrationServices.js';
import type {ConfigurationService} from './control/ConfigurationService.js';
import type {DaemonHost} from './DaemonHost.js';
import type {CallPath} from './dataPlane/CallPath.js';
import type {DaemonGuard} from './dataPlane/DaemonGuard.js';
import type {MembershipService} from './membership/MembershipService.js';
import type {QuarantineRegistration} from './quarantine/registerQuarantine.js';

import {createAdministeredQuarantine} from './administration/createAdministeredQuarantine.js';
import {DAEMON_VERSION} from './DaemonConstants.js';
import {readResidentBytes} from './host/readResidentBytes.js';

/** Subsystems behind the administration API. */
export type AdministeredDaemon = {
  readonly configuration: ConfigurationService;
  readonly callPath: CallPath;
  readonly drain: () => void;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly isDraining: () => boolean;
  readonly membership: MembershipService;
  readonly quarantine: QuarantineRegistration;
  readonly startedAt: number;
};

function createLoads(daemon: AdministeredDaemon): DaemonStatus['loads'] {
  const {callPath, guard, membership} = daemon;
  const backendServer = membership.getLocalBackendServer();
  const backendLoad = callPath.getBackendLoad();
  const loads = {
    bufferedBytes: guard.getBufferedBytes(),
    eventLoopDelayMilliseconds: guard.getEventLoopDelay(),
    openCalls: callPath.getOpenCalls(),
    residentBytes: readResidentBytes(),
  };
  if (backendServer === undefined) {
    return loads;
  }
  return {
    ...loads,
    backendServer: {
      inFlight: backendLoad.inFlight,
      instance: backendServer.instance,
      limit: Math.floor(backendLoad.limit),
      queued: backendLoad.queued,
      queueingDelayMilliseconds: backendLoad.queueingDelayMilliseconds,
      service: backendServer.service,
      slots: backendServer.slots,
    },
  };
}

function createStatus(daemon: AdministeredDaemon): DaemonStatus {
  const {configuration, host, isDraining, startedAt} = daemon;
  const {availabilityZone, name, region} = host.settings.daemon;
  const {digest, isConfirmed, revision} = configuration.getApplied();
  return {
    availabilityZone,
    configuration: {digest, isConfirmed, revision},
    daemon: name,
    incarnation: host.incarnation,
    isDraining: isDraining(),
    isReady: configuration.isReady(),
    loads: createLoads(daemon),
    region,
    uptimeMilliseconds: host.clock() - startedAt,
    version: DAEMON_VERSION,
  };
}

/**
 * Creates the services of the administration API.
 *
 * @example
 * registerAdministration(host, server, createAdministrationServices(daemon), timeline);
 */
export function createAdministrationServices(
  daemon: AdministeredDaemon,
): AdministrationServices {
  return {
    configuration: daemon.configuration,
    drain: daemon.drain,
    getMembers: () => daemon.membership.getView().getDaemons(),
    getStatus: () => createStatus(daemon),
    quarantine: createAdministeredQuarantine(daemon.host, daemon.quarantine),
  };
}
