/** Main function of the command-line tool. */

import type {JackdawDependencies} from './JackdawDependencies.js';
import type {
  Invocation,
  ToolAction,
  ToolOutcome,
  ToolOutput,
} from './ToolAction.js';
import type {CommandLine, ToolFlags} from './ToolFlags.js';
import type {Failure} from 'jackdawcove-shared';

import {createFailure, formatFailure, RESULT_CODES} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {AdministrationClient} from './client/AdministrationClient.js';
import {findAction, formatHelp} from './ToolActions.js';
import {parseCommandLine, TOOL_VERSION} from './ToolFlags.js';
import {loadToolSettings} from './ToolSettings.js';

function countArguments(action: ToolAction, commandLine: CommandLine): number {
  return commandLine.positionals.length - action.name.split(' ').length;
}

function resolveAction(commandLine: CommandLine): Result<ToolAction, Failure> {
  const action = findAction(commandLine.positionals);
  if (action === undefined) {
    const name = commandLine.positionals.join(' ');
    const detail =
      name === '' ? 'no command; see --help' : `unknown command "${name}"`;
    return Result.err(createFailure('usage', detail));
  }
  const count = countArguments(action, commandLine);
  const {maximumArguments, minimumArguments, name, usage} = action;
  return count < minimumArguments || count > maximumArguments
    ? Result.err(createFailure('usage', `expected: ${name} ${usage}`.trimEnd()))
    : Result.ok(action);
}

function createInvocation(
  action: ToolAction,
  commandLine: CommandLine,
  dependencies: JackdawDependencies,
): Result<Invocation, Failure> {
  return loadToolSettings(commandLine.flags, dependencies).map((settings) => ({
    arguments: commandLine.positionals.slice(action.name.split(' ').length),
    author: settings.author,
    client: new AdministrationClient(settings, dependencies),
    dependencies,
    flags: commandLine.flags,
  }));
}

function runAction(
  commandLine: CommandLine,
  dependencies: JackdawDependencies,
): Promise<ToolOutcome> {
  const runningAction = resolveAction(commandLine).andThen((action) =>
    createInvocation(action, commandLine, dependencies).map((invocation) =>
      action.run(invocation),
    ),
  );
  return runningAction.unwrapOrElse((failure) =>
    Promise.resolve(Result.err(failure)),
  );
}

function printOutput(
  output: ToolOutput,
  flags: ToolFlags,
  dependencies: JackdawDependencies,
): number {
  const text = flags.json
    ? JSON.stringify(output.json, undefined, 2)
    : output.lines.join('\n');
  dependencies.writeOutput(`${text}\n`);
  return RESULT_CODES[output.result].exitCode;
}

function printFailure(
  failure: Failure,
  isJson: boolean,
  dependencies: JackdawDependencies,
): number {
  const {description, executed, exitCode, name, number} =
    RESULT_CODES[failure.result];
  if (isJson) {
    const {detail} = failure;
    const json = {description, detail, executed, name, number};
    dependencies.writeOutput(`${JSON.stringify(json, undefined, 2)}\n`);
  }
  dependencies.writeError(`${formatFailure(failure)}\n`);
  return exitCode;
}

/**
 * Runs the tool and returns its exit code; never exits the process.
 *
 * @example
 * process.exitCode = await runJackdaw(process.argv.slice(2), dependencies);
 */
export async function runJackdaw(
  argv: readonly string[],
  dependencies: JackdawDependencies,
): Promise<number> {
  const parsed = parseCommandLine(argv);
  if (parsed.isErr) {
    return printFailure(parsed.error, argv.includes('--json'), dependencies);
  }
  const commandLine = parsed.value;
  if (commandLine.flags.version) {
    dependencies.writeOutput(`${TOOL_VERSION}\n`);
    return RESULT_CODES.ok.exitCode;
  }
  if (commandLine.flags.help) {
    dependencies.writeOutput(
      `${formatHelp(findAction(commandLine.positionals))}\n`,
    );
    return RESULT_CODES.ok.exitCode;
  }
  const outcome = await runAction(commandLine, dependencies);
  return outcome.match({
    Err: (failure) =>
      printFailure(failure, commandLine.flags.json, dependencies),
    Ok: (output) => printOutput(output, commandLine.flags, dependencies),
  });
}
