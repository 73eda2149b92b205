/** Notices daemons that stopped answering before their sessions time out. */

import type {OpenAttempt} from './RelayCall.js';
import type {InstancePlacement} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {BLOCK_MILLISECONDS, SILENCE_MILLISECONDS} from './RelayConstants.js';

/**
 * Keeps new requests away from daemons that are silent while requests wait for
 * them. Answers the first second of a cut: a session takes longer to be given up,
 * since giving it up costs what is on it, and placing requests elsewhere does not.
 */
export class SilenceWatch {
  readonly #heardAt = new Map<DaemonName, Milliseconds>();
  readonly #placement: InstancePlacement;

  constructor(placement: InstancePlacement) {
    this.#placement = placement;
  }

  recordHeard(daemon: DaemonName, now: Milliseconds): void {
    this.#heardAt.set(daemon, now);
  }

  /** Looks at a request that is not answered yet. */
  check({candidate, sentAt}: OpenAttempt, now: Milliseconds): void {
    const {daemon, instance} = candidate;
    const since = Math.max(sentAt, this.#heardAt.get(daemon) ?? sentAt);
    if (now - since > SILENCE_MILLISECONDS) {
      this.#placement.block(instance, now + BLOCK_MILLISECONDS);
    }
  }
}
