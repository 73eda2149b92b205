/** Reports the bytes sent to other daemons, apart for other availability zones. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {SessionPool} from 'jackdawcove-session';
import type {AvailabilityZoneName, Teardown} from 'jackdawcove-shared';

import {formatAddress} from 'jackdawcove-shared';

/** Interval at which counts are reported. */
const TRAFFIC_INTERVAL_MILLISECONDS = 5_000;

type Scope = 'otherZones' | 'ownZone' | 'unknownZone';

/** Maps names and addresses of daemons to their availability zones. */
function mapDestinations(
  membership: Pick<MembershipService, 'getView'>,
): ReadonlyMap<string, AvailabilityZoneName> {
  const daemons = membership.getView().getDaemons();
  return new Map(
    daemons.flatMap(({address, availabilityZone, name}) => [
      [name, availabilityZone],
      [formatAddress(address), availabilityZone],
    ]),
  );
}

/**
 * Counts the bytes sent to other daemons, and logs those sent to other availability zones
 * when the daemon stops.
 *
 * @example
 * const teardown = registerTrafficMetrics(host, sessions, membership);
 */
export function registerTrafficMetrics(
  host: Pick<DaemonHost, 'log' | 'metrics' | 'registerTicker' | 'settings'>,
  sessions: Pick<SessionPool, 'takeSentBytes'>,
  membership: Pick<MembershipService, 'getView'>,
): Teardown {
  const {log, metrics, registerTicker, settings} = host;
  const ownZone = settings.daemon.availabilityZone;
  const otherZonesTotals: Record<string, number> = {};
  const report = (): void => {
    const zones = mapDestinations(membership);
    for (const {byteCount, destination, kind} of sessions.takeSentBytes()) {
      const zone = zones.get(destination);
      const scope: Scope =
        zone === undefined
          ? 'unknownZone'
          : zone === ownZone
            ? 'ownZone'
            : 'otherZones';
      metrics.increment(`traffic.${scope}.${kind}`, byteCount);
      if (scope === 'otherZones') {
        otherZonesTotals[kind] = (otherZonesTotals[kind] ?? 0) + byteCount;
      }
    }
  };
  const stopTicker = registerTicker(TRAFFIC_INTERVAL_MILLISECONDS, report);
  return () => {
    stopTicker();
    report();
    log.info(
      {byteCounts: otherZonesTotals},
      'bytes sent to other availability zones',
    );
  };
}
