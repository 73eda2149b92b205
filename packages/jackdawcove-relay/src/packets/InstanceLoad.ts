/** Load of an instance, as its daemon reports it to the daemons of callers. */

import type {InstanceCondition} from '../server/InstanceCondition.js';
import type {WorkReport} from '../server/RemainingWork.js';

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
  /** Undefined when the daemon does not report the work left. */
  readonly work?: undefined | WorkReport;
};

/** Encoded in place of a rate: the instance has stated that it has no limit. */
const NO_RATE = null;
const LEAVING = 1;

/** The slowness is written in hundredths. */
const SLOWNESS_SCALE = 100;

/** Fields before those of the work. */
const CONDITION_END = 7;

type LoadField = null | number | undefined;

function encodeCondition({
  condition,
  limit,
  queued,
  running,
  threshold,
}: InstanceLoad): LoadField[] {
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

/**
 * Returns the fields of a load in wire order. The fields of a condition that is not
 * known, and trailing ones that state nothing, are omitted.
 *
 * @example
 * encodeLoad(load); // [37, 2, 37, 2400]
 */
export function encodeLoad(load: InstanceLoad): readonly LoadField[] {
  const fields = encodeCondition(load);
  const {work} = load;
  if (work !== undefined) {
    while (fields.length < CONDITION_END) {
      fields.push(undefined);
    }
    fields.push(
      Math.round(work.remainingMilliseconds),
      Math.round(work.slowness * SLOWNESS_SCALE),
    );
  }
  return fields;
}

function isUsableNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** A report that cannot be used is ignored; the load holds without it. */
function decodeWork(
  remainingMilliseconds: unknown,
  slowness: unknown,
): undefined | WorkReport {
  return isUsableNumber(remainingMilliseconds) &&
    isUsableNumber(slowness) &&
    slowness > 0
    ? {remainingMilliseconds, slowness: slowness / SLOWNESS_SCALE}
    : undefined;
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
  const work = decodeWork(value[CONDITION_END], value[CONDITION_END + 1]);
  const condition = decodeCondition(rate, startDelay, leaving);
  return typeof limit === 'number' &&
    typeof queued === 'number' &&
    typeof running === 'number' &&
    typeof threshold === 'number' &&
    condition !== 'malformed'
    ? {condition, limit, queued, running, threshold, work}
    : undefined;
}
