/** Counts offers for the retry budget of the local instance. */

import type {RelayServerOptions} from './RelayServerOptions.js';
import type {OfferPacket} from 'jackdawcove-relay';
import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

import {InstanceRetryBudget} from 'jackdawcove-relay';

type OfferBudgetOptions = Pick<
  RelayServerOptions,
  'host' | 'listCandidates' | 'retryBudget'
>;

/** Admits offers that repeat a call while the budget allows it, and all others. */
export class OfferBudget {
  readonly #budget: InstanceRetryBudget;
  readonly #options: OfferBudgetOptions;

  /** `getService` returns the service of the local instance, once it is known. */
  constructor(
    options: OfferBudgetOptions,
    getService: () => ServiceName | undefined,
  ) {
    this.#budget = new InstanceRetryBudget(
      options.retryBudget,
      () => {
        const service = getService();
        return service === undefined
          ? 0
          : options.listCandidates(service).length;
      },
      options.host.clock(),
    );
    this.#options = options;
  }

  /**
   * Counts an offer; returns false if it repeats a call and too little is left.
   *
   * @example
   * if (!budget.admits(offer, clock())) refuse(offer, 'overBudget');
   */
  admits({isRepeat, role}: OfferPacket, now: Milliseconds): boolean {
    if (role !== 'retry') {
      this.#record(role, isRepeat, now);
      return true;
    }
    const {metrics} = this.#options.host;
    if (!this.#budget.spend(now)) {
      metrics.increment('relay.retryDenied');
      return false;
    }
    metrics.increment('relay.retriedCall');
    return true;
  }

  #record(
    role: OfferPacket['role'],
    isRepeat: boolean,
    now: Milliseconds,
  ): void {
    if (isRepeat) {
      this.#budget.recordRepeat(now);
    } else if (role === 'request') {
      this.#budget.recordRequest(now);
    }
  }
}
