/** Framing of the body of a message, from its headers. */

import type {BodyFraming} from './BodyReader.js';

import {
  FIRST_FINAL_STATUS,
  MAXIMUM_HTTP_STATUS,
  MINIMUM_HTTP_STATUS,
} from 'jackdawcove-shared';

import {NO_BODY} from './BodyReader.js';

const STATUS_LINE_PATTERN = /^HTTP\/1\.[01] (\d{3})(?: |$)/;
const LENGTH_PATTERN = /^\d{1,15}$/;
const SWITCHING_PROTOCOLS = 101;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

function findDeclaredFraming(
  values: ReadonlyMap<string, string>,
): 'malformed' | BodyFraming | undefined {
  const encoding = values.get('transfer-encoding');
  const length = values.get('content-length');
  if (encoding !== undefined) {
    const isChunked = encoding.toLowerCase() === 'chunked';
    // With both headers two parsers could see two different messages.
    return isChunked && length === undefined ? {kind: 'chunked'} : 'malformed';
  }
  if (length === undefined) {
    return undefined;
  }
  return LENGTH_PATTERN.test(length)
    ? {byteCount: Number(length), kind: 'length'}
    : 'malformed';
}

/**
 * Returns the status in the start line of an answer; undefined if it is none of HTTP's,
 * or switches to a protocol that no request asks for.
 *
 * @example
 * parseStatus('HTTP/1.1 404 Not Found'); // 404
 * parseStatus('HTTP/1.1 000 '); // undefined
 */
export function parseStatus(startLine: string): number | undefined {
  const status = Number(STATUS_LINE_PATTERN.exec(startLine)?.[1]);
  const isValid =
    status >= MINIMUM_HTTP_STATUS &&
    status <= MAXIMUM_HTTP_STATUS &&
    status !== SWITCHING_PROTOCOLS;
  return isValid ? status : undefined;
}

/**
 * Returns whether an answer has no body, regardless of its headers.
 *
 * @example
 * isBodiless('HEAD', 200); // true
 */
export function isBodiless(method: string, status: number): boolean {
  return (
    method === 'HEAD' ||
    status < FIRST_FINAL_STATUS ||
    status === NO_CONTENT ||
    status === NOT_MODIFIED
  );
}

/**
 * Returns the framing of a request.
 *
 * @example
 * findRequestFraming(new Map([['content-length', '7']])); // {byteCount: 7, …}
 */
export function findRequestFraming(
  values: ReadonlyMap<string, string>,
): 'malformed' | BodyFraming {
  return findDeclaredFraming(values) ?? NO_BODY;
}

/**
 * Returns the framing of an answer.
 *
 * @example
 * findAnswerFraming('HEAD', 200, values); // NO_BODY
 */
export function findAnswerFraming(
  method: string,
  status: number,
  values: ReadonlyMap<string, string>,
): 'malformed' | BodyFraming {
  return isBodiless(method, status)
    ? NO_BODY
    : (findDeclaredFraming(values) ?? {kind: 'untilClose'});
}
