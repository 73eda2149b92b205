/** Expected time of a request at an instance, relative to its mean run time. */

import type {InstanceStats} from './InstanceStats.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {getDecayedSlowness, isLoadFresh} from './InstanceStats.js';

/** What the expected time at an instance depends on. */
export type LoadCostInput = {
  /** Mean run time of the requests of the same route; 0 if it is not known yet. */
  readonly meanRunTime: Milliseconds;
  readonly now: Milliseconds;
  readonly slots: number;
  readonly stats: InstanceStats;
};

/** Returns the expected time at an instance, as a multiple of the mean run time. */
export type GetLoadCost = (input: LoadCostInput) => number;

/** Lower bound of the success share in the cost of an instance. */
const MINIMUM_SUCCESS_SHARE = 0.05;

/** Highest utilization for which the wait of a steady load is used. */
const MAXIMUM_STEADY_UTILIZATION = 0.97;

/** Failed runs are repeated elsewhere, so they count as much as slow ones. */
function addFailures(cost: number, {failureShare}: InstanceStats): number {
  const successShare = Math.max(MINIMUM_SUCCESS_SHARE, 1 - failureShare);
  return cost / (successShare * successShare);
}

/**
 * Cost by the number of requests at the instance. It handles requests that cost about
 * the same.
 *
 * @example
 * getCostByCount({meanRunTime: 40, now, slots: 20, stats}); // 1.3
 */
export function getCostByCount({now, slots, stats}: LoadCostInput): number {
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

/**
 * Cost by the work that the instance still has to do. It handles requests that look
 * alike but cost very different amounts, and instances of different speed: the report
 * of the instance's daemon holds the work left and the speed as seen over the requests
 * of all callers. What this daemon has sent since is added; what the slots have done
 * since is subtracted.
 *
 * @example
 * getCostByWork({meanRunTime: 40, now, slots: 20, stats}); // 1.3
 */
export function getCostByWork(input: LoadCostInput): number {
  const {meanRunTime, now, stats} = input;
  const {load, loadReceivedAt, sentSinceLoad} = stats;
  const work = load?.work;
  if (
    load === undefined ||
    work === undefined ||
    meanRunTime === 0 ||
    !isLoadFresh(stats, now)
  ) {
    return getCostByCount(input);
  }
  const {slowness} = work;
  const limit = Math.max(1, load.limit);
  const ownRunTime = meanRunTime * slowness;
  const occupied = Math.min(limit, load.running + sentSinceLoad);
  const remaining = Math.max(
    0,
    work.remainingMilliseconds +
      sentSinceLoad * ownRunTime -
      occupied * (now - loadReceivedAt),
  );
  const count = load.running + load.queued + sentSinceLoad;
  // Long runs hold their slots for longer than their number tells.
  const occupancy = Math.max(count, remaining / ownRunTime) + 1;
  const time = slowness * (1 + getExpectedWait(occupancy / limit, limit));
  return addFailures(time, stats);
}

/**
 * Expected wait for one of several slots, in run times, by Sakasegawa's approximation
 * for a queue with several servers; beyond full use, each further request waits for its
 * part of a run.
 */
function getExpectedWait(utilization: number, slots: number): number {
  const steady = Math.min(MAXIMUM_STEADY_UTILIZATION, utilization);
  const exponent = Math.sqrt(2 * (slots + 1)) - 1;
  const wait = steady ** exponent / (slots * (1 - steady));
  return wait + Math.max(0, utilization - steady);
}
