/** Implements the query that traces one request through the logs of daemons. */

import type {Invocation, ToolAction, ToolOutcome} from '../ToolAction.js';

import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';
import {z} from 'zod';

/** Fields that every line of a daemon's log has. */
const logLineSchema = z.looseObject({
  msg: z.string(),
  request: z.string().optional(),
  time: z.iso.datetime(),
  vm: z.string(),
});

type LogLine = z.infer<typeof logLineSchema>;

/** Log lines parsed from files, and the number of lines that are not log records. */
type ParsedLogs = {
  readonly lines: readonly LogLine[];
  readonly skipped: number;
};

/**
 * Fields that are not listed in parentheses: those of the logger, `kind`, and
 * those printed before the parentheses.
 */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  'hostname',
  'kind',
  'level',
  'msg',
  'name',
  'pid',
  'request',
  'time',
  'v',
  'vm',
]);

const MAXIMUM_ARGUMENTS = 1_000;

function parseLine(text: string): LogLine | undefined {
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The caller counts a line that is not JSON as skipped.
    return undefined;
  }
}

function parseLogs(texts: readonly string[]): ParsedLogs {
  const parsedLines = texts
    .flatMap((text) => text.split('\n'))
    .filter((text) => text.trim() !== '')
    .map(parseLine);
  const lines = parsedLines.filter((line) => line !== undefined);
  return {lines, skipped: parsedLines.length - lines.length};
}

/**
 * Whether a line is about a request or a call nested in it. The identifier of a
 * nested call starts with the identifier of its parent and a dot.
 */
function belongsToRequest(identifier: string, {request}: LogLine): boolean {
  return (
    request === identifier || request?.startsWith(`${identifier}.`) === true
  );
}

function formatFields(line: LogLine): string {
  return Object.entries(line)
    .filter(([key, value]) => !OMITTED_FIELDS.has(key) && value !== undefined)
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
    .join(' ');
}

function formatLine(line: LogLine): string {
  const {msg, request = '', time, vm} = line;
  return `${time} ${vm} ${request}: ${msg} (${formatFields(line)})`;
}

function explain({
  arguments: positionals,
  dependencies,
}: Invocation): ToolOutcome {
  const [identifier = '', ...files] = positionals;
  let texts: readonly string[];
  try {
    texts = files.map(dependencies.readText);
  } catch (error) {
    return Result.err(createFailure('usage', String(error)));
  }
  const {lines, skipped} = parseLogs(texts);
  const matchingLines = lines
    .filter((line) => belongsToRequest(identifier, line))
    .sort((left, right) => left.time.localeCompare(right.time));
  if (matchingLines.length === 0) {
    const detail = `no line about ${identifier} in ${String(lines.length)} lines`;
    return Result.err(createFailure('notFound', detail));
  }
  const note = `${String(skipped)} lines were no log records and left out`;
  return Result.ok({
    json: {lines: matchingLines, skipped},
    lines: [...matchingLines.map(formatLine), ...(skipped === 0 ? [] : [note])],
    result: 'ok',
  });
}

/** Query that traces one request through the logs of any number of daemons. */
export const EXPLAIN_QUERY: ToolAction = {
  kind: 'query',
  maximumArguments: MAXIMUM_ARGUMENTS,
  minimumArguments: 2,
  name: 'explain',
  run: (invocation) => Promise.resolve(explain(invocation)),
  summary: 'Show who decided what about one request, from the logs of daemons.',
  usage: 'REQUEST-ID FILE...',
};
