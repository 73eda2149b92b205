/** Encodes the answers to callers. */

import {STATUS_CODES} from 'node:http';

import {isBodiless, LINE_END} from 'jackdawcove-relay';

/** Status, forwarded header lines and body of an answer. */
export type AnswerText = {
  readonly body: Uint8Array;
  readonly headerLines: string;
  readonly status: number;
};

/**
 * Encodes an answer; `isLast` announces that the connection closes after it.
 *
 * @example
 * encodeAnswer({body, headerLines: '', status: 200}, 'GET', false);
 */
export function encodeAnswer(
  {body, headerLines, status}: AnswerText,
  method: string,
  isLast: boolean,
): Buffer {
  const hasBody = !isBodiless(method, status);
  const head =
    `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ''}${LINE_END}${headerLines}` +
    (hasBody ? `content-length: ${String(body.length)}${LINE_END}` : '') +
    (isLast ? `connection: close${LINE_END}${LINE_END}` : LINE_END);
  const bodyBytes = hasBody ? body.length : 0;
  const bytes = Buffer.allocUnsafe(head.length + bodyBytes);
  bytes.write(head, 0, 'latin1');
  if (bodyBytes > 0) {
    bytes.set(body, head.length);
  }
  return bytes;
}
