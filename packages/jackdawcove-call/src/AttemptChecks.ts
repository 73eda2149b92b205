/**
 * Hand-written checks of the messages of every call, which avoid the cost of a
 * schema. The check of a load report accepts exactly what its schema accepts;
 * the check of an attempt looks only at the types of the fields.
 */

import type {Attempt, LoadReport} from './AttemptMessages.js';

import {attemptSchema} from './AttemptMessages.js';

type Fields = Readonly<Record<string, unknown>>;

function isNonNegativeNumber(value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0;
}

/**
 * Returns whether a value is a load report.
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

/** Parses an attempt by its schema: the fallback when the type check fails. */
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
 * Parses the attempt of a call head; returns undefined if the value is not an
 * attempt. Checks only the types, because the sender is a daemon that has
 * authenticated with the fleet key.
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
