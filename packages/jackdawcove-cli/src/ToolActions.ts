/** List of all actions, and the help texts. */

import type {ToolAction} from './ToolAction.js';

import {APPLY_CONFIGURATION} from './commands/applyConfiguration.js';
import {FLEET_COMMANDS} from './commands/fleetCommands.js';
import {VOTER_COMMANDS} from './commands/voterCommands.js';
import {CONFIGURATION_QUERIES} from './queries/configurationQueries.js';
import {EXPLAIN_QUERY} from './queries/explainQuery.js';
import {FLEET_QUERIES} from './queries/fleetQueries.js';
import {TIMELINE_QUERY} from './queries/timelineQuery.js';
import {TOOL_NAME} from './ToolFlags.js';

/** All actions in the order of the help: queries first, then commands. */
export const TOOL_ACTIONS: readonly ToolAction[] = [
  ...CONFIGURATION_QUERIES,
  ...FLEET_QUERIES,
  TIMELINE_QUERY,
  EXPLAIN_QUERY,
  APPLY_CONFIGURATION,
  ...FLEET_COMMANDS,
  ...VOTER_COMMANDS,
];

const COMMON_FLAGS = [
  '  --address IP:PORT   administration API of a daemon (JACKDAW_ADDRESS; 127.0.0.1:7104)',
  '  --token TEXT        bearer token (JACKDAW_TOKEN)',
  '  --token-file FILE   file that holds the token (JACKDAW_TOKEN_FILE)',
  '  --settings FILE     INI file: [jackdaw] address, author, token, token_file (JACKDAW_SETTINGS)',
  '  --timeout MS        time that the daemon gets to answer, in milliseconds',
  '  --json              print JSON',
  '  --help, --version',
];

/**
 * Finds the action whose name the positional arguments start with.
 *
 * @example
 * findAction(['voters', 'list'])?.kind; // 'query'
 */
export function findAction(
  positionals: readonly string[],
): ToolAction | undefined {
  return TOOL_ACTIONS.find((action) => {
    const nameWords = action.name.split(' ');
    return nameWords.every((word, index) => positionals[index] === word);
  });
}

function formatActions(kind: ToolAction['kind']): string[] {
  const actions = TOOL_ACTIONS.filter((action) => action.kind === kind);
  return actions.flatMap(({name, summary, usage}) => [
    `  ${TOOL_NAME} ${name} ${usage}`.trimEnd(),
    `      ${summary}`,
  ]);
}

/**
 * Formats the help of one action, or of the whole tool if no action is given.
 *
 * @example
 * formatHelp(undefined);
 */
export function formatHelp(action: ToolAction | undefined): string {
  if (action !== undefined) {
    const usage = `${TOOL_NAME} ${action.name} ${action.usage}`.trimEnd();
    return [usage, `  ${action.summary}`, '', ...COMMON_FLAGS].join('\n');
  }
  return [
    `${TOOL_NAME}: reads and changes a jackdawcove fleet.`,
    '',
    'Queries',
    ...formatActions('query'),
    '',
    'Commands',
    ...formatActions('command'),
    '',
    'Flags',
    ...COMMON_FLAGS,
    '',
    'Exit codes: see docs/RESULT-CODES.md; 0 done, 9 some daemons not reached.',
  ].join('\n');
}
