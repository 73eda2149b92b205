/** Translates attempts to and from the head of a call on a session. */

import type {Attempt} from 'jackdawcove-call';
import type {CallHead, Header} from 'jackdawcove-session';

import {parseAttempt} from 'jackdawcove-call';

/**
 * Creates the head under which an attempt travels.
 *
 * @example
 * sessions.openCall(daemon, createCallHead(attempt, exchange.getForwardedHeaders()), handlers);
 */
export function createCallHead(
  attempt: Attempt,
  headers: readonly Header[],
): CallHead {
  const {attemptIdentifier, remainingMilliseconds, tokensLent} = attempt;
  return {
    attempt,
    attemptIdentifier,
    headers: [...headers],
    remainingMilliseconds,
    tokens: tokensLent,
  };
}

/**
 * Reads the attempt from the head of a call, or returns undefined if it does
 * not match its schema.
 *
 * @example
 * const attempt = readAttempt(incoming.head);
 */
export function readAttempt(head: CallHead): Attempt | undefined {
  const attempt = parseAttempt(head.attempt);
  return attempt?.attemptIdentifier === head.attemptIdentifier
    ? attempt
    : undefined;
}
