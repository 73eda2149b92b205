/** Gauges of the state of the daemon for operators. */

import type {DaemonHost, Metrics} from '../DaemonHost.js';
import type {DaemonStatus} from './AdministrationSchemas.js';
import type {AdministrationServices} from './AdministrationServices.js';
import type {DaemonRecord, DaemonState} from 'jackdawcove-membership';
import type {Teardown} from 'jackdawcove-shared';

import {DAEMON_STATES} from 'jackdawcove-membership';

import {STATUS_METRICS_INTERVAL_MILLISECONDS} from './AdministrationConstants.js';

/** Services whose state is reported. */
type MeasuredServices = Pick<
  AdministrationServices,
  'getMembers' | 'getStatus' | 'quarantine'
>;

type MeasuredTimeline = {getDropped(): number};

function sendStatus(metrics: Metrics, status: DaemonStatus): void {
  const {configuration, isDraining, isReady, loads} = status;
  metrics.gauge('daemon.ready', Number(isReady));
  metrics.gauge('daemon.draining', Number(isDraining));
  metrics.gauge('daemon.bufferedBytes', loads.bufferedBytes);
  metrics.gauge('daemon.eventLoopDelay', loads.eventLoopDelayMilliseconds);
  metrics.gauge('daemon.openCalls', loads.openCalls);
  metrics.gauge('daemon.residentBytes', loads.residentBytes);
  metrics.gauge('configuration.revision', configuration.revision);
  metrics.gauge('configuration.confirmed', Number(configuration.isConfirmed));
  const {backendServer} = loads;
  if (backendServer !== undefined) {
    metrics.gauge('backendServer.inFlight', backendServer.inFlight);
    metrics.gauge('backendServer.limit', backendServer.limit);
    metrics.gauge('backendServer.queued', backendServer.queued);
    metrics.gauge(
      'backendServer.queueingDelay',
      backendServer.queueingDelayMilliseconds,
    );
  }
}

function countState(
  members: readonly DaemonRecord[],
  state: DaemonState,
): number {
  return members.filter((member) => member.state === state).length;
}

function sendMembers(metrics: Metrics, members: readonly DaemonRecord[]): void {
  for (const state of DAEMON_STATES) {
    metrics.gauge(`members.${state}`, countState(members, state));
  }
}

/**
 * Reports the state of the daemon as gauges at a fixed interval.
 *
 * @example
 * const teardown = registerStatusMetrics(host, services, timeline);
 */
export function registerStatusMetrics(
  host: Pick<DaemonHost, 'metrics' | 'registerTicker'>,
  services: MeasuredServices,
  timeline: MeasuredTimeline,
): Teardown {
  const {metrics, registerTicker} = host;
  return registerTicker(STATUS_METRICS_INTERVAL_MILLISECONDS, () => {
    const entries = services.quarantine.getEntries();
    sendStatus(metrics, services.getStatus());
    sendMembers(metrics, services.getMembers());
    metrics.gauge(
      'quarantine.quarantined',
      entries.filter(({suspicion}) => suspicion === 'quarantined').length,
    );
    metrics.gauge('timeline.dropped', timeline.getDropped());
  });
}
