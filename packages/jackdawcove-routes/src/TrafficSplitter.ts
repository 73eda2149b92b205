/** Weighted distribution of the requests of a route over its services. */

import type {Route, RouteTarget} from './Route.js';

type SplitState = {
  readonly credits: number[];
  readonly targets: readonly RouteTarget[];
  /** In proportion to those of the targets, with a finite sum. */
  readonly weights: readonly number[];
};

function createFiniteWeights(targets: readonly RouteTarget[]): number[] {
  const weights = targets.map(({weight}) => weight);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const greatest = Math.max(...weights);
  return Number.isFinite(sum)
    ? weights
    : weights.map((weight) => weight / greatest);
}

/**
 * Smooth weighted round robin: any sequence of requests is split as close to the
 * weights as whole requests allow, and no service receives a burst.
 */
export class TrafficSplitter {
  #states = new Map<string, SplitState>();

  /**
   * Returns the service that the next request of a route goes to.
   *
   * @example
   * splitter.pick(route); // 'orders'
   */
  pick(route: Route): string {
    const [first] = route.targets;
    if (first !== undefined && route.targets.length === 1) {
      return first.service;
    }
    const {credits, targets, weights} = this.#getState(route);
    let total = 0;
    let best = 0;
    for (const [index, weight] of weights.entries()) {
      const credit = (credits[index] ?? 0) + weight;
      credits[index] = credit;
      total += weight;
      best = credit > (credits[best] ?? 0) ? index : best;
    }
    credits[best] = (credits[best] ?? 0) - total;
    return (targets[best] as RouteTarget).service;
  }

  /** Drops the state of all other routes, which are no longer configured. */
  retain(routes: readonly Route[]): void {
    const names = new Set(routes.map(({name}) => name));
    this.#states = new Map(
      [...this.#states].filter(([name]) => names.has(name)),
    );
  }

  #getState(route: Route): SplitState {
    const known = this.#states.get(route.name);
    if (known !== undefined && isSameSplit(known.targets, route.targets)) {
      return known;
    }
    const {targets} = route;
    const state = {
      credits: targets.map(() => 0),
      targets,
      weights: createFiniteWeights(targets),
    };
    this.#states.set(route.name, state);
    return state;
  }
}

function isSameSplit(
  left: readonly RouteTarget[],
  right: readonly RouteTarget[],
): boolean {
  return (
    left === right ||
    (left.length === right.length &&
      left.every(
        ({service, weight}, index) =>
          right[index]?.service === service && right[index].weight === weight,
      ))
  );
}
