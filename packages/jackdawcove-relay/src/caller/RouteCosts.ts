/** What the requests of each route use below their root, learned from answers. */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** Weight of the newest request in a route's moving averages. */
const COST_WEIGHT = 0.05;

/** Requests after which the averages of a new route move with `COST_WEIGHT`. */
const LEARNING_REQUESTS = 1 / COST_WEIGHT;

/** Routes whose costs are kept; the one that was used least recently is dropped. */
const MAXIMUM_ROUTES = 512;

type RouteState = {
  /** Mean slot time by service. */
  readonly means: Map<string, number>;
  samples: number;
  updatedAt: Milliseconds;
};

/**
 * Learns by route how much slot time one request uses at each service. It answers load
 * that arrives as calls: a request has to be admitted by what its whole tree needs. A
 * request that failed may have been cut short, so it can raise a mean but not lower it.
 */
export class RouteCosts {
  readonly #routes = new Map<string, RouteState>();

  /**
   * Records what one request used at each service.
   *
   * @example
   * costs.record('prices', [{service: 'stock', slotMilliseconds: 376, threshold: 2_400}], true, now);
   */
  record(
    route: string,
    costs: readonly ServiceCost[],
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    const state = this.#getState(route, now);
    state.samples += isComplete ? 1 : 0;
    state.updatedAt = now;
    const weight = Math.max(
      COST_WEIGHT,
      1 / Math.min(LEARNING_REQUESTS, Math.max(1, state.samples)),
    );
    for (const {service, slotMilliseconds} of costs) {
      const mean = state.means.get(service) ?? 0;
      if (isComplete || slotMilliseconds > mean) {
        state.means.set(service, mean + weight * (slotMilliseconds - mean));
      }
    }
    if (isComplete) {
      this.#decayUnused(state, costs, weight);
    }
  }

  /** Returns the routes that reach a service, with their mean slot time there. */
  listCosts(service: string): readonly (readonly [string, number])[] {
    const costs: (readonly [string, number])[] = [];
    for (const [route, {means}] of this.#routes) {
      const mean = means.get(service);
      if (mean !== undefined) {
        costs.push([route, Math.round(mean)]);
      }
    }
    return costs;
  }

  /** Lowers the means of services that a complete request did not use. */
  #decayUnused(
    {means}: RouteState,
    costs: readonly ServiceCost[],
    weight: number,
  ): void {
    for (const [service, mean] of means) {
      if (!costs.some((cost) => cost.service === service)) {
        const lowered = mean * (1 - weight);
        if (lowered < 1) {
          means.delete(service);
        } else {
          means.set(service, lowered);
        }
      }
    }
  }

  #getState(route: string, now: Milliseconds): RouteState {
    const known = this.#routes.get(route);
    if (known !== undefined) {
      return known;
    }
    if (this.#routes.size >= MAXIMUM_ROUTES) {
      this.#removeOldest();
    }
    const state: RouteState = {
      means: new Map(),
      samples: 0,
      updatedAt: now,
    };
    this.#routes.set(route, state);
    return state;
  }

  #removeOldest(): void {
    let oldest: string | undefined;
    let oldestAt = Number.POSITIVE_INFINITY;
    for (const [route, {updatedAt}] of this.#routes) {
      if (updatedAt < oldestAt) {
        oldest = route;
        oldestAt = updatedAt;
      }
    }
    if (oldest !== undefined) {
      this.#routes.delete(oldest);
    }
  }
}
