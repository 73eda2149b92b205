/** Connects the sessions of a pool to its parts. */

import type {AttemptServer} from './AttemptServer.js';
import type {PacketDispatcher} from './PacketDispatcher.js';
import type {SentBytes} from './SentBytes.js';
import type {SessionLinkOwner} from './SessionLink.js';
import type {ChannelName, MessageSource} from './SessionTypes.js';
import type {MonotonicClock} from 'jackdawcove-shared';

/** Parts of a pool that handle the events of its sessions. */
export type LinkOwnerParts = Pick<
  SessionLinkOwner,
  'onClosed' | 'onEstablished'
> & {
  readonly attempts: AttemptServer;
  readonly clock: MonotonicClock;
  readonly onMessage: (
    channel: ChannelName,
    message: unknown,
    source: MessageSource,
  ) => void;
  readonly packetDispatcher: PacketDispatcher;
  readonly sentBytes: SentBytes;
};

/**
 * Creates the owner of all sessions of a pool.
 *
 * @example
 * const link = new SessionLink(core, socket, true, createLinkOwner(parts));
 */
export function createLinkOwner(parts: LinkOwnerParts): SessionLinkOwner {
  const {attempts, onMessage, packetDispatcher, sentBytes} = parts;
  return {
    clock: parts.clock,
    onAcknowledged: (record) => {
      attempts.acknowledge(record);
    },
    onCall: (link, head) => attempts.handleCall(link, head),
    onCancelled: (record, failure) => {
      attempts.cancel(record, failure);
    },
    onClosed: parts.onClosed,
    onEstablished: parts.onEstablished,
    onMessage: (link, channel, message) => {
      const source = link.getSource();
      if (source !== undefined) {
        onMessage(channel, message, source);
      }
    },
    onPacket: (link, bytes) => {
      packetDispatcher.deliver(link, bytes);
    },
    onResolve: (link, query) => attempts.handleResolve(link, query),
    onSent: (link, kind, byteCount) => {
      const peer = link.core.getPeer();
      if (peer !== undefined) {
        sentBytes.add(peer.name, kind, byteCount);
      }
    },
  };
}
