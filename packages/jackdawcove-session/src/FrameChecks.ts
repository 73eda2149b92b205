/**
 * Fast checks for the frames that every call sends; schemas cost more.
 *
 * They accept what the schemas of `FrameSchemas.ts` accept; a test compares both.
 */

import type {FrameKind} from './FrameSchemas.js';
import type {AnswerHead, CallHead} from './SessionSchemas.js';

/** Fields of a decoded frame before they are checked. */
export type DecodedFields = Readonly<Record<string, unknown>>;

import {isCount} from 'jackdawcove-shared';

const MAXIMUM_HEADERS = 256;
const MAXIMUM_IDENTIFIER_LENGTH = 128;
const MAXIMUM_TOKENS = 65_535;
const MINIMUM_STATUS = 100;
const MAXIMUM_STATUS = 999;

function isObject(value: unknown): value is DecodedFields {
  return typeof value === 'object' && value !== null;
}

function isTokenCount(value: unknown): boolean {
  return isCount(value) && value <= MAXIMUM_TOKENS;
}

function areHeaders(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length <= MAXIMUM_HEADERS &&
    value.every(
      (header) =>
        Array.isArray(header) &&
        header.length === 2 &&
        typeof header[0] === 'string' &&
        typeof header[1] === 'string',
    )
  );
}

function isBodyEnd(value: unknown): boolean {
  return (
    isObject(value) && isCount(value['checksum']) && isCount(value['length'])
  );
}

function isAnswerEnd(value: unknown): boolean {
  return (
    isBodyEnd(value) && isTokenCount((value as DecodedFields)['tokensReturned'])
  );
}

/**
 * Returns whether a value is the head of a call.
 *
 * @example
 * isCallHead({attempt, attemptIdentifier: 'a.1', headers: [], remainingMilliseconds: 5, tokens: 0});
 */
export function isCallHead(value: unknown): value is CallHead {
  if (!isObject(value)) {
    return false;
  }
  const {attemptIdentifier, headers, remainingMilliseconds, tokens} = value;
  return (
    typeof attemptIdentifier === 'string' &&
    attemptIdentifier.length > 0 &&
    attemptIdentifier.length <= MAXIMUM_IDENTIFIER_LENGTH &&
    Number.isFinite(remainingMilliseconds) &&
    (remainingMilliseconds as number) >= 0 &&
    isTokenCount(tokens) &&
    areHeaders(headers)
  );
}

/**
 * Returns whether a value is the head of an answer.
 *
 * @example
 * isAnswerHead({executed: 'yes', headers: [], load: 0, resultNumber: 0, status: 200});
 */
export function isAnswerHead(value: unknown): value is AnswerHead {
  if (!isObject(value)) {
    return false;
  }
  const {executed, headers, resultNumber, status} = value;
  return (
    (executed === 'yes' || executed === 'no' || executed === 'unknown') &&
    isCount(resultNumber) &&
    isCount(status) &&
    (status as number) >= MINIMUM_STATUS &&
    (status as number) <= MAXIMUM_STATUS &&
    areHeaders(headers)
  );
}

function isOptional(
  value: unknown,
  isValid: (present: unknown) => boolean,
): boolean {
  return value === undefined || isValid(value);
}

/** Checks by kind of frame; the other kinds are validated by their schema. */
export const FRAME_CHECKS: Partial<
  Record<FrameKind, (fields: DecodedFields) => boolean>
> = {
  acknowledge: ({frames}) => isCount(frames),
  answer: ({callNumber, end, head}) =>
    isCount(callNumber) && isOptional(end, isAnswerEnd) && isAnswerHead(head),
  answerBody: ({callNumber}) => isCount(callNumber),
  answerEnd: ({callNumber, end}) => isCount(callNumber) && isAnswerEnd(end),
  call: ({callNumber, end, head}) =>
    isCount(callNumber) && isOptional(end, isBodyEnd) && isCallHead(head),
  callBody: ({callNumber}) => isCount(callNumber),
  callEnd: ({callNumber, end}) => isCount(callNumber) && isBodyEnd(end),
  cancel: ({callNumber}) => isCount(callNumber),
  credit: ({byteCount, callNumber}) =>
    isCount(byteCount) && isCount(callNumber),
};
