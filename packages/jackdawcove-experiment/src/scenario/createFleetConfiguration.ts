/** Fleet configuration of a scenario: the deadline, and the importance of each load. */

import type {Scenario} from './ScenarioSettings.js';

const REASON = 'Importance of this load in the scenario.';

/**
 * Creates the text of the fleet configuration that gives each load its importance.
 *
 * @example
 * await applyConfiguration(fleet, createFleetConfiguration(scenario));
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
