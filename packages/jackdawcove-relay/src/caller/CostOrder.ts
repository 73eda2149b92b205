/** Order of shedding within one importance, by what requests cost the binding service. */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {RANK_COUNT, RANKS_PER_IMPORTANCE} from '../RelayConstants.js';
import {RouteCosts} from './RouteCosts.js';
import {ServiceThresholds} from './ServiceThresholds.js';

/** Routes whose costs differ by less than this factor are shed alike. */
const SIMILAR_COST_FACTOR = 1.5;

/** Time constant of the demand of a route. */
const DEMAND_MILLISECONDS = 5_000;

/** Requests below which a route is forgotten until it is used again. */
const MINIMUM_DEMAND = 0.05;

/** Shortest time between two updates of the order. */
const UPDATE_INTERVAL_MILLISECONDS = 200;

/** Sums of shares may exceed 1 by rounding; the rank must stay in its importance. */
const HIGHEST_COHORT = 1 - 1 / RANKS_PER_IMPORTANCE;

/** A root request, before its rank is known. */
export type OrderedRequest = {
  /** Position of the request among those of its route, random, in [0, 1). */
  readonly cohort: number;
  readonly importance: string;
  readonly route: string;
};

type RouteDemand = {
  countedAt: Milliseconds;
  readonly importance: string;
  /** Requests, of which older ones count less. */
  requests: number;
};

/** Positions of the requests of a route within its importance, in [0, 1]. */
type Band = {
  /** Share of the requests that is spread evenly up to `fairEnd`. */
  readonly fairShare: number;
  readonly fairEnd: number;
  /** Where the rest of the requests begins, and how far it reaches. */
  readonly restStart: number;
  readonly restWidth: number;
};

type RouteWork = {
  readonly cost: number;
  readonly route: string;
  readonly work: number;
};

/**
 * Answers overload by requests of one importance that cost the binding service very
 * different amounts: the slot time of one long run serves several requests of short
 * calls. The least expensive routes are shed last, so that more callers are served. As
 * long as those are shed at all, the others are admitted at the fair share of their rate.
 *
 * Cohorts keep their scale: each part of an importance holds the same part of its work,
 * so the thresholds of instances act on them as on random ones.
 */
export class CostOrder {
  readonly #bands = new Map<string, Band>();
  #bindingService: string | undefined;
  readonly #costs = new RouteCosts();
  readonly #demands = new Map<string, RouteDemand>();
  readonly #fairShare: number;
  readonly #thresholds = new ServiceThresholds();
  #updatedAt = Number.NEGATIVE_INFINITY;

  /** `fairShare` in (0, 1]; 1: costs do not count. */
  constructor(fairShare: number) {
    this.#fairShare = fairShare;
  }

  /**
   * Counts a root request and returns its cohort with regard to its cost.
   *
   * @example
   * order.getCohort({cohort: 0.7, importance: 'normal', route: 'prices'}, now); // 0.62
   */
  getCohort(
    {cohort, importance, route}: OrderedRequest,
    now: Milliseconds,
  ): number {
    this.#countRequest(route, importance, now);
    if (now - this.#updatedAt >= UPDATE_INTERVAL_MILLISECONDS) {
      this.#update(now);
    }
    const band = this.#bands.get(route);
    if (band === undefined) {
      return cohort;
    }
    const {fairEnd, fairShare, restStart, restWidth} = band;
    const position =
      cohort < fairShare
        ? (cohort / fairShare) * fairEnd
        : restStart + ((cohort - fairShare) / (1 - fairShare)) * restWidth;
    return Math.min(HIGHEST_COHORT, position);
  }

  /** Returns what the routes cost the service that binds; nothing while none has. */
  listBindingCosts(): readonly (readonly [string, number])[] {
    return this.#bindingService === undefined
      ? []
      : this.#costs.listCosts(this.#bindingService);
  }

  /** Records what a root request used; `isComplete` if it was answered with success. */
  recordRoot(
    route: string,
    costs: readonly ServiceCost[],
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    this.#costs.record(route, costs, isComplete, now);
    this.#thresholds.recordAll(costs, now);
  }

  #countRequest(route: string, importance: string, now: Milliseconds): void {
    const known = this.#demands.get(route);
    if (known?.importance !== importance) {
      this.#demands.set(route, {countedAt: now, importance, requests: 1});
      return;
    }
    const age = now - known.countedAt;
    known.requests = known.requests * Math.exp(-age / DEMAND_MILLISECONDS) + 1;
    known.countedAt = now;
  }

  #update(now: Milliseconds): void {
    this.#updatedAt = now;
    this.#bands.clear();
    this.#bindingService = this.#findBindingService(now);
    if (this.#bindingService === undefined) {
      return;
    }
    for (const works of this.#groupByImportance(this.#bindingService, now)) {
      this.#addBands(works);
    }
  }

  /** The service that binds stays the same until another one does. */
  #findBindingService(now: Milliseconds): string | undefined {
    let lowest = RANK_COUNT;
    let binding = this.#bindingService;
    for (const service of this.#thresholds.listServices()) {
      const threshold = this.#thresholds.get(service, now);
      if (threshold < lowest) {
        lowest = threshold;
        binding = service;
      }
    }
    return binding;
  }

  #groupByImportance(
    service: string,
    now: Milliseconds,
  ): Iterable<RouteWork[]> {
    const groups = new Map<string, RouteWork[]>();
    const costs = new Map(this.#costs.listCosts(service));
    for (const [route, {countedAt, importance, requests}] of this.#demands) {
      const demand =
        requests * Math.exp((countedAt - now) / DEMAND_MILLISECONDS);
      if (demand < MINIMUM_DEMAND) {
        this.#demands.delete(route);
        continue;
      }
      const cost = costs.get(route) ?? 0;
      if (cost > 0) {
        const works = groups.get(importance) ?? [];
        works.push({cost, route, work: cost * demand});
        groups.set(importance, works);
      }
    }
    return groups.values();
  }

  /** Lays out the routes by cost; routes of similar cost share their part. */
  #addBands(works: RouteWork[]): void {
    works.sort((left, right) => left.cost - right.cost);
    const total = sumWork(works);
    const leastExpensive = takeSimilar(works, 0);
    const others = works.slice(leastExpensive.length);
    const fairEnd =
      (sumWork(leastExpensive) + this.#fairShare * sumWork(others)) / total;
    for (const {route} of leastExpensive) {
      this.#bands.set(route, {
        fairEnd,
        fairShare: 1,
        restStart: fairEnd,
        restWidth: 0,
      });
    }
    let restStart = fairEnd;
    for (let index = 0; index < others.length;) {
      const similar = takeSimilar(others, index);
      const restWidth = ((1 - this.#fairShare) * sumWork(similar)) / total;
      for (const {route} of similar) {
        const fairShare = this.#fairShare;
        this.#bands.set(route, {fairEnd, fairShare, restStart, restWidth});
      }
      restStart += restWidth;
      index += similar.length;
    }
  }
}

function sumWork(works: readonly RouteWork[]): number {
  return works.reduce((sum, {work}) => sum + work, 0);
}

/** Returns the routes from an index on that cost about the same. */
function takeSimilar(
  works: readonly RouteWork[],
  start: number,
): readonly RouteWork[] {
  const limit = (works[start]?.cost ?? 0) * SIMILAR_COST_FACTOR;
  return works.slice(start).filter(({cost}) => cost <= limit);
}
