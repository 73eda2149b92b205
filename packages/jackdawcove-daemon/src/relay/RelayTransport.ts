/** Sends packets to other daemons over sessions, and to this daemon directly. */

import type {RelayPacket} from 'jackdawcove-relay';
import type {PacketListener, SessionPool} from 'jackdawcove-session';
import type {DaemonName, Incarnation, Teardown} from 'jackdawcove-shared';

import {decodePacket, encodePacket} from 'jackdawcove-relay';

/** Listener for packets and for changes of sessions. */
export type RelayPacketListener = Omit<PacketListener, 'onPacket'> & {
  readonly onPacket: (packet: RelayPacket, source: DaemonName) => void;
};

/** Sends and receives packets. */
export class RelayTransport {
  #listener: RelayPacketListener | undefined;
  readonly #onMalformed: () => void;
  readonly #self: DaemonName;
  readonly #sessions: SessionPool;

  constructor(
    sessions: SessionPool,
    self: DaemonName,
    onMalformed: () => void,
  ) {
    this.#onMalformed = onMalformed;
    this.#self = self;
    this.#sessions = sessions;
  }

  /**
   * Sends a packet; returns false, without sending it, when there is no session, or
   * none with the process that it is for.
   *
   * @example
   * if (!transport.send('vm-2', answer, offer.callerIncarnation)) sendLater(answer);
   */
  send(
    to: DaemonName,
    packet: RelayPacket,
    incarnation?: Incarnation,
  ): boolean {
    if (to !== this.#self) {
      const {kind} = packet;
      return this.#sessions.sendPacket(to, encodePacket(packet), {
        incarnation,
        kind,
      });
    }
    queueMicrotask(() => {
      this.#listener?.onPacket(packet, this.#self);
    });
    return true;
  }

  /** Returns the process of another daemon that has the open session, or undefined. */
  getIncarnation(daemon: DaemonName): Incarnation | undefined {
    return daemon === this.#self
      ? undefined
      : this.#sessions.getPeerIncarnation(daemon);
  }

  /** Flushes the sessions now instead of in the next iteration of the event loop. */
  flush(): void {
    this.#sessions.flush();
  }

  register(listener: RelayPacketListener): Teardown {
    this.#listener = listener;
    return this.#sessions.registerPacketListener({
      ...listener,
      onPacket: (bytes, source) => {
        const packet = decodePacket(bytes);
        if (packet === undefined) {
          this.#onMalformed();
          return;
        }
        listener.onPacket(packet, source);
      },
    });
  }
}
