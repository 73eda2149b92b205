/** Loads and checks scenario files. */

import type {Baseline} from '../process/ProcessMessages.js';
import type {Scenario} from './ScenarioSettings.js';

import {readFileSync} from 'node:fs';

import {parseScenario} from './parseScenario.js';

/** What the command line overrides. */
export type ScenarioOverrides = {
  readonly baseline: Baseline;
  readonly seed: number | undefined;
};

/** Reads the text of a scenario file. */
export function loadScenario(file: string): string {
  return readFileSync(file, 'utf8');
}

/**
 * Parses a scenario; throws an Error that lists every fault.
 *
 * @example
 * readScenario(loadScenario('morningRush.ini'), {baseline: 'none', seed: 7});
 */
export function readScenario(
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
