/** Validation of a set of routes beyond the schema of a single route. */

import type {Route} from './Route.js';

/**
 * Returns one line per fault: two routes with the same host name and path prefix, an
 * undeclared service, a route whose weights are all 0.
 *
 * @example
 * findRouteFaults(routes, new Set(['orders'])); // []
 */
export function findRouteFaults(
  routes: readonly Route[],
  services: ReadonlySet<string>,
): readonly string[] {
  const faults: string[] = [];
  const nameByLocation = new Map<string, string>();
  for (const {hostName, name, pathPrefix, targets} of routes) {
    const location = `${hostName.toLowerCase()}${pathPrefix}`;
    const other = nameByLocation.get(location);
    if (other !== undefined) {
      faults.push(`routes ${other} and ${name} share ${location}`);
    }
    nameByLocation.set(location, name);
    for (const {service} of targets) {
      if (!services.has(service)) {
        faults.push(`route ${name} leads to the unknown service ${service}`);
      }
    }
    if (targets.every(({weight}) => weight === 0)) {
      faults.push(`route ${name} has no service with a weight above 0`);
    }
  }
  return faults;
}
