/** Fleet configuration of a scenario: the importance of each load. */

import type {Scenario} from './ScenarioSettings.js';

const REASON = 'Importance of this load in the scenario.';

/**
 * Writes the fleet configuration that gives each load its importance.
 *
 * @example
 * createFleetConfiguration(scenario, 2_000);
 */
export function createFleetConfiguration(scenario: Scenario): string {
  const {callerTimeoutMilliseconds} = scenario.scenario;
  const lines = [
    '[defaults]',
    'importance = normal',
    `deadline_milliseconds = ${String(callerTimeoutMilliseconds)}`,
  ];
  for (const [name, load] of Object.entries(scenario.loads)) {
    if (load.importance !== 'normal') {
      lines.push(
        `[exception.${name}]`,
        `service = ${load.service}`,
        `method = ${load.method}`,
        `path = ${load.path}`,
        `importance = ${load.importance}`,
        `reason = ${REASON}`,
      );
    }
  }
  return `${lines.join('\n')}\n`;
}
