/** Schemas of policy keys, which parse document text into typed values. */

import {z} from 'zod';

/** Minimum, maximum and default value of a number. */
export type NumberRange = {
  readonly defaultValue: number;
  readonly maximum: number;
  readonly minimum: number;
};

const WHOLE_NUMBER_PATTERN = /^\d{1,15}$/;
const RATIO_PATTERN = /^\d{1,6}(\.\d{1,6})?$/;

function formatRange(range: NumberRange): string {
  return `from ${String(range.minimum)} to ${String(range.maximum)}`;
}

/**
 * Creates the schema of a whole number within a range.
 *
 * @example
 * createIntegerField({defaultValue: 3, maximum: 32, minimum: 0}).parse('7'); // 7
 */
export function createIntegerField(range: NumberRange) {
  return z
    .string()
    .regex(WHOLE_NUMBER_PATTERN)
    .transform(Number)
    .pipe(z.int().min(range.minimum).max(range.maximum))
    .describe(`a whole number ${formatRange(range)}`);
}

/**
 * Creates the schema of a decimal number within a range.
 *
 * @example
 * createRatioField({defaultValue: 0.1, maximum: 1, minimum: 0}).parse('0.2'); // 0.2
 */
export function createRatioField(range: NumberRange) {
  return z
    .string()
    .regex(RATIO_PATTERN)
    .transform(Number)
    .pipe(z.number().min(range.minimum).max(range.maximum))
    .describe(`a decimal number ${formatRange(range)}`);
}

/**
 * Creates the schema of a choice between several words.
 *
 * @example
 * createChoiceField(['yes', 'no']).parse('yes'); // 'yes'
 */
export function createChoiceField<const Choice extends string>(
  choices: readonly [Choice, ...Choice[]],
) {
  return z.enum(choices).describe(`one of ${choices.join(', ')}`);
}
