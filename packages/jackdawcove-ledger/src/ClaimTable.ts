/** Claims of one daemon by key, with the phase of each. */

import type {ClaimAttempt} from './ClaimAttempt.js';
import type {KeyIdentifier} from './IdempotencyKey.js';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {getMintTime} from './IdempotencyKey.js';
import {RECORD_RETENTION_MS} from './LedgerConstants.js';

/**
 * Phase of a claim. In `released` and `joining`, the attempt of this daemon has
 * not run and never will; `joining` waits for the outcome of the claim of
 * another daemon.
 */
export type ClaimPhase =
  'claiming' | 'joining' | 'ran' | 'released' | 'running' | 'unknown';

/** Claim of one key by this daemon. */
export type ClaimEntry = {
  claim: ClaimAttempt;
  phase: ClaimPhase;
  sentAt: Milliseconds;
  /** Numbers of the local claims that wait for the outcome. */
  waiters: readonly number[];
  /** Other daemons that wait for the outcome of the claim. */
  watchers: readonly DaemonName[];
};

/** Claims by key. */
export class ClaimTable {
  readonly #active = new Map<KeyIdentifier, ClaimEntry>();
  readonly #entries = new Map<KeyIdentifier, ClaimEntry>();

  /** Adds an entry in the phase `claiming`. */
  add(key: KeyIdentifier, entry: ClaimEntry): void {
    this.#entries.set(key, entry);
    this.#active.set(key, entry);
  }

  /** Sets the phase of an entry. */
  setPhase(entry: ClaimEntry, phase: ClaimPhase): void {
    entry.phase = phase;
    const {key} = entry.claim;
    if (phase === 'claiming' || phase === 'joining') {
      this.#active.set(key, entry);
    } else {
      this.#active.delete(key);
    }
  }

  /**
   * Deletes the ended entries whose keys no member accepts any more.
   *
   * @example
   * table.removeExpired(now, (key) => answers.remove(key));
   */
  removeExpired(
    now: Milliseconds,
    onRemoved: (key: KeyIdentifier) => void,
  ): void {
    for (const [key, {phase}] of this.#entries) {
      const isEnded =
        phase === 'ran' || phase === 'released' || phase === 'unknown';
      if (isEnded && now - getMintTime(key) > RECORD_RETENTION_MS) {
        this.#entries.delete(key);
        onRemoved(key);
      }
    }
  }

  /** Returns the entry of a key, or undefined. */
  get(key: KeyIdentifier): ClaimEntry | undefined {
    return this.#entries.get(key);
  }

  /** Returns the entries in the phases `claiming` and `joining`. */
  getActive(): readonly ClaimEntry[] {
    return [...this.#active.values()];
  }

  /** Returns the number of entries. */
  getSize(): number {
    return this.#entries.size;
  }
}
