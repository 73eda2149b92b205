/**
 * Learned thresholds of the calls below a route.
 *
 * Pressure far from its cause: an answer carries the highest threshold of the
 * calls that were made for it. A request that those would refuse is shed before
 * any work is done for it.
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

/** Threshold of what lies below each route of each service. */
export class RouteThresholds {
  readonly #routes = new Map<string, RouteThreshold>();

  /** Records the threshold that an answer of the route carried. */
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

  /** Threshold that the calls below the route are believed to have now. */
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
