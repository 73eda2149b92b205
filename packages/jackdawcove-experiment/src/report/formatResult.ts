/** Figures of a run for people and for programs. */

import type {ScenarioResult} from '../scenario/runScenario.js';
import type {ImportanceSummary, PhaseSummary} from './Summary.js';

import {
  createBuckets,
  findRecoveryTime,
  selectPhase,
  summarizeImportances,
  summarizePhase,
} from './Summary.js';

/** Figures of one step of the load. */
export type StepFigures = {
  readonly atMilliseconds: number;
  readonly importances: readonly ImportanceSummary[];
  readonly phase: PhaseSummary;
  readonly rate: number;
};

/** Figures of a whole run. */
export type ResultFigures = {
  readonly baseline: string;
  readonly capacityPerSecond: number;
  readonly dropped: number;
  readonly name: string;
  readonly recoveryMilliseconds: number | null;
  readonly scale: string;
  readonly steps: readonly StepFigures[];
};

const FRACTION_DIGITS = 1;
const PERCENT = 100;
const OVERLOAD_RATE = 1;

/**
 * Computes the figures of a run.
 *
 * @example
 * summarizeResult(await runScenario(scenario, report)).recoveryMilliseconds;
 */
export function summarizeResult(result: ScenarioResult): ResultFigures {
  const {outcomes, scenario} = result;
  const {durationMilliseconds} = scenario.scenario;
  const buckets = createBuckets(outcomes, durationMilliseconds);
  const end = findDisturbanceEnd(result);
  const recovery =
    end === undefined ? undefined : findRecoveryTime(buckets, end);
  return {
    baseline: scenario.scenario.baseline,
    capacityPerSecond: result.capacityPerSecond,
    dropped: result.dropped,
    name: scenario.scenario.name,
    recoveryMilliseconds: recovery ?? null,
    scale: scenario.scenario.scale,
    steps: summarizeSteps(result),
  };
}

function summarizeSteps({outcomes, scenario}: ScenarioResult): StepFigures[] {
  const {steps} = scenario;
  return steps.map(({atMilliseconds, rate}, index) => {
    const until =
      steps[index + 1]?.atMilliseconds ??
      scenario.scenario.durationMilliseconds;
    const selected = selectPhase(outcomes, atMilliseconds, until);
    return {
      atMilliseconds,
      importances: summarizeImportances(selected),
      phase: summarizePhase(selected, until - atMilliseconds),
      rate,
    };
  });
}

function findDisturbanceEnd({
  faults,
  scenario,
}: ScenarioResult): number | undefined {
  const {steps} = scenario;
  const lastOverload = steps.findLastIndex(({rate}) => rate > OVERLOAD_RATE);
  const ends = faults.map(({atMilliseconds}) => atMilliseconds);
  const next = steps[lastOverload + 1];
  if (lastOverload >= 0 && next !== undefined) {
    ends.push(next.atMilliseconds);
  }
  return ends.length === 0 ? undefined : Math.max(...ends);
}

function formatPercent(ratio: number): string {
  return `${(ratio * PERCENT).toFixed(FRACTION_DIGITS)}%`;
}

function formatStep({importances, phase, rate}: StepFigures): string {
  const head = [
    `  load ${String(rate)} x capacity:`,
    `offered ${phase.offeredPerSecond.toFixed(0)}/s`,
    `goodput ${phase.goodputPerSecond.toFixed(0)}/s`,
    `p50 ${phase.p50Milliseconds.toFixed(FRACTION_DIGITS)} ms`,
    `p99 ${phase.p99Milliseconds.toFixed(FRACTION_DIGITS)} ms`,
  ].join('  ');
  const lines = importances.map(
    ({importance, offered, ratio, shed}) =>
      `    ${importance.padEnd(12)} completed ${formatPercent(ratio)} of ${String(offered)}, shed ${String(shed)}`,
  );
  return [head, ...lines].join('\n');
}

/**
 * Formats the figures of a run as text.
 *
 * @example
 * process.stdout.write(formatResult(result));
 */
export function formatResult(result: ScenarioResult): string {
  const figures = summarizeResult(result);
  const recovery =
    figures.recoveryMilliseconds === null
      ? 'not within the run'
      : `${String(figures.recoveryMilliseconds)} ms`;
  return [
    `scenario ${figures.name}, baseline ${figures.baseline} (${figures.scale})`,
    `  capacity ${figures.capacityPerSecond.toFixed(0)}/s, not sent ${String(figures.dropped)}`,
    ...figures.steps.map(formatStep),
    `  recovery after the last disturbance: ${recovery}`,
  ].join('\n');
}
