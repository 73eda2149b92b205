/** Notices daemons that stopped answering before their sessions time out. */

import type {OpenAttempt} from './RelayCall.js';
import type {InstancePlacement} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {
  BLOCK_MILLISECONDS,
  SILENCE_TIMEOUT_MILLISECONDS,
} from './RelayConstants.js';

/**
 * Keeps new requests away from daemons that are silent while requests wait for
 * them. Answers the first second of a cut: a session takes longer to be given up,
 * since giving it up costs what is on it, and placing requests elsewhere does not.
 */
export class SilenceDetector {
  readonly #lastReceivedAt = new Map<DaemonName, Milliseconds>();
  readonly #placement: InstancePlacement;

  constructor(placement: InstancePlacement) {
    this.#placement = placement;
  }

  recordReceived(daemon: DaemonName, now: Milliseconds): void {
    this.#lastReceivedAt.set(daemon, now);
  }

  /** Looks at a request that is not answered yet. */
  check({candidate, sentAt}: OpenAttempt, now: Milliseconds): void {
    const {daemon, instance} = candidate;
    const silentSince = Math.max(
      sentAt,
      this.#lastReceivedAt.get(daemon) ?? sentAt,
    );
    if (now - silentSince > SILENCE_TIMEOUT_MILLISECONDS) {
      this.#placement.block(instance, now + BLOCK_MILLISECONDS);
    }
  }
}
