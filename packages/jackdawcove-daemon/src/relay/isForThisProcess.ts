/** Whether an offer is for this process of the daemon. */

import type {RelayServerOptions} from './RelayServerOptions.js';
import type {OfferPacket} from 'jackdawcove-relay';

/**
 * Returns whether an offer is for this process and not for an earlier one. After a step
 * back of the clock, the announced incarnation is a greater one.
 *
 * @example
 * isForThisProcess(offer, {host, membership});
 */
export function isForThisProcess(
  {daemonIncarnation}: OfferPacket,
  {host, membership}: Pick<RelayServerOptions, 'host' | 'membership'>,
): boolean {
  return (
    daemonIncarnation === host.incarnation ||
    daemonIncarnation === membership.getView().getLocalDaemon()?.incarnation
  );
}
