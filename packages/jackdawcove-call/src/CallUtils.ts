/** Helpers of the two sides of a call. */

import type {Attempt} from './AttemptMessages.js';
import type {CallerCall, OpenAttempt} from './CallerCall.js';
import type {
  CallerSideEffect,
  CallIdentifier,
  CallPolicy,
  CallRequest,
  ClaimOutcome,
} from './CallTypes.js';
import type {RequestContext} from 'jackdawcove-context';
import type {Choice} from 'jackdawcove-routing';
import type {Executed, Milliseconds, ResultName} from 'jackdawcove-shared';

import {getRemainingMilliseconds} from 'jackdawcove-context';
import {digestHex, getImportanceRank, RESULT_CODES} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {MINIMUM_RETRY_AFTER_MILLISECONDS} from './CallConstants.js';

/** Maximum length of a text that is its own fingerprint, in characters. */
const MAXIMUM_PLAIN_FINGERPRINT_LENGTH = 128;

/** Last effect of a call. */
export type FinishEffect = Extract<CallerSideEffect, {kind: 'finish'}>;

/**
 * Returns the priority of a request: the rank of its importance plus its cohort.
 * Every hop sheds the lowest priority first, so that all hops shed the same
 * requests.
 *
 * @example
 * getPriority({...context, cohort: 0.25, importance: 'urgent'}); // 3.25
 */
export function getPriority(context: RequestContext): number {
  return getImportanceRank(context.importance) + context.cohort;
}

/**
 * Returns the fingerprint of a request, for claims and quarantine.
 *
 * @example
 * getFingerprint(request).length; // 64
 */
export function getFingerprint(request: CallRequest): string {
  const body = request.bodyFingerprint ?? String(request.bodyLength ?? '');
  const {method, path, service} = request;
  const text = [method, service, path, body].join('\n');
  // A short text is used as it is, because a digest is the most expensive part.
  return text.length <= MAXIMUM_PLAIN_FINGERPRINT_LENGTH
    ? text
    : digestHex(text);
}

/**
 * Returns whether a result proves that the request did not run.
 *
 * @example
 * provesNotRun('shedByAdmission'); // true
 */
export function provesNotRun(result: ResultName): boolean {
  return RESULT_CODES[result].executed === 'no';
}

/**
 * Returns the outcome under which a claimed key is completed.
 *
 * @example
 * getClaimOutcome('no'); // 'notRun'
 */
export function getClaimOutcome(executed: Executed): ClaimOutcome {
  return match(executed)
    .with('no', () => 'notRun' as const)
    .with('unknown', () => 'unknown' as const)
    .with('yes', () => 'ran' as const)
    .exhaustive();
}

/**
 * Returns the result of an instance choice that selected no instance.
 *
 * @example
 * getResultOfChoice(undefined); // 'unknownService'
 */
export function getResultOfChoice(choice: Choice | undefined): ResultName {
  if (choice === undefined) {
    return 'unknownService';
  }
  return choice.kind === 'shed' ? 'shedBeforeSending' : 'noInstance';
}

/**
 * Creates the last effect of a call. Reports a refusal as `outcomeUnknown` if
 * an earlier attempt may have run.
 *
 * @example
 * createFinishEffect(call, 'shedByAdmission', false).executed; // 'no'
 */
export function createFinishEffect(
  call: CallerCall,
  result: ResultName,
  isAnswerForwarded: boolean,
): FinishEffect {
  const isOutcomeUnknown = call.mayHaveRun && provesNotRun(result);
  const reported = isOutcomeUnknown ? 'outcomeUnknown' : result;
  return {
    attempts: call.attempts,
    callIdentifier: call.callIdentifier,
    executed: getExecuted(call, reported),
    isAnswerForwarded,
    kind: 'finish',
    result: reported,
    ...createRetryAfter(reported, call.lastRefusal?.retryAfterMilliseconds),
  };
}

/**
 * Returns whether a request must be claimed at the ledger before it is sent.
 *
 * @example
 * needsClaim({...policy, isIdempotent: false}); // true
 */
