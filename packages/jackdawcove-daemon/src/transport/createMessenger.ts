/** Messenger of the daemon over its sessions. */

import type {Messenger} from '../DaemonHost.js';
import type {SessionPool} from 'jackdawcove-session';

/**
 * Creates the messenger.
 *
 * @example
 * createMessenger(sessions).send('erie-2', 'revision', message);
 */
export function createMessenger(sessions: SessionPool): Messenger {
  return {
    registerListener: (channel, listener) =>
      sessions.registerListener(channel, listener),
    send: (to, channel, message) => {
      sessions.send(to, channel, message);
    },
    sendDatagram: (to, channel, message) => {
      sessions.sendDatagram(to, channel, message);
    },
    sendToAddress: (to, channel, message) => {
      sessions.send(to, channel, message);
    },
  };
}
