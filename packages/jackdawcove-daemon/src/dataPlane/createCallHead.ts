/** Translates attempts to and from the head of a call on a session. */

import type {Attempt} from 'jackdawcove-call';
import type {CallHead} from 'jackdawcove-session';
import type {IncomingHttpHeaders} from 'node:http';

import {attemptSchema} from 'jackdawcove-call';

import {selectRequestHeaders} from './HttpHeaders.js';

/**
 * Creates the head under which an attempt travels.
 *
 * @example
 * sessions.openCall(daemon, createCallHead(attempt, incoming.headers), handlers);
 */
export function createCallHead(
  attempt: Attempt,
  headers: IncomingHttpHeaders,
): CallHead {
  const {attemptIdentifier, remainingMilliseconds, tokensLent} = attempt;
  return {
    attempt,
    attemptIdentifier,
    headers: selectRequestHeaders(headers),
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
  const parsed = attemptSchema.safeParse(head.attempt);
  return parsed.success &&
    parsed.data.attemptIdentifier === head.attemptIdentifier
    ? parsed.data
    : undefined;
}
