/** Figures of a run, as data and as text. */

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
const CAPACITY_RATE = 1;

/**
 * Computes the figures of a run.
 *
 * @example
 * summarizeResult(await runScenario(scenario, reportProgress)).recoveryMilliseconds;
 */
export function summarizeResult(result: ScenarioResult): ResultFigures {
  const {outcomes, scenario} = result;
  const {durationMilliseconds} = scenario.scenario;
  const buckets = createBuckets(outcomes, durationMilliseconds);
  const disturbanceEnd = findDisturbanceEnd(result);
  const recovery =
    disturbanceEnd === undefined
      ? undefined
      : findRecoveryTime(buckets, disturbanceEnd);
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
    const untilMilliseconds =
      steps[index + 1]?.atMilliseconds ??
      scenario.scenario.durationMilliseconds;
    const stepOutcomes = selectPhase(
      outcomes,
      atMilliseconds,
      untilMilliseconds,
    );
    return {
      atMilliseconds,
      importances: summarizeImportances(stepOutcomes),
      phase: summarizePhase(stepOutcomes, untilMilliseconds - atMilliseconds),
      rate,
    };
  });
}

function findDisturbanceEnd({
  faults,
  scenario,
}: ScenarioResult): number | undefined {
  const {steps} = scenario;
  const lastOverloadIndex = steps.findLastIndex(
    ({rate}) => rate > CAPACITY_RATE,
  );
  const disturbanceEnds = faults.map(({atMilliseconds}) => atMilliseconds);
  const nextStep = steps[lastOverloadIndex + 1];
  if (lastOverloadIndex >= 0 && nextStep !== undefined) {
    disturbanceEnds.push(nextStep.atMilliseconds);
  }
  return disturbanceEnds.length === 0
    ? undefined
    : Math.max(...disturbanceEnds);
}

function formatPercent(ratio: number): string {
  return `${(ratio * PERCENT).toFixed(FRACTION_DIGITS)}%`;
}

function formatStep({importances, phase, rate}: StepFigures): string {
  const summaryLine = [
    `  load ${String(rate)} x capacity:`,
    `offered ${phase.offeredPerSecond.toFixed(0)}/s`,
    `goodput ${phase.goodputPerSecond.toFixed(0)}/s`,
    `p50 ${phase.p50Milliseconds.toFixed(FRACTION_DIGITS)} ms`,
    `p99 ${phase.p99Milliseconds.toFixed(FRACTION_DIGITS)} ms`,
  ].join('  ');
  const importanceLines = importances.map(
    ({importance, offered, ratio, shed}) =>
      `    ${importance.padEnd(12)} completed ${formatPercent(ratio)} of ${String(offered)}, shed ${String(shed)}`,
  );
  return [summaryLine, ...importanceLines].join('\n');
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
