/** Draws the shed ranks of root requests. */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {RankedRequest} from './getShedRank.js';
import type {GuaranteedRequest} from './GuaranteedShares.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {MINIMUM_THRESHOLD} from '../RelayConstants.js';
import {CostOrder} from './CostOrder.js';
import {getShedRank} from './getShedRank.js';
import {GuaranteedShares} from './GuaranteedShares.js';

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
 * binds. The guaranteed share of a route comes before all of them. The calls of a
 * request inherit its rank.
 */
export class ShedRanks {
  readonly #costOrder: CostOrder;
  readonly #guaranteedShares = new GuaranteedShares();
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
    const firstRank = getShedRank({...request, cohort: 0});
    const guaranteed = {firstRank, route};
    this.#guaranteedShares.countRequest(guaranteed, now);
    if (drawn < this.#getGuaranteedShare(guaranteed, now)) {
      return Math.floor(drawn * MINIMUM_THRESHOLD);
    }
    return getShedRank({...request, cohort});
  }

  /** Records that a root request was answered with success. */
  recordAnswer(route: string, now: Milliseconds): void {
    this.#guaranteedShares.countAnswer(route, now);
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

  #getGuaranteedShare(request: GuaranteedRequest, now: Milliseconds): number {
    return this.#guaranteedShares.getShare(
      request,
      () => this.#costOrder.listBindingCosts(),
      now,
    );
  }
}
