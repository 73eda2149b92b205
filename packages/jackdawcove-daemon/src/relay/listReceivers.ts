/** Candidates that an offer can be sent to. */

import type {RelayCall} from './RelayCall.js';
import type {PlacementCandidate} from 'jackdawcove-relay';
import type {DaemonName} from 'jackdawcove-shared';

import {MAXIMUM_FRAME_BYTES} from 'jackdawcove-session';

/** Fields of an offer beside body, headers, path and identifier; an upper bound. */
const OFFER_FIELD_BYTES = 1_024;

/** Bodies up to this size fit in any case. */
const SMALL_BODY_BYTES = MAXIMUM_FRAME_BYTES / 2;

function getOfferBytes({body, facts, forwardedLines}: RelayCall): number {
  const texts = [forwardedLines, facts.path, facts.requestIdentifier];
  return texts.reduce(
    (byteCount, text) => byteCount + Buffer.byteLength(text),
    OFFER_FIELD_BYTES + body.length,
  );
}

/**
 * Returns the candidates that an offer can be sent to. An offer is one packet, and a
 * session closes on one that is longer than a frame may be, which would cost every other
 * request on it its session. Such a request can run at the local instance alone.
 *
 * @example
 * listReceivers(candidates, call, settings.daemon.name);
 */
export function listReceivers(
  candidates: readonly PlacementCandidate[],
  call: RelayCall,
  localDaemon: DaemonName,
): readonly PlacementCandidate[] {
  return call.body.length <= SMALL_BODY_BYTES ||
    getOfferBytes(call) <= MAXIMUM_FRAME_BYTES
    ? candidates
    : candidates.filter(({daemon}) => daemon === localDaemon);
}
