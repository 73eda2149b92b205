/** Routes of the configuration that this daemon has applied. */

import type {AppliedConfiguration} from '../control/ConfigurationService.js';
import type {DocumentFormat} from './EmbeddingTypes.js';
import type {Quota} from 'jackdawcove-quota';
import type {CallerLimits, Organisation, Route} from 'jackdawcove-routes';

import {OrganisationTable} from 'jackdawcove-organisations';
import {
  DEFAULT_CALLER_LIMITS,
  RouteTable,
  TrafficSplitter,
} from 'jackdawcove-routes';

/** A request with its route resolved. */
export type RoutedTarget = {
  readonly route: Route;
  readonly service: string;
};

/** Looks up routes in the configuration that was applied last. */
export class RouteSource {
  readonly #format: DocumentFormat;
  #limits = DEFAULT_CALLER_LIMITS;
  #organisations: OrganisationTable | undefined;
  #quotas: ReadonlyMap<string, Quota> = new Map();
  #revision = 0;
  readonly #splitter = new TrafficSplitter();
  #table = new RouteTable([]);

  constructor(format: DocumentFormat) {
    this.#format = format;
  }

  /** Replaces the routes and limits by those of an applied configuration. */
  apply({documentText, revision}: AppliedConfiguration): void {
    if (revision === 0) {
      return;
    }
    const {limits, organisations, routes} = this.#format.read(documentText);
    this.#limits = limits;
    this.#organisations = organisations && new OrganisationTable(organisations);
    this.#quotas = createQuotas(organisations ?? []);
    this.#table = new RouteTable(routes);
    this.#splitter.retain(routes);
    this.#revision = revision;
  }

  getLimits(): CallerLimits {
    return this.#limits;
  }

  /** Returns the organisations by key; undefined if requests carry no keys. */
  getOrganisations(): OrganisationTable | undefined {
    return this.#organisations;
  }

  /** Returns the quota of an organisation; undefined if it has no limit. */
  findQuota(organisation: string): Quota | undefined {
    return this.#quotas.get(organisation);
  }

  /** Whether any organisation has a quota. */
  hasQuotas(): boolean {
    return this.#quotas.size > 0;
  }

  /** Returns the applied revision; 0 if none was applied yet. */
  getRevision(): number {
    return this.#revision;
  }

  /** Finds the route of a request and picks the service that receives it. */
  resolve(hostName: string, path: string): RoutedTarget | undefined {
    const route = this.#table.find(hostName, path);
    return route && {route, service: this.#splitter.pick(route)};
  }
}

function createQuotas(
  organisations: readonly Organisation[],
): ReadonlyMap<string, Quota> {
  const quotas = new Map<string, Quota>();
  for (const {burst = 0, name, requestsPerSecond} of organisations) {
    if (requestsPerSecond !== undefined) {
      quotas.set(name, {burst, organisation: name, requestsPerSecond});
    }
  }
  return quotas;
}