export function needsClaim({isIdempotent, usesLedger}: CallPolicy): boolean {
  return !isIdempotent && usesLedger !== false;
}

/**
 * Returns whether the caller supplied the idempotency key, in which case an
 * earlier request may have used it.
 *
 * @example
 * hasCallerKey({...request, idempotencyKey: key}); // true
 */
export function hasCallerKey(request: CallRequest): boolean {
  return request.idempotencyKey !== undefined && request.isKeyMinted !== true;
}

/**
 * Returns whether a request may have run that was refused before its key was
 * claimed: an earlier request may have run under a key supplied by the caller.
 *
 * @example
 * getRefusalExecuted('daemonDraining', true); // 'unknown'
 */
export function getRefusalExecuted(
  result: ResultName,
  isKeyFromCaller: boolean,
): Executed {
  return isKeyFromCaller ? 'unknown' : RESULT_CODES[result].executed;
}

/** Reports "not run" for a key only after the ledger has confirmed it. */
function getExecuted(call: CallerCall, result: ResultName): Executed {
  const {executed} = RESULT_CODES[result];
  if (executed === 'no' && call.mayEarlierRequestHaveRun) {
    return result === 'invalidIdempotencyKey' ? executed : 'unknown';
  }
  const isProvenNotRun =
    call.request.isKeyMinted === true && call.attempts === 0;
  return executed === 'unknown' && isProvenNotRun ? 'no' : executed;
}

/**
 * Creates the only effect of a call that is refused immediately.
 *
 * @example
 * createRefusalEffect('a.1', request, 'chainTooDeep');
 */
export function createRefusalEffect(
  callIdentifier: CallIdentifier,
  request: CallRequest,
  result: ResultName,
): FinishEffect {
  return {
    attempts: 0,
    callIdentifier,
    executed: getRefusalExecuted(result, hasCallerKey(request)),
    isAnswerForwarded: false,
    kind: 'finish',
    result,
    ...createRetryAfter(result, undefined),
  };
}

/**
 * Creates the message of an attempt.
 *
 * @example
 * createAttempt(call, openAttempt, now).remainingMilliseconds;
 */
export function createAttempt(
  call: CallerCall,
  attempt: OpenAttempt,
  now: Milliseconds,
): Attempt {
  const {bodyLength, idempotencyKey, method, path, requestIdentifier, service} =
    call.request;
  const {candidate} = attempt;
  return {
    attemptIdentifier: attempt.attemptIdentifier,
    bodyLength,
    callIdentifier: call.callIdentifier,
    context: call.context,
    daemonIncarnation: candidate.daemonIncarnation,
    fingerprint: call.fingerprint,
    idempotencyKey,
    instance: candidate.instance,
    instanceIncarnation: candidate.instanceIncarnation,
    isIdempotent: call.policy.isIdempotent,
    isSuspectRetry: call.isSuspect,
    method,
    path,
    remainingMilliseconds: getRemainingMilliseconds(call.deadline, now),
    ...(requestIdentifier === undefined ? {} : {requestIdentifier}),
    service,
    tokensLent: attempt.tokensLent,
  };
}

/**
 * Reclaims the tokens that an attempt returned, at most as many as it was lent.
 *
 * @example
 * reclaimTokens(call, openAttempt, refusal.tokensReturned);
 */
export function reclaimTokens(
  call: CallerCall,
  attempt: OpenAttempt,
  tokens: number,
): void {
  call.allowance.reclaim(Math.min(tokens, attempt.tokensLent));
}

function createRetryAfter(
  result: ResultName,
  hint: Milliseconds | undefined,
): {retryAfterMilliseconds?: Milliseconds} {
  const code = RESULT_CODES[result];
  if (code.httpStatus !== RESULT_CODES.shedByAdmission.httpStatus) {
    return {};
  }
  const minimum = MINIMUM_RETRY_AFTER_MILLISECONDS;
  return {retryAfterMilliseconds: Math.max(minimum, hint ?? 0)};
}
