/** Typed failures that carry a numbered result code. */

import type {ResultName} from './ResultCodes.js';

import {z} from 'zod';

import {RESULT_CODES} from './ResultCodes.js';

/** A failure: the name of its result code and a human-readable detail. */
export type Failure = {
  readonly detail: string;
  readonly result: ResultName;
};

/** Schema of the name of a result code. */
export const resultNameSchema = z.enum(
  Object.keys(RESULT_CODES) as [ResultName, ...ResultName[]],
);

/** Schema of a failure on the wire. */
export const failureSchema = z.object({
  detail: z.string(),
  result: resultNameSchema,
});

/**
 * Creates a failure.
 *
 * @example
 * createFailure('noLeader', 'term 7'); // {detail: 'term 7', result: 'noLeader'}
 */
export function createFailure(result: ResultName, detail = ''): Failure {
  return {detail, result};
}

/**
 * Formats a failure as one line with number, name, description and detail.
 *
 * @example
 * formatFailure(createFailure('noLeader')); // '502 noLeader: No leader of …'
 */
export function formatFailure(failure: Failure): string {
  const code = RESULT_CODES[failure.result];
  const detail = failure.detail === '' ? '' : ` (${failure.detail})`;
  return `${String(code.number)} ${code.name}: ${code.description}${detail}`;
}
