/**
 * Checks of what every call carries, without the cost of a schema. That of a load
 * report accepts what its schema accepts; that of an attempt looks at types only.
 */

import type {Attempt, LoadReport} from './AttemptMessages.js';

import {attemptSchema} from './AttemptMessages.js';

type Fields = Readonly<Record<string, unknown>>;

function isNonNegativeNumber(value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0;
}

/**
 * Tells whether a value is a load report.
 *
 * @example
 * isLoadReport(head.load);
 */
export function isLoadReport(value: unknown): value is LoadReport {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const fields = value as Fields;
  return (
    isNonNegativeNumber(fields['downstreamThreshold']) &&
    Number.isSafeInteger(fields['inFlight']) &&
    isNonNegativeNumber(fields['inFlight']) &&
    Number.isSafeInteger(fields['limit']) &&
    isNonNegativeNumber(fields['limit']) &&
    isNonNegativeNumber(fields['queueingDelayMilliseconds']) &&
    isNonNegativeNumber(fields['threshold'])
  );
}

/** Schema check of the whole attempt, for what the quick look did not accept. */
function parseAttemptBySchema(value: unknown): Attempt | undefined {
  const parsed = attemptSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

const FIELD_TYPES: readonly (readonly [keyof Attempt, string])[] = [
  ['attemptIdentifier', 'string'],
  ['callIdentifier', 'string'],
  ['daemonIncarnation', 'number'],
  ['fingerprint', 'string'],
  ['instance', 'string'],
  ['instanceIncarnation', 'number'],
  ['isIdempotent', 'boolean'],
  ['isSuspectRetry', 'boolean'],
  ['method', 'string'],
  ['path', 'string'],
  ['remainingMilliseconds', 'number'],
  ['service', 'string'],
  ['tokensLent', 'number'],
];

/**
 * Returns the attempt of a call head, or undefined when it is none. The sender
 * is a daemon that proved the fleet key: only the types are looked at.
 *
 * @example
 * parseAttempt(head.attempt)?.service;
 */
export function parseAttempt(value: unknown): Attempt | undefined {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const fields = value as Fields;
  const context = fields['context'] as Fields | null | undefined;
  const isWellTyped =
    typeof context === 'object' &&
    typeof context?.['cohort'] === 'number' &&
    typeof context['importance'] === 'string' &&
    FIELD_TYPES.every(([name, type]) => typeof fields[name] === type);
  return isWellTyped ? (value as Attempt) : parseAttemptBySchema(value);
}
