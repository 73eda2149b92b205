/** Delivers packets and session changes to the packet listener. */

import type {SessionLink} from './SessionLink.js';
import type {PacketListener} from './SessionTypes.js';
import type {DaemonName, Teardown} from 'jackdawcove-shared';

import {invariant} from 'jackdawcove-shared';

/** Connects the packet listener, only one, to the sessions of a pool. */
export class PacketDispatcher {
  #listener: PacketListener | undefined;

  register(listener: PacketListener): Teardown {
    invariant(this.#listener === undefined, 8, 'packets');
    this.#listener = listener;
    return () => {
      this.#listener = undefined;
    };
  }

  /** Delivers a packet with the sender that its session authenticated. */
  deliver(link: SessionLink, bytes: Uint8Array): void {
    const peer = link.core.getPeer();
    if (peer !== undefined) {
      this.#listener?.onPacket(bytes, peer.name);
    }
  }

  reportSessionLost(daemon: DaemonName | undefined): void {
    if (daemon !== undefined) {
      this.#listener?.onLost(daemon);
    }
  }

  reportSessionOpened(daemon: DaemonName): void {
    this.#listener?.onOpened(daemon);
  }
}
