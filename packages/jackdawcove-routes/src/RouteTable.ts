/** Lookup of routes by host name and longest path prefix. */

import type {Route} from './Route.js';

type HostTable = {
  readonly byPrefix: ReadonlyMap<string, Route>;
  /** Lengths of the prefixes, longest first. */
  readonly prefixLengths: readonly number[];
};

const QUERY_SEPARATOR = '?';

/** Immutable route table; a lookup takes one step per distinct prefix length. */
export class RouteTable {
  readonly #byHost: ReadonlyMap<string, HostTable>;
  readonly #services: ReadonlySet<string>;

  constructor(routes: readonly Route[]) {
    this.#byHost = groupByHost(routes);
    this.#services = new Set(
      routes.flatMap(({targets}) => targets.map(({service}) => service)),
    );
  }

  /**
   * Returns the route of a request, or undefined when there is none.
   *
   * @example
   * table.find('shop.example', '/prices/7?currency=eur')?.name;
   */
  find(hostName: string, path: string): Route | undefined {
    const host = this.#byHost.get(hostName.toLowerCase());
    if (host === undefined) {
      return undefined;
    }
    const queryStart = path.indexOf(QUERY_SEPARATOR);
    const pathLength = queryStart < 0 ? path.length : queryStart;
    for (const length of host.prefixLengths) {
      const route =
        length <= pathLength
          ? host.byPrefix.get(path.slice(0, length))
          : undefined;
      if (route !== undefined) {
        return route;
      }
    }
    return undefined;
  }

  /** Returns whether any route targets the service. */
  hasService(service: string): boolean {
    return this.#services.has(service);
  }
}

function groupByHost(routes: readonly Route[]): Map<string, HostTable> {
  const groups = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const hostName = route.hostName.toLowerCase();
    const group = groups.get(hostName) ?? new Map<string, Route>();
    group.set(route.pathPrefix, route);
    groups.set(hostName, group);
  }
  return new Map(
    [...groups].map(([hostName, byPrefix]) => {
      const lengths = new Set([...byPrefix.keys()].map(({length}) => length));
      const prefixLengths = [...lengths].sort((left, right) => right - left);
      return [hostName, {byPrefix, prefixLengths}];
    }),
  );
}
