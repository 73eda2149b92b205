/** Expected time of a request at an instance, relative to its mean run time. */

import type {InstanceStats} from './InstanceStats.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {getDecayedSlowness, isLoadFresh} from './InstanceStats.js';

/** What the expected time at an instance depends on. */
export type LoadCostInput = {
  readonly now: Milliseconds;
  readonly slots: number;
  readonly stats: InstanceStats;
};

/** Lower bound of the success share in the cost of an instance. */
const MINIMUM_SUCCESS_SHARE = 0.05;

/** Failed runs are repeated elsewhere, so they count as much as slow ones. */
function addFailures(cost: number, {failureShare}: InstanceStats): number {
  const successShare = Math.max(MINIMUM_SUCCESS_SHARE, 1 - failureShare);
  return cost / (successShare * successShare);
}

/**
 * Returns the expected time at an instance, as a multiple of the mean run time, by the
 * number of requests there.
 *
 * @example
 * getLoadCost({now, slots: 20, stats}); // 1.3
 */
export function getLoadCost({now, slots, stats}: LoadCostInput): number {
  const {load, outstanding} = stats;
  const reportedCount =
    load !== undefined && isLoadFresh(stats, now)
      ? load.running + load.queued
      : 0;
  const limit = Math.max(1, load?.limit ?? slots);
  const utilization = (Math.max(reportedCount, outstanding) + 1) / limit;
  // Requests beyond the limit wait for whole runs.
  const queueingCost = utilization > 1 ? (utilization - 1) * 2 : 0;
  const time =
    getDecayedSlowness(stats, now) *
    (1 + utilization * utilization + queueingCost);
  return addFailures(time, stats);
}
