/** Main function of the tool. */

import type {JackdawDependencies} from './JackdawDependencies.js';
import type {
  Invocation,
  ToolAction,
  ToolAnswer,
  ToolOutcome,
} from './ToolAction.js';
import type {CommandLine, ToolFlags} from './ToolFlags.js';
import type {Failure} from 'jackdawcove-shared';

import {createFailure, formatFailure, RESULT_CODES} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {AdministrationClient} from './client/AdministrationClient.js';
import {findAction, formatHelp} from './ToolActions.js';
import {parseCommandLine, TOOL_VERSION} from './ToolFlags.js';
import {loadToolSettings} from './ToolSettings.js';

function countArguments(action: ToolAction, line: CommandLine): number {
  return line.words.length - action.name.split(' ').length;
}

function checkArguments(line: CommandLine): Result<ToolAction, Failure> {
  const action = findAction(line.words);
  if (action === undefined) {
    const name = line.words.join(' ');
    const detail =
      name === '' ? 'no command; see --help' : `unknown command "${name}"`;
    return Result.err(createFailure('usage', detail));
  }
  const count = countArguments(action, line);
  const {maximumArguments, minimumArguments, name, usage} = action;
  return count < minimumArguments || count > maximumArguments
    ? Result.err(createFailure('usage', `expected: ${name} ${usage}`.trimEnd()))
    : Result.ok(action);
}

function createInvocation(
  action: ToolAction,
  line: CommandLine,
  dependencies: JackdawDependencies,
): Result<Invocation, Failure> {
  return loadToolSettings(line.flags, dependencies).map((settings) => ({
    arguments: line.words.slice(action.name.split(' ').length),
    author: settings.author,
    client: new AdministrationClient(settings, dependencies),
    dependencies,
    flags: line.flags,
  }));
}

function runAction(
  line: CommandLine,
  dependencies: JackdawDependencies,
): Promise<ToolOutcome> {
  const started = checkArguments(line).andThen((action) =>
    createInvocation(action, line, dependencies).map((invocation) =>
      action.run(invocation),
    ),
  );
  return started.unwrapOrElse((failure) =>
    Promise.resolve(Result.err(failure)),
  );
}

function showAnswer(
  answer: ToolAnswer,
  flags: ToolFlags,
  dependencies: JackdawDependencies,
): number {
  const text = flags.json
    ? JSON.stringify(answer.json, undefined, 2)
    : answer.lines.join('\n');
  dependencies.writeOutput(`${text}\n`);
  return RESULT_CODES[answer.result].exitCode;
}

function showFailure(
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
 * Runs the tool and returns its exit code; does not exit on its own.
 *
 * @example
 * process.exitCode = await runJackdaw(process.argv.slice(2), dependencies);
 */
export async function runJackdaw(
  words: readonly string[],
  dependencies: JackdawDependencies,
): Promise<number> {
  const parsed = parseCommandLine(words);
  if (parsed.isErr) {
    return showFailure(parsed.error, words.includes('--json'), dependencies);
  }
  const line = parsed.value;
  if (line.flags.version) {
    dependencies.writeOutput(`${TOOL_VERSION}\n`);
    return RESULT_CODES.ok.exitCode;
  }
  if (line.flags.help) {
    dependencies.writeOutput(`${formatHelp(findAction(line.words))}\n`);
    return RESULT_CODES.ok.exitCode;
  }
  const outcome = await runAction(line, dependencies);
  return outcome.match({
    Err: (failure) => showFailure(failure, line.flags.json, dependencies),
    Ok: (answer) => showAnswer(answer, line.flags, dependencies),
  });
}
