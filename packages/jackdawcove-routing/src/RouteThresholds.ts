/**
 * Shed thresholds of routes, learned from answers.
 *
 * An answer carries the highest threshold among the calls that were made for it. A
 * request that one of these calls would refuse is shed before any work is done for it,
 * even though the overloaded service is several hops away.
 */

import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

import {
  ROUTE_THRESHOLD_FALL_WEIGHT,
  ROUTE_THRESHOLD_RISE_WEIGHT,
} from './RoutingConstants.js';
import {decayThreshold} from './RoutingUtils.js';

type RouteThreshold = {
  observedAt: Milliseconds;
  threshold: number;
};

const MAXIMUM_ROUTES = 10_000;

/** Thresholds of the downstream calls of each route of each service. */
export class RouteThresholds {
  readonly #routes = new Map<string, RouteThreshold>();

  /** Records the threshold that an answer on the route carried. */
  observe(
    service: ServiceName,
    route: string,
    threshold: number,
    now: Milliseconds,
  ): void {
    const key = getRouteKey(service, route);
    const known = this.#routes.get(key);
    if (known !== undefined) {
      const previous = decayThreshold(known.threshold, now - known.observedAt);
      const weight =
        threshold < previous
          ? ROUTE_THRESHOLD_FALL_WEIGHT
          : ROUTE_THRESHOLD_RISE_WEIGHT;
      known.threshold = previous + (threshold - previous) * weight;
      known.observedAt = now;
      return;
    }
    if (threshold > 0 && this.#routes.size < MAXIMUM_ROUTES) {
      this.#routes.set(key, {observedAt: now, threshold});
    }
  }

  /** Estimated current threshold of the downstream calls of a route. */
  getThreshold(service: ServiceName, route: string, now: Milliseconds): number {
    const known = this.#routes.get(getRouteKey(service, route));
    return known === undefined
      ? 0
      : decayThreshold(known.threshold, now - known.observedAt);
  }
}

function getRouteKey(service: ServiceName, route: string): string {
  return `${service} ${route}`;
}
