/** What a served offer used, for the report to its caller. */

import type {ServedOffer} from './ServedOffer.js';
import type {ServiceCost} from 'jackdawcove-relay';
import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

import {ServiceCostSum} from 'jackdawcove-relay';

import {RANKS_PER_COST_REPORT} from './RelayConstants.js';

/**
 * Returns the slot time that an offer and the calls of its run used, with the thresholds
 * of the services; an offer that was refused has used none. Undefined for the ranks that
 * report nothing: a request and its calls have one rank, so a tree reports as a whole.
 *
 * @example
 * listRunCosts(served, 'stock', load.threshold, clock());
 */
export function listRunCosts(
  {run, runStartedAt, shedRank}: ServedOffer,
  service: ServiceName | undefined,
  threshold: number,
  now: Milliseconds,
): readonly ServiceCost[] | undefined {
  if (shedRank % RANKS_PER_COST_REPORT !== 0) {
    return undefined;
  }
  const sum = run?.getCosts() ?? new ServiceCostSum();
  if (service !== undefined) {
    sum.add(service, run === undefined ? 0 : now - runStartedAt, threshold);
  }
  return sum.list();
}
