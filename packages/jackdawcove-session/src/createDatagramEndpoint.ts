/** Connects the datagrams of a pool to its parts. */

import type {LinkOwnerParts} from './createLinkOwner.js';
import type {SentBytes} from './SentBytes.js';
import type {SessionPoolOptions} from './SessionTypes.js';

import {formatAddress} from 'jackdawcove-shared';

import {DatagramEndpoint} from './DatagramEndpoint.js';

/**
 * Creates the endpoint of the datagrams of a pool.
 *
 * @example
 * const datagrams = createDatagramEndpoint(options, sentBytes, deliver);
 */
export function createDatagramEndpoint(
  {
    fleetKeys,
    onEvent,
    self,
  }: Pick<SessionPoolOptions, 'fleetKeys' | 'onEvent' | 'self'>,
  sentBytes: SentBytes,
  onMessage: LinkOwnerParts['onMessage'],
): DatagramEndpoint {
  return new DatagramEndpoint({
    fleetKeys,
    onDatagram: ({channel, message, sender}, address) => {
      onMessage(channel, message, {address, daemon: sender.name});
    },
    onRejected: (failure, source) => {
      onEvent({failure, kind: 'datagramRejected', source});
    },
    onSent: (to, kind, byteCount) => {
      sentBytes.add(formatAddress(to), kind, byteCount);
    },
    self,
  });
}
