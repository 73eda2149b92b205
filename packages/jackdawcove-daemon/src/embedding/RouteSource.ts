/** Routes of the configuration that this daemon has applied. */

import type {AppliedConfiguration} from '../control/ConfigurationService.js';
import type {DocumentFormat} from './EmbeddingTypes.js';
import type {CallPolicy} from 'jackdawcove-call';
import type {CallerLimits, Route} from 'jackdawcove-routes';
import type {Teardown} from 'jackdawcove-shared';

import {
  DEFAULT_CALLER_LIMITS,
  RouteTable,
  TrafficSplitter,
} from 'jackdawcove-routes';

/** Calls below a call that a routed request may lead to. */
const MAXIMUM_ROUTED_DEPTH = 64;

/** Instances asked after refusals by daemons: more of them cost more than they find. */
const MAXIMUM_FREE_REDIRECTS = 3;

/** Receives the limits of each newly applied configuration. */
export type LimitsListener = (limits: CallerLimits) => void;

/** A request with its route resolved. */
export type RoutedTarget = {
  readonly policy: CallPolicy;
  readonly route: Route;
  readonly service: string;
};

/** Swaps in each applied configuration and answers look-ups from it. */
export class RouteSource {
  readonly #format: DocumentFormat;
  #limits = DEFAULT_CALLER_LIMITS;
  readonly #limitsListeners = new Set<LimitsListener>();
  #revision = 0;
  readonly #splitter = new TrafficSplitter();
  #table = new RouteTable([]);

  constructor(format: DocumentFormat) {
    this.#format = format;
  }

  /** Puts an applied configuration in force. */
  apply({documentText, revision}: AppliedConfiguration): void {
    if (revision === 0) {
      return;
    }
    const {limits, routes} = this.#format.read(documentText);
    this.#limits = limits;
    this.#table = new RouteTable(routes);
    this.#splitter.retain(routes);
    this.#revision = revision;
    for (const listener of this.#limitsListeners) {
      listener(limits);
    }
  }

  /** Tells a listener of the limits of each configuration from now on. */
  registerLimitsListener(listener: LimitsListener): Teardown {
    this.#limitsListeners.add(listener);
    return () => {
      this.#limitsListeners.delete(listener);
    };
  }

  getLimits(): CallerLimits {
    return this.#limits;
  }

  /** Applied revision; 0 before the first. */
  getRevision(): number {
    return this.#revision;
  }

  /** Tells whether a route leads to the service. */
  hasService(service: string): boolean {
    return this.#table.hasService(service);
  }

  /** Finds the route of a request and picks the service that it goes to. */
  resolve(hostName: string, path: string): RoutedTarget | undefined {
    const route = this.#table.find(hostName, path);
    return (
      route && {
        policy: createPolicy(route, this.#revision),
        route,
        service: this.#splitter.pick(route),
      }
    );
  }
}

function createPolicy(route: Route, revision: number): CallPolicy {
  return {
    freeRedirects: MAXIMUM_FREE_REDIRECTS,
    importance: route.importance,
    isIdempotent: route.isIdempotent,
    maximumDepth: MAXIMUM_ROUTED_DEPTH,
    retryAllowance: route.attempts - 1,
    revision,
    route: route.name,
    timeoutMilliseconds: route.timeoutMilliseconds,
    usesLedger: false,
  };
}
