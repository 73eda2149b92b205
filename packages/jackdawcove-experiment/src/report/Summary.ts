/** Figures of one run: goodput, shed requests by importance, latency, recovery time. */

import type {RequestOutcome} from '../load/LoadTypes.js';

import {build} from 'hdr-histogram-js';

import {isComplete} from '../load/LoadTypes.js';
import {groupBy} from './ReportUtils.js';

/** Length of the time buckets that a run is divided into. */
export const BUCKET_MILLISECONDS = 100;

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const RECOVERED_RATIO = 0.95;
const RECOVERY_BUCKET_COUNT = 3;
const SHED_RESULT_NUMBERS = {from: 200, until: 300} as const;

/** Figures of one phase of a run. */
export type PhaseSummary = {
  readonly completed: number;
  readonly goodputPerSecond: number;
  readonly offeredPerSecond: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly ratio: number;
};

/** Figures of the requests of one importance. */
export type ImportanceSummary = {
  readonly completed: number;
  readonly importance: string;
  readonly offered: number;
  readonly ratio: number;
  readonly shed: number;
};

/** Figures of one time bucket of a run. */
export type Bucket = {
  readonly atMilliseconds: number;
  readonly completed: number;
  readonly offered: number;
  readonly p99Milliseconds: number;
  readonly shed: number;
};

function isShed({resultNumber}: RequestOutcome): boolean {
  return (
    resultNumber !== undefined &&
    resultNumber >= SHED_RESULT_NUMBERS.from &&
    resultNumber < SHED_RESULT_NUMBERS.until
  );
}

function getPercentile(
  outcomes: readonly RequestOutcome[],
  percentile: number,
): number {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const {latencyMilliseconds} of outcomes) {
    histogram.recordValue(
      Math.max(
        1,
        Math.round(latencyMilliseconds * MICROSECONDS_PER_MILLISECOND),
      ),
    );
  }
  return (
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
  );
}

/**
 * Selects the outcomes of the requests that started in a phase of the run.
 *
 * @example
 * selectPhase(outcomes, 0, 4_000);
 */
export function selectPhase(
  outcomes: readonly RequestOutcome[],
  fromMilliseconds: number,
  untilMilliseconds: number,
): readonly RequestOutcome[] {
  return outcomes.filter(
    ({startedAtMilliseconds}) =>
      startedAtMilliseconds >= fromMilliseconds &&
      startedAtMilliseconds < untilMilliseconds,
  );
}

/**
 * Summarizes a phase of a run.
 *
 * @example
 * summarizePhase(selectPhase(outcomes, 0, 4_000), 4_000).goodputPerSecond;
 */
export function summarizePhase(
  outcomes: readonly RequestOutcome[],
  durationMilliseconds: number,
): PhaseSummary {
  const completed = outcomes.filter(isComplete);
  const seconds = durationMilliseconds / MILLISECONDS_PER_SECOND;
  return {
    completed: completed.length,
    goodputPerSecond: completed.length / seconds,
    offeredPerSecond: outcomes.length / seconds,
    p50Milliseconds: getPercentile(completed, 50),
    p99Milliseconds: getPercentile(completed, 99),
    ratio: outcomes.length === 0 ? 1 : completed.length / outcomes.length,
  };
}

/**
 * Summarizes the outcomes by importance.
 *
 * @example
 * summarizeImportances(outcomes).find(({importance}) => importance === 'urgent');
 */
export function summarizeImportances(
  outcomes: readonly RequestOutcome[],
): readonly ImportanceSummary[] {
  const groups = groupBy(outcomes, ({importance}) => importance);
  return [...groups].map(([importance, group]) => {
    const completed = group.filter(isComplete).length;
    const offered = group.length;
    const shed = group.filter(isShed).length;
    return {completed, importance, offered, ratio: completed / offered, shed};
  });
}

/**
 * Divides a run into time buckets by the start times of the requests.
 *
 * @example
 * createBuckets(outcomes, 20_000).length; // 200
 */
export function createBuckets(
  outcomes: readonly RequestOutcome[],
  durationMilliseconds: number,
): readonly Bucket[] {
  const groups = groupBy(outcomes, ({startedAtMilliseconds}) =>
    Math.floor(startedAtMilliseconds / BUCKET_MILLISECONDS),
  );
  const count = Math.ceil(durationMilliseconds / BUCKET_MILLISECONDS);
  return Array.from({length: count}, (_item, index) => {
    const group = groups.get(index) ?? [];
    const completed = group.filter(isComplete);
    return {
      atMilliseconds: index * BUCKET_MILLISECONDS,
      completed: completed.length,
      offered: group.length,
      p99Milliseconds: getPercentile(completed, 99),
      shed: group.filter(isShed).length,
    };
  });
}

/**
 * Returns the time from the end of a disturbance until the number of completed
 * requests is within 5% of the offered ones in three buckets in a row; undefined
 * if that never happens.
 *
 * @example
 * findRecoveryTime(buckets, 8_000); // milliseconds
 */
export function findRecoveryTime(
  buckets: readonly Bucket[],
  disturbanceEndMilliseconds: number,
): number | undefined {
  const after = buckets.filter(
    ({atMilliseconds}) => atMilliseconds >= disturbanceEndMilliseconds,
  );
  const isRecovered = ({completed, offered}: Bucket): boolean =>
    offered > 0 && completed >= offered * RECOVERED_RATIO;
  const firstIndex = after.findIndex((_bucket, index) => {
    const window = after.slice(index, index + RECOVERY_BUCKET_COUNT);
    return window.length === RECOVERY_BUCKET_COUNT && window.every(isRecovered);
  });
  const bucket = after[firstIndex];
  return bucket === undefined
    ? undefined
    : bucket.atMilliseconds - disturbanceEndMilliseconds;
}
