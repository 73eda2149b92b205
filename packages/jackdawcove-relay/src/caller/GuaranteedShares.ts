/** Share of the requests of each route that is shed last, whatever their importance. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Time constant of the counts. */
const COUNT_MILLISECONDS = 5_000;

/** Shortest time between two updates of the shares. */
const UPDATE_INTERVAL_MILLISECONDS = 200;

/** Requests below which a route is forgotten until it is used again. */
const MINIMUM_COUNT = 0.05;

/** Requests that count as answered, so that a few failures say nothing. */
const PRIOR_REQUESTS = 20;

/**
 * Share of each route, relative to the share of all requests that is answered: a quarter
 * remains if a sixth of the guaranteed requests fail.
 */
const RELATIVE_SHARE = 0.3;

/**
 * Slot time at the service that binds that the routes are guaranteed together, as a share
 * of what the answered requests used there.
 */
const SLOT_TIME_SHARE = 0.5;

type RouteCounts = {
  answered: number;
  requests: number;
  updatedAt: Milliseconds;
};

/** Mean slot time of one request of a route at the service that binds. */
export type RouteCost = readonly [route: string, slotMilliseconds: number];

/**
 * Answers a shortage that lasts, in which the more important requests alone need all that
 * is left: without a guarantee the others get nothing as long as it lasts. Each route keeps
 * a part of what all get, or a part of the scarce slot time where that serves more of its
 * requests.
 */
export class GuaranteedShares {
  readonly #routes = new Map<string, RouteCounts>();
  readonly #shares = new Map<string, number>();
  #updatedAt = Number.NEGATIVE_INFINITY;

  /** Counts a root request. */
  countRequest(route: string, now: Milliseconds): void {
    this.#getCounts(route, now).requests += 1;
  }

  /** Counts a root request that was answered with success. */
  countAnswer(route: string, now: Milliseconds): void {
    this.#getCounts(route, now).answered += 1;
  }

  /**
   * Returns the share of the requests of a route that is guaranteed, in [0, 1].
   *
   * @example
   * shares.getShare('prices', () => [['prices', 376]], now); // 0.21
   */
  getShare(
    route: string,
    listCosts: () => Iterable<RouteCost>,
    now: Milliseconds,
  ): number {
    if (now - this.#updatedAt >= UPDATE_INTERVAL_MILLISECONDS) {
      this.#update(new Map(listCosts()), now);
    }
    return this.#shares.get(route) ?? RELATIVE_SHARE;
  }

  #getCounts(route: string, now: Milliseconds): RouteCounts {
    const known = this.#routes.get(route);
    if (known === undefined) {
      const counts = {answered: 0, requests: 0, updatedAt: now};
      this.#routes.set(route, counts);
      return counts;
    }
    const decay = Math.exp((known.updatedAt - now) / COUNT_MILLISECONDS);
    known.answered *= decay;
    known.requests *= decay;
    known.updatedAt = now;
    return known;
  }

  #update(costs: ReadonlyMap<string, number>, now: Milliseconds): void {
    this.#updatedAt = now;
    this.#shares.clear();
    let answered = PRIOR_REQUESTS;
    let requests = PRIOR_REQUESTS;
    let usedSlotTime = 0;
    let usingRoutes = 0;
    for (const route of this.#routes.keys()) {
      const counts = this.#getCounts(route, now);
      if (counts.requests < MINIMUM_COUNT) {
        this.#routes.delete(route);
        continue;
      }
      const cost = costs.get(route) ?? 0;
      answered += counts.answered;
      requests += counts.requests;
      usedSlotTime += counts.answered * cost;
      usingRoutes += cost > 0 ? 1 : 0;
    }
    const relativeShare = RELATIVE_SHARE * Math.min(1, answered / requests);
    const guaranteedTime =
      usingRoutes === 0 ? 0 : (SLOT_TIME_SHARE * usedSlotTime) / usingRoutes;
    for (const [route, counts] of this.#routes) {
      const neededTime = counts.requests * (costs.get(route) ?? 0);
      const timeShare = neededTime === 0 ? 0 : guaranteedTime / neededTime;
      this.#shares.set(route, Math.min(1, Math.max(relativeShare, timeShare)));
    }
  }
}
