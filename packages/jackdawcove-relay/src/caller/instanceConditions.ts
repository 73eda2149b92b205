/** Conditions that instances state, as the daemons of callers keep them. */

import type {ConditionReport} from '../packets/InstanceLoad.js';
import type {InstanceStats} from './InstanceStats.js';
import type {Incarnation, Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

/**
 * Records a condition. A process that has begun to leave does not return, whatever a late
 * report says.
 *
 * @example
 * recordCondition(stats, load.condition, incarnation);
 */
export function recordCondition(
  stats: InstanceStats,
  condition: ConditionReport,
  incarnation: Incarnation,
): void {
  const wasLeaving =
    stats.conditionIncarnation === incarnation &&
    stats.condition?.isLeaving === true;
  const isLeaving = wasLeaving || condition.isLeaving;
  stats.condition = {...condition, isLeaving};
  stats.conditionIncarnation = incarnation;
}

/**
 * Returns for how long the rate limit of an instance delays the next request. Between
 * reports it grows with each request sent and shrinks as time passes.
 *
 * @example
 * getStartDelay(stats, now); // 180
 */
export function getStartDelay(
  {condition, conditionReceivedAt, sentSinceCondition}: InstanceStats,
  now: Milliseconds,
): Milliseconds {
  const rate = condition?.requestsPerSecond;
  if (condition === undefined || rate === undefined) {
    return 0;
  }
  const delay =
    condition.startDelayMilliseconds +
    (sentSinceCondition / rate) * MILLISECONDS_PER_SECOND;
  return Math.max(0, delay - (now - conditionReceivedAt));
}
