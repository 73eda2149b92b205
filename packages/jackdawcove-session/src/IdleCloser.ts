/** Closes sessions that have been idle for too long. */

import type {PeerSessionRegistry} from './PeerSessionRegistry.js';
import type {SessionLink} from './SessionLink.js';
import type {SessionLimits} from './SessionTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {IDLE_CHECK_INTERVAL_MILLISECONDS} from './SessionConstants.js';

/** Searches for idle sessions at a fixed interval and closes them. */
export class IdleCloser {
  readonly #idleMilliseconds: Milliseconds;
  #nextCheckAt: Milliseconds = 0;
  readonly #peers: PeerSessionRegistry;

  constructor(peers: PeerSessionRegistry, limits: SessionLimits) {
    this.#idleMilliseconds = limits.idleCloseMilliseconds;
    this.#peers = peers;
  }

  tick(links: Iterable<SessionLink>, now: Milliseconds): void {
    if (now < this.#nextCheckAt) {
      return;
    }
    this.#nextCheckAt = now + IDLE_CHECK_INTERVAL_MILLISECONDS;
    for (const link of links) {
      if (link.isIdle(now, this.#idleMilliseconds)) {
        this.#peers.retire(link);
        link.applyEffects(link.core.sendGoodbye());
      }
    }
  }
}
