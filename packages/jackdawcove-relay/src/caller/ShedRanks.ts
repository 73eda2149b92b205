/** Draws the shed ranks of root requests. */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {RankedRequest} from './getShedRank.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {CostOrder} from './CostOrder.js';
import {getShedRank} from './getShedRank.js';

/** A root request, before its rank is known. */
export type UnrankedRequest = Omit<RankedRequest, 'cohort'> & {
  readonly route: string;
};

/** Dependencies of the shed ranks. */
export type ShedRanksOptions = {
  /** Share in (0, 1] of the cheapest route's rate that the others keep. */
  readonly fairShare: number;
  readonly randomNumber: RandomNumber;
};

/**
 * Ranks root requests by importance and, within one, by what they cost the service that
 * binds. The calls of a request inherit its rank.
 */
export class ShedRanks {
  readonly #costOrder: CostOrder;
  readonly #randomNumber: RandomNumber;

  constructor({fairShare, randomNumber}: ShedRanksOptions) {
    this.#costOrder = new CostOrder(fairShare);
    this.#randomNumber = randomNumber;
  }

  /**
   * Draws the rank of a root request.
   *
   * @example
   * const rank = ranks.draw({importance: 'normal', route: 'prices'}, now);
   */
  draw(request: UnrankedRequest, now: Milliseconds): number {
    const {importance, route} = request;
    const drawn = this.#randomNumber();
    const ordered = {cohort: drawn, importance, route};
    const cohort = this.#costOrder.getCohort(ordered, now);
    return getShedRank({...request, cohort});
  }

  /** Records what a root request used; `isComplete` if it was answered with success. */
  recordCosts(
    route: string,
    costs: readonly ServiceCost[],
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    this.#costOrder.recordRoot(route, costs, isComplete, now);
  }
}
