/** Gauges and log lines that show which services bind, and what routes cost there. */

import type {DaemonHost} from '../DaemonHost.js';
import type {TreeAdmission} from 'jackdawcove-relay';
import type {Teardown} from 'jackdawcove-shared';

import {RANK_COUNT} from 'jackdawcove-relay';

import {RateLimitedLog} from '../host/RateLimitedLog.js';

const REPORT_INTERVAL_MILLISECONDS = 5_000;

/** Services and routes that one report names. */
const MAXIMUM_REPORTED = 20;

/**
 * Reports the thresholds of services every few seconds, and logs the ones below the
 * highest with the mean slot time of each route that uses them.
 *
 * @example
 * const teardown = registerTreeMetrics(host, trees);
 */
export function registerTreeMetrics(
  host: DaemonHost,
  trees: TreeAdmission,
): Teardown {
  const log = new RateLimitedLog(host.log, host.clock);
  return host.registerTicker(REPORT_INTERVAL_MILLISECONDS, () => {
    const now = host.clock();
    const services = [...trees.listServices()].slice(0, MAXIMUM_REPORTED);
    for (const service of services) {
      const threshold = Math.round(trees.getThreshold(service, now));
      host.metrics.gauge(`relay.threshold.${service}`, threshold);
      if (threshold < RANK_COUNT) {
        const slotMillisecondsByRoute = Object.fromEntries(
          trees.listCosts(service).slice(0, MAXIMUM_REPORTED),
        );
        log.write(
          `relay.threshold.${service}`,
          {service, slotMillisecondsByRoute, threshold},
          'service is short of slots',
        );
      }
    }
  });
}
