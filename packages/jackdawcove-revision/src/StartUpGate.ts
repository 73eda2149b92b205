/** Start-up gate: the state that a daemon needs before it accepts calls. */

import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {
  START_UP_ANSWERS,
  START_UP_TIMEOUT_MILLISECONDS,
} from './RevisionConstants.js';

/** Whether a daemon has confirmed with its peers that its records are current. */
export type Confirmation = 'confirmed' | 'starting' | 'unconfirmed';

/** State of the record spread that the gate evaluates. */
export type StartUpView = {
  /** Whether every record that a peer reported is applied. */
  readonly isCaughtUp: boolean;
  /** Number of other reachable daemons. */
  readonly peerCount: number;
};

/**
 * Decides when a starting daemon may accept calls: when enough reachable peers
 * have answered and their newest records are applied, or after a timeout.
 *
 * @example
 * gate.recordAnswer('erie-2');
 * gate.update({isCaughtUp: true, peerCount: 1}, now);
 * gate.getConfirmation(); // 'confirmed'
 */
export class StartUpGate {
  readonly #answers = new Set<DaemonName>();
  #confirmation: Confirmation = 'starting';
  readonly #deadline: Milliseconds;

  constructor(now: Milliseconds) {
    this.#deadline = now + START_UP_TIMEOUT_MILLISECONDS;
  }

  /** Records that a peer has reported its versions. */
  recordAnswer(peer: DaemonName): void {
    if (this.#confirmation !== 'confirmed') {
      this.#answers.add(peer);
    }
  }

  /** Updates the confirmation from the current state. */
  update(view: StartUpView, now: Milliseconds): void {
    if (this.#confirmation === 'confirmed') {
      return;
    }
    const answers = this.#answers.size;
    const isTimedOut = now >= this.#deadline;
    const requiredAnswers = Math.min(
      START_UP_ANSWERS,
      Math.max(1, view.peerCount),
    );
    const hasEnoughAnswers =
      answers >= requiredAnswers || (isTimedOut && answers > 0);
    if (hasEnoughAnswers && view.isCaughtUp) {
      this.#confirmation = 'confirmed';
    } else if (isTimedOut) {
      this.#confirmation = 'unconfirmed';
    }
  }

  getConfirmation(): Confirmation {
    return this.#confirmation;
  }
}
