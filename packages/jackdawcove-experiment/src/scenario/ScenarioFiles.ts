/** Reads and validates scenario files. */

import type {Baseline} from '../process/ProcessMessages.js';
import type {Scenario} from './ScenarioSettings.js';

import {readFileSync} from 'node:fs';

import {parseScenario} from './parseScenario.js';

/** Values of a scenario that the command line overrides. */
export type ScenarioOverrides = {
  readonly baseline: Baseline;
  readonly seed: number | undefined;
};

/** Reads the text of a scenario file. */
export function readScenarioFile(file: string): string {
  return readFileSync(file, 'utf8');
}

/**
 * Parses a scenario and applies the overrides; throws an Error that lists every
 * validation error.
 *
 * @example
 * parseScenarioOrThrow(readScenarioFile('morningRush.ini'), {baseline: 'none', seed: 7});
 */
export function parseScenarioOrThrow(
  text: string,
  {baseline, seed}: ScenarioOverrides,
): Scenario {
  const parsed = parseScenario(text);
  if (parsed.isErr) {
    throw new Error(parsed.error.join('\n'));
  }
  const scenario = parsed.value;
  return {
    ...scenario,
    scenario: {
      ...scenario.scenario,
      baseline,
      seed: seed ?? scenario.scenario.seed,
    },
  };
}
