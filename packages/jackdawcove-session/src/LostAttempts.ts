/** Attempts whose session was lost, as far as a question about them needs it. */

import type {BodyProgress} from './BodyReceiver.js';
import type {SessionLink} from './SessionLink.js';
import type {AttemptIdentifier} from './SessionTypes.js';
import type {DaemonName, Incarnation, Milliseconds} from 'jackdawcove-shared';

import {
  ATTEMPT_RETENTION_MILLISECONDS,
  MAXIMUM_LOST_ATTEMPTS,
} from './SessionConstants.js';

/** A lost attempt. */
export type LostAttempt = {
  readonly hasHead: boolean;
  readonly lostAt: Milliseconds;
  readonly progress: BodyProgress;
  readonly sentAt: Milliseconds;
  readonly target: DaemonName;
  readonly targetIncarnation: Incarnation;
};

/** Remembers lost attempts within bounds of count and time. */
export class LostAttempts {
  readonly #attempts = new Map<AttemptIdentifier, LostAttempt>();

  /** Returns a lost attempt. */
  get(attemptIdentifier: AttemptIdentifier): LostAttempt | undefined {
    return this.#attempts.get(attemptIdentifier);
  }

  /** Forgets attempts past their retention. */
  expire(now: Milliseconds): void {
    for (const [attemptIdentifier, attempt] of this.#attempts) {
      const isKept =
        now - attempt.lostAt < ATTEMPT_RETENTION_MILLISECONDS &&
        this.#attempts.size <= MAXIMUM_LOST_ATTEMPTS;
      if (isKept) {
        break;
      }
      this.#attempts.delete(attemptIdentifier);
    }
  }

  /** Remembers the calls of a session that closed. */
  rememberCalls(link: SessionLink, now: Milliseconds): void {
    const peer = link.core.getPeer();
    for (const [callNumber, record] of link.getOutgoing()) {
      const progress = link.core.outgoing.getAnswerProgress(callNumber);
      if (peer !== undefined && progress !== undefined) {
        const {attemptIdentifier, purpose} = record;
        this.remember(attemptIdentifier, {
          hasHead: record.hasHead(),
          lostAt: now,
          progress,
          sentAt: record.getSentAt(),
          target: peer.name,
          targetIncarnation:
            purpose.kind === 'call'
              ? peer.incarnation
              : purpose.query.targetIncarnation,
        });
      }
    }
  }

  /** Remembers a lost attempt. */
  remember(attemptIdentifier: AttemptIdentifier, attempt: LostAttempt): void {
    this.#attempts.delete(attemptIdentifier);
    this.#attempts.set(attemptIdentifier, attempt);
  }
}
