/** Checks of conditions that only a bug in jackdawcove can violate. */

import type {InvariantCode} from './InvariantCodes.js';

import {INVARIANT_MESSAGES} from './InvariantCodes.js';

/** Error thrown when an invariant is violated. */
export class InvariantError extends Error {
  readonly code: InvariantCode;

  constructor(code: InvariantCode, detail: string) {
    const suffix = detail === '' ? '' : ` ${detail}`;
    super(`Invariant ${String(code)}: ${INVARIANT_MESSAGES[code]}${suffix}`);
    this.code = code;
    this.name = 'InvariantError';
  }
}

/**
 * Throws an InvariantError with the numbered message unless the condition holds.
 *
 * @example
 * invariant(tokens >= 0, 4, `tokens=${tokens}`);
 */
export function invariant(
  condition: boolean,
  code: InvariantCode,
  detail = '',
): asserts condition {
  if (!condition) {
    throw new InvariantError(code, detail);
  }
}
