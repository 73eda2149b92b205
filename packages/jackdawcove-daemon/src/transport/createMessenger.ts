/** Messenger that sends messages between daemons over sessions. */

import type {Messenger} from '../DaemonHost.js';
import type {SessionPool} from 'jackdawcove-session';
import type {Address} from 'jackdawcove-shared';

/** Looks up the address that a daemon announced. */
export type ResolveAddress = (name: string) => Address | undefined;

/**
 * Creates the messenger.
 *
 * @example
 * createMessenger(sessions, resolveAddress).send('erie-2', 'revision', message);
 */
export function createMessenger(
  sessions: SessionPool,
  resolveAddress: ResolveAddress,
): Messenger {
  return {
    registerListener: (channel, listener) =>
      sessions.registerListener(channel, (message, {address, daemon}) => {
        // A datagram's source may differ from the address that its sender
        // announced.
        listener(message, {
          address: resolveAddress(daemon) ?? address,
          daemon,
        });
      }),
    send: (to, channel, message) => {
      sessions.send(to, channel, message);
    },
    sendBrief: (to, channel, message) => {
      const address = resolveAddress(to);
      const isSent =
        address !== undefined &&
        sessions.sendDatagram(address, channel, message);
      if (!isSent) {
        sessions.send(to, channel, message);
      }
    },
    sendDatagram: (to, channel, message) => {
      sessions.sendDatagram(to, channel, message);
    },
    sendToAddress: (to, channel, message) => {
      sessions.send(to, channel, message);
    },
  };
}
