/** Admits requests at their root by what their trees of calls need below it. */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {PROBE_RANKS, RANKS_PER_IMPORTANCE} from '../RelayConstants.js';
import {RouteCosts} from './RouteCosts.js';
import {ServiceThresholds} from './ServiceThresholds.js';

/** A request at its root. */
export type RootRequest = {
  readonly route: string;
  /** Service that runs the request itself. */
  readonly service: string;
  readonly shedRank: number;
};

/**
 * Answers load in which one service binds and is reached through calls: a request that is
 * admitted and loses one of its calls has wasted the others. A request is admitted if its
 * rank lies below the thresholds of all services that its route is known to use, so
 * requests that never reach an overloaded service are not refused for it.
 */
export class TreeAdmission {
  readonly #costs = new RouteCosts();
  readonly #thresholds = new ServiceThresholds();

  /**
   * Returns the service because of which a request is refused; undefined: admitted.
   *
   * @example
   * admission.findBindingService({route: 'prices', service: 'shelf', shedRank: 2_417}, now);
   */
  findBindingService(
    {route, service, shedRank}: RootRequest,
    now: Milliseconds,
  ): string | undefined {
    // Probes: the lowest cohorts of each importance show the demand that is refused.
    if (shedRank % RANKS_PER_IMPORTANCE < PROBE_RANKS) {
      return undefined;
    }
    const used = this.#costs.getUsedServices(route);
    if (used === undefined || used.length === 0) {
      return shedRank >= this.#thresholds.get(service, now)
        ? service
        : undefined;
    }
    for (const usedService of used) {
      if (shedRank >= this.#thresholds.get(usedService, now)) {
        return usedService;
      }
    }
    return undefined;
  }

  /** Records what a root request used; `isComplete` if it was answered with success. */
  recordRoot(
    route: string,
    costs: readonly ServiceCost[],
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    this.#costs.record(route, costs, isComplete, now);
  }

  /** Records the thresholds that any answer or failure carried. */
  recordThresholds(costs: readonly ServiceCost[], now: Milliseconds): void {
    this.#thresholds.recordAll(costs, now);
  }

  /** Returns the threshold of a service as this daemon knows it. */
  getThreshold(service: string, now: Milliseconds): number {
    return this.#thresholds.get(service, now);
  }

  /** Returns the mean slot time at a service of the requests of each route. */
  listCosts(service: string): readonly (readonly [string, number])[] {
    return this.#costs.listCosts(service);
  }

  /** Returns the names of the services whose thresholds were heard. */
  listServices(): Iterable<string> {
    return this.#thresholds.listServices();
  }
}
