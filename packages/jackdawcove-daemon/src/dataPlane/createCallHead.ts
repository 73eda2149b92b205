/** Converts attempts to and from the heads of calls on a session. */

import type {Attempt} from 'jackdawcove-call';
import type {CallHead, Header} from 'jackdawcove-session';

import {parseAttempt} from 'jackdawcove-call';

/**
 * Creates the head of the call that sends an attempt to another daemon.
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
 * Reads the attempt from the head of a call. Returns undefined if it does not
 * match its schema or its identifier differs from that of the head.
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
