/** Parses the command line into positional arguments and flags. */

import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';
import meow from 'meow';
import {Result} from 'true-myth';
import {z} from 'zod';

/** Name of the tool. */
export const TOOL_NAME = 'jackdaw';

/** Version of the tool. */
export const TOOL_VERSION = '0.1.0';

const TEXT_FLAG = {type: 'string'} as const;
const BOOLEAN_FLAG = {default: false, type: 'boolean'} as const;

const FLAG_DEFINITIONS = {
  address: TEXT_FLAG,
  author: TEXT_FLAG,
  call: TEXT_FLAG,
  changeIdentifier: TEXT_FLAG,
  expectedRevision: TEXT_FLAG,
  help: BOOLEAN_FLAG,
  json: BOOLEAN_FLAG,
  kind: TEXT_FLAG,
  reason: TEXT_FLAG,
  revision: TEXT_FLAG,
  settings: TEXT_FLAG,
  since: TEXT_FLAG,
  timeout: TEXT_FLAG,
  token: TEXT_FLAG,
  tokenFile: TEXT_FLAG,
  version: BOOLEAN_FLAG,
  vm: TEXT_FLAG,
} as const;

const textSchema = z.string().min(1).optional();
const wholeNumberSchema = z
  .string()
  .regex(/^\d{1,15}$/, 'expects a whole number')
  .transform(Number)
  .optional();

const flagsSchema = z.strictObject({
  address: textSchema,
  author: textSchema,
  call: textSchema,
  changeIdentifier: textSchema,
  expectedRevision: wholeNumberSchema,
  help: z.boolean(),
  json: z.boolean(),
  kind: textSchema,
  reason: textSchema,
  revision: wholeNumberSchema,
  settings: textSchema,
  since: textSchema,
  timeout: wholeNumberSchema,
  token: textSchema,
  tokenFile: textSchema,
  version: z.boolean(),
  vm: textSchema,
});

/** Validated flags. */
export type ToolFlags = Readonly<z.infer<typeof flagsSchema>>;

/** Positional arguments and flags of a command line. */
export type CommandLine = {
  readonly flags: ToolFlags;
  readonly positionals: readonly string[];
};

function toFlagName(key: string): string {
  const dashed = key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
  return `--${dashed}`;
}

function describeIssue(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    return `unknown flag ${issue.keys.map(toFlagName).join(', ')}`;
  }
  const [key] = issue.path;
  return `${toFlagName(String(key))}: ${issue.message}`;
}

/**
 * Parses a command line; never exits the process.
 *
 * @example
 * parseCommandLine(['members', '--json']).map(({positionals}) => positionals); // ['members']
 */
export function parseCommandLine(
  argv: readonly string[],
): Result<CommandLine, Failure> {
  const {flags, input} = meow({
    argv: [...argv],
    autoHelp: false,
    autoVersion: false,
    flags: FLAG_DEFINITIONS,
    importMeta: import.meta,
    pkg: {name: TOOL_NAME, version: TOOL_VERSION},
  });
  const parsed = flagsSchema.safeParse(flags);
  if (!parsed.success) {
    const detail = parsed.error.issues.map(describeIssue).join('; ');
    return Result.err(createFailure('usage', detail));
  }
  return Result.ok({flags: parsed.data, positionals: input});
}
