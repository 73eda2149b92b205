/** Creates the heads of the requests to the local backend server. */

import type {RelayDialect} from './RelayTypes.js';
import type {OfferPacket} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {LINE_END} from 'jackdawcove-relay';

/** Requests with these methods have no content-length unless they have a body. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set([
  'DELETE',
  'GET',
  'HEAD',
  'OPTIONS',
]);

function createLengthLine({body, method}: OfferPacket): string {
  const hasContentLength = body.length > 0 || !METHODS_WITHOUT_BODY.has(method);
  return hasContentLength
    ? `content-length: ${String(body.length)}${LINE_END}`
    : '';
}

/**
 * Creates the head of the request that an offer holds, with its empty line.
 *
 * @example
 * createRequestHead(offer, dialect, 900); // 'GET /a/ HTTP/1.1\r\n…'
 */
export function createRequestHead(
  offer: OfferPacket,
  dialect: RelayDialect,
  remainingMilliseconds: Milliseconds,
): string {
  return (
    `${offer.method} ${offer.path} HTTP/1.1${LINE_END}${offer.forwardedLines}` +
    dialect.createInstanceLines(offer.instance, remainingMilliseconds) +
    createLengthLine(offer) +
    LINE_END
  );
}
