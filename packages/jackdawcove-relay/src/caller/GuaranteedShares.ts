/** Share of the requests of each route that is shed last, whatever their importance. */

import type {Milliseconds} from 'jackdawcove-shared';

import {RANK_COUNT} from '../RelayConstants.js';

/** Time constant of the counts. */
const COUNT_MILLISECONDS = 10_000;

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
 * Answered share of a route, relative to that of all requests, up to which its relative
 * guarantee is whole, and from which it has none.
 */
const FULL_GUARANTEE_RATIO = 0.4;
const NO_GUARANTEE_RATIO = 0.6;

/**
 * Slot time at the service that binds that the routes are guaranteed together, as a share
 * of what the answered requests used there.
 */
const SLOT_TIME_SHARE = 0.5;

type RouteCounts = {
  answered: number;
  /** Lowest rank that a recent request can have without a guarantee, and its time. */
  firstRank: number;
  firstRankSeenAt: Milliseconds;
  requests: number;
  updatedAt: Milliseconds;
};

/** A root request, before its rank is known. */
export type GuaranteedRequest = {
  /** Lowest rank that the importance of the request allows. */
  readonly firstRank: number;
  readonly route: string;
};

/** Mean slot time of one request of a route at the service that binds. */
export type RouteCost = readonly [route: string, slotMilliseconds: number];

/**
 * Answers a shortage that lasts, in which the more important requests alone need all that
 * is left: without a guarantee the others get nothing as long as it lasts. Each route keeps
 * a part of what all get while it is answered far less often than they are, or a part of
 * the scarce slot time where that serves more of its requests. The most important requests
 * that use the service need no guarantee.
 */
export class GuaranteedShares {
  /** Least first rank of the requests that use the service that binds. */
  #leastFirstRank = RANK_COUNT;
  readonly #routes = new Map<string, RouteCounts>();
  readonly #shares = new Map<string, number>();
  #updatedAt = Number.NEGATIVE_INFINITY;

  /** Counts a root request. */
  countRequest({firstRank, route}: GuaranteedRequest, now: Milliseconds): void {
    const counts = this.#getCounts(route, now);
    counts.requests += 1;
    const isExpired = now - counts.firstRankSeenAt > COUNT_MILLISECONDS;
    if (firstRank <= counts.firstRank || isExpired) {
      counts.firstRank = firstRank;
      counts.firstRankSeenAt = now;
    }
  }

  /** Counts a root request that was answered with success. */
  countAnswer(route: string, now: Milliseconds): void {
    this.#getCounts(route, now).answered += 1;
  }

  /**
   * Returns the share of such requests that is guaranteed, in [0, 1]. `listCosts` returns
   * nothing while no service binds.
   *
   * @example
   * shares.getShare({firstRank: 2_000, route: 'prices'}, () => [['prices', 376]], now); // 0.21
   */
  getShare(
    {firstRank, route}: GuaranteedRequest,
    listCosts: () => Iterable<RouteCost>,
    now: Milliseconds,
  ): number {
    if (now - this.#updatedAt >= UPDATE_INTERVAL_MILLISECONDS) {
      this.#update(new Map(listCosts()), now);
    }
    return firstRank > this.#leastFirstRank
      ? (this.#shares.get(route) ?? 0)
      : 0;
  }

  #getCounts(route: string, now: Milliseconds): RouteCounts {
    const known = this.#routes.get(route);
    if (known === undefined) {
      const counts = {
        answered: 0,
        firstRank: RANK_COUNT,
        firstRankSeenAt: now,
        requests: 0,
        updatedAt: now,
      };
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
    this.#leastFirstRank = RANK_COUNT;
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
      if (cost > 0) {
        usedSlotTime += counts.answered * cost;
        usingRoutes += 1;
        this.#leastFirstRank = Math.min(this.#leastFirstRank, counts.firstRank);
      }
    }
    const answeredShare = Math.min(1, answered / requests);
    const guaranteedTime = (SLOT_TIME_SHARE * usedSlotTime) / usingRoutes;
    for (const [route, counts] of this.#routes) {
      const neededTime = counts.requests * (costs.get(route) ?? 0);
      if (neededTime > 0) {
        const ratio = getAnsweredShare(counts) / answeredShare;
        const relative =
          RELATIVE_SHARE * answeredShare * getGuaranteeWeight(ratio);
        const time = guaranteedTime / neededTime;
        this.#shares.set(route, Math.min(1, Math.max(relative, time)));
      }
    }
  }
}

function getAnsweredShare({answered, requests}: RouteCounts): number {
  return (answered + 1) / (requests + 1);
}

/** Returns the part of its relative guarantee that a route keeps. */
function getGuaranteeWeight(ratio: number): number {
  const range = NO_GUARANTEE_RATIO - FULL_GUARANTEE_RATIO;
  return Math.min(1, Math.max(0, (NO_GUARANTEE_RATIO - ratio) / range));
}
