/** Capacity of a call graph in root requests per second. */

import type {Scenario} from './ScenarioSettings.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A call that a service makes: method, service, path. */
export type ChildCall = {
  readonly method: string;
  readonly path: string;
  readonly service: string;
};

/**
 * Parses a call of a service, such as "GET labels /pack".
 *
 * @example
 * parseChildCall('GET labels /pack').service; // 'labels'
 */
export function parseChildCall(text: string): ChildCall {
  const [method = 'GET', service = '', path = '/'] = text.split(/\s+/);
  return {method, path, service};
}

function computeSlotHoldMilliseconds(
  scenario: Scenario,
  service: string,
): number {
  const settings = scenario.services[service];
  if (settings === undefined) {
    return 0;
  }
  const childHoldMilliseconds = settings.children.map((child) =>
    computeSlotHoldMilliseconds(scenario, parseChildCall(child).service),
  );
  return childHoldMilliseconds.reduce(
    (sum, milliseconds) => sum + milliseconds,
    settings.serviceMilliseconds,
  );
}

function addVisitRatios(
  scenario: Scenario,
  service: string,
  visitRatio: number,
  visitRatios: Map<string, number>,
): void {
  visitRatios.set(service, (visitRatios.get(service) ?? 0) + visitRatio);
  for (const child of scenario.services[service]?.children ?? []) {
    addVisitRatios(
      scenario,
      parseChildCall(child).service,
      visitRatio,
      visitRatios,
    );
  }
}

/**
 * Returns the rate, in root requests per second, at which the bottleneck service
 * has no free slot left. A request holds its slot while the calls to the children
 * of its service run.
 *
 * @example
 * computeCapacity(scenario) * step.rate;
 */
export function computeCapacity(scenario: Scenario): number {
  const loads = Object.values(scenario.loads);
  const totalShare = loads.reduce((sum, {share}) => sum + share, 0);
  const visitRatios = new Map<string, number>();
  for (const {service, share} of loads) {
    addVisitRatios(scenario, service, share / totalShare, visitRatios);
  }
  const rates = [...visitRatios].map(([service, visitRatio]) => {
    const settings = scenario.services[service];
    const slots = (settings?.slots ?? 0) * (settings?.instances ?? 0);
    const holdMilliseconds = computeSlotHoldMilliseconds(scenario, service);
    return (slots * MILLISECONDS_PER_SECOND) / (holdMilliseconds * visitRatio);
  });
  return Math.min(...rates);
}
