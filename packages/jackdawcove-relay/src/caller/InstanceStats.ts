/** Statistics of an instance, from the requests of this daemon alone. */

import type {ConditionReport, InstanceLoad} from '../packets/InstanceLoad.js';
import type {Incarnation, Milliseconds} from 'jackdawcove-shared';

/** Statistics of an instance. */
export type InstanceStats = {
  blockedUntil: Milliseconds;
  failureShare: number;
  load: InstanceLoad | undefined;
  loadReceivedAt: Milliseconds;
  condition: ConditionReport | undefined;
  conditionReceivedAt: Milliseconds;
  /** Process that reported the condition. */
  conditionIncarnation: Incarnation;
  /** Requests sent since the condition was received. */
  sentSinceCondition: number;
  outstanding: number;
  /** Run time, as a multiple of the mean run time of the same routes. */
  slowness: number;
  slownessUpdatedAt: Milliseconds;
  lastUsedAt: Milliseconds;
};

/** Age after which a reported load is ignored. */
const MAXIMUM_LOAD_AGE_MILLISECONDS = 400;

/** Half-life of an instance's slowness. */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 2_500;

/** Creates the statistics of an instance that nothing is known of. */
export function createInstanceStats(now: Milliseconds): InstanceStats {
  return {
    blockedUntil: Number.NEGATIVE_INFINITY,
    condition: undefined,
    conditionIncarnation: 0,
    conditionReceivedAt: now,
    failureShare: 0,
    lastUsedAt: now,
    load: undefined,
    loadReceivedAt: now,
    outstanding: 0,
    sentSinceCondition: 0,
    slowness: 1,
    slownessUpdatedAt: now,
  };
}

/** Whether the reported load is recent enough to be used. */
export function isLoadFresh(
  {loadReceivedAt}: InstanceStats,
  now: Milliseconds,
): boolean {
  return now - loadReceivedAt <= MAXIMUM_LOAD_AGE_MILLISECONDS;
}

/** The slowness decays, so that a slow instance is tried again. */
export function getDecayedSlowness(
  {slowness, slownessUpdatedAt}: InstanceStats,
  now: Milliseconds,
): number {
  const halfLives = (now - slownessUpdatedAt) / SLOWNESS_HALF_LIFE_MILLISECONDS;
  return 1 + (slowness - 1) * 0.5 ** halfLives;
}
