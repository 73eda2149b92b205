/** Capacity of a call graph in whole requests a second. */

import type {Scenario} from './ScenarioSettings.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A call that a service makes: method, service, path. */
export type ChildCall = {
  readonly method: string;
  readonly path: string;
  readonly service: string;
};

/**
 * Reads "GET labels /pack" as a call of a service.
 *
 * @example
 * parseChildCall('GET labels /pack').service; // 'labels'
 */
export function parseChildCall(text: string): ChildCall {
  const [method = 'GET', service = '', path = '/'] = text.split(/\s+/);
  return {method, path, service};
}

function getHoldingMilliseconds(scenario: Scenario, service: string): number {
  const settings = scenario.services[service];
  if (settings === undefined) {
    return 0;
  }
  const below = settings.children.map((child) =>
    getHoldingMilliseconds(scenario, parseChildCall(child).service),
  );
  return below.reduce(
    (sum, milliseconds) => sum + milliseconds,
    settings.serviceMilliseconds,
  );
}

function addVisits(
  scenario: Scenario,
  service: string,
  share: number,
  visits: Map<string, number>,
): void {
  visits.set(service, (visits.get(service) ?? 0) + share);
  for (const child of scenario.services[service]?.children ?? []) {
    addVisits(scenario, parseChildCall(child).service, share, visits);
  }
}

/**
 * Returns the rate, in whole requests a second, at which the first service
 * has no free slot. A service holds its slot while its calls run.
 *
 * @example
 * computeCapacity(scenario) * step.rate;
 */
export function computeCapacity(scenario: Scenario): number {
  const loads = Object.values(scenario.loads);
  const total = loads.reduce((sum, {share}) => sum + share, 0);
  const visits = new Map<string, number>();
  for (const {service, share} of loads) {
    addVisits(scenario, service, share / total, visits);
  }
  const rates = [...visits].map(([service, share]) => {
    const settings = scenario.services[service];
    const slots = (settings?.slots ?? 0) * (settings?.instances ?? 0);
    const holding = getHoldingMilliseconds(scenario, service);
    return (slots * MILLISECONDS_PER_SECOND) / (holding * share);
  });
  return Math.min(...rates);
}
