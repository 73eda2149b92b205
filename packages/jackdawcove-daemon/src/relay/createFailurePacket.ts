/** Packets that end an offer without an answer. */

import type {FailurePacket, InstanceLoad, OfferPacket} from 'jackdawcove-relay';

/**
 * Creates the packet that ends an offer without an answer.
 *
 * @example
 * createFailurePacket(offer, {mayHaveRun: false, reason: 'full'}, load);
 */
export function createFailurePacket(
  {attempt}: OfferPacket,
  {mayHaveRun, reason}: Pick<FailurePacket, 'mayHaveRun' | 'reason'>,
  load: InstanceLoad,
): FailurePacket {
  return {attempt, kind: 'failure', load, mayHaveRun, reason};
}
