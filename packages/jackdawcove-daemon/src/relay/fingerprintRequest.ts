/** Fingerprint that a request shares with its retries. */

import type {OfferPacket} from 'jackdawcove-relay';

import {digestHex} from 'jackdawcove-shared';

/**
 * Returns the fingerprint of a request: method, path and body.
 *
 * @example
 * fingerprintRequest({body, method: 'GET', path: '/prices'});
 */
export function fingerprintRequest({
  body,
  method,
  path,
}: Pick<OfferPacket, 'body' | 'method' | 'path'>): string {
  return digestHex(`${method} ${path} ${digestHex(body)}`);
}
