/** Load of an instance, as its daemon reports it to the daemons of callers. */

import type {InstanceCondition} from '../server/InstanceCondition.js';

/** Condition of an instance and its effect on the next request. */
export type ConditionReport = InstanceCondition & {
  /** Time for which the rate limit delays the next request. */
  readonly startDelayMilliseconds: number;
};

/** Load of an instance as its daemon sees it; sent with every answer and failure. */
export type InstanceLoad = {
  /** Undefined until the process of the instance has answered its daemon. */
  readonly condition: ConditionReport | undefined;
  /** Requests that the instance may run concurrently. */
  readonly limit: number;
  readonly queued: number;
  readonly running: number;
  /** Requests with this shed rank or a higher one are refused at their root. */
  readonly threshold: number;
};

/** Encoded in place of a rate: the instance has stated that it has no limit. */
const NO_RATE = null;
const LEAVING = 1;

type LoadField = null | number;

/**
 * Returns the fields of a load in wire order. The fields of a condition that is not
 * known, and trailing ones that state nothing, are omitted.
 *
 * @example
 * encodeLoad(load); // [37, 2, 37, 2400]
 */
export function encodeLoad({
  condition,
  limit,
  queued,
  running,
  threshold,
}: InstanceLoad): readonly LoadField[] {
  const fields = [limit, queued, running, threshold];
  if (condition === undefined) {
    return fields;
  }
  const {isLeaving, requestsPerSecond = NO_RATE} = condition;
  if (requestsPerSecond === NO_RATE && !isLeaving) {
    return [...fields, NO_RATE];
  }
  const startDelay = Math.round(condition.startDelayMilliseconds);
  const rateFields = [...fields, requestsPerSecond, startDelay];
  return isLeaving ? [...rateFields, LEAVING] : rateFields;
}

function decodeCondition(
  rate: unknown,
  startDelay: unknown,
  leaving: unknown,
): 'malformed' | ConditionReport | undefined {
  if (rate === undefined) {
    return undefined;
  }
  return (rate === NO_RATE || typeof rate === 'number') &&
    (startDelay === undefined || typeof startDelay === 'number')
    ? {
        isLeaving: leaving === LEAVING,
        requestsPerSecond: rate ?? undefined,
        startDelayMilliseconds: startDelay ?? 0,
      }
    : 'malformed';
}

/**
 * Decodes a load; returns undefined when it is malformed.
 *
 * @example
 * decodeLoad([37, 2, 37, 2400])?.limit; // 37
 */
export function decodeLoad(value: unknown): InstanceLoad | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [limit, queued, running, threshold, rate, startDelay, leaving] =
    value as readonly unknown[];
  const condition = decodeCondition(rate, startDelay, leaving);
  return typeof limit === 'number' &&
    typeof queued === 'number' &&
    typeof running === 'number' &&
    typeof threshold === 'number' &&
    condition !== 'malformed'
    ? {condition, limit, queued, running, threshold}
    : undefined;
}
