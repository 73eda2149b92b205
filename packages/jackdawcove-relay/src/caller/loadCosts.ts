/** Expected time of a request at an instance, relative to its mean run time. */

import type {InstanceStats} from './InstanceStats.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MAXIMUM_SLOTS} from 'jackdawcove-shared';

import {getDecayedSlowness} from './InstanceStats.js';

/** What the expected time at an instance depends on. */
export type LoadCostInput = {
  readonly now: Milliseconds;
  readonly slots: number;
  readonly stats: InstanceStats;
};

/** Half-life of the reported number of requests: several short runs. */
const REPORTED_COUNT_HALF_LIFE_MILLISECONDS = 700;

/** Lower bound of the success share in the cost of an instance. */
const MINIMUM_SUCCESS_SHARE = 0.05;

/** Failed runs are repeated elsewhere, so they count as much as slow ones. */
function addFailures(cost: number, {failureShare}: InstanceStats): number {
  const successShare = Math.max(MINIMUM_SUCCESS_SHARE, 1 - failureShare);
  return cost / (successShare * successShare);
}

/**
 * Returns the share of its slots that an instance would use with one more request; above
 * one, the request would wait.
 *
 * @example
 * getUtilization({now, slots: 20, stats}); // 0.65
 */
export function getUtilization({now, slots, stats}: LoadCostInput): number {
  const {outstanding} = stats;
  const limit = Math.max(1, getReportedLimit(stats) ?? slots);
  return (Math.max(getReportedCount(stats, now), outstanding) + 1) / limit;
}

/**
 * Limit by the last report, unless it says nothing about the instance: 0 was reported
 * between two announcements, and more than the most slots came from a wrong one.
 */
function getReportedLimit({load}: InstanceStats): number | undefined {
  return load !== undefined && load.limit >= 1 && load.limit <= MAXIMUM_SLOTS
    ? load.limit
    : undefined;
}

/**
 * Requests at the instance by its last report, which fades as they end. It handles full
 * instances that many callers share: an avoided one sends no reports, and without its last
 * one all callers would soon take it for an empty one.
 */
function getReportedCount(
  {load, loadReceivedAt}: InstanceStats,
  now: Milliseconds,
): number {
  if (load === undefined) {
    return 0;
  }
  const halfLives =
    (now - loadReceivedAt) / REPORTED_COUNT_HALF_LIFE_MILLISECONDS;
  return (load.running + load.queued) * 0.5 ** halfLives;
}

/**
 * Returns the expected time at an instance, as a multiple of the mean run time, by the
 * number of requests there.
 *
 * @example
 * getLoadCost({now, slots: 20, stats}); // 1.3
 */
export function getLoadCost(input: LoadCostInput): number {
  const {now, stats} = input;
  const utilization = getUtilization(input);
  // Requests beyond the limit wait for whole runs.
  const queueingCost = utilization > 1 ? (utilization - 1) * 2 : 0;
  const time =
    getDecayedSlowness(stats, now) *
    (1 + utilization * utilization + queueingCost);
  return addFailures(time, stats);
}
