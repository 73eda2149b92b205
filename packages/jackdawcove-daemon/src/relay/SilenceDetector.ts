/** Detects daemons that stopped answering before their sessions time out. */

import type {OpenAttempt} from './RelayCall.js';
import type {InstancePlacement} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {
  BLOCK_MILLISECONDS,
  SILENCE_TIMEOUT_MILLISECONDS,
} from './RelayConstants.js';

/**
 * Blocks the instances of daemons that send nothing while requests to them are open.
 * It covers the first second of a network partition: a session times out later,
 * because closing it fails its requests, while avoiding an instance fails none.
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

  /** Checks the daemon of an attempt that is not answered yet. */
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
