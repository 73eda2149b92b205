/** Attempts whose session was lost, with what a resolve query needs. */

import type {BodyProgress} from './BodyReceiver.js';
import type {OutgoingOperation} from './OutgoingCallRecord.js';
import type {SessionLink} from './SessionLink.js';
import type {AttemptIdentifier} from './SessionTypes.js';
import type {DaemonName, Incarnation, Milliseconds} from 'jackdawcove-shared';

import {
  ATTEMPT_RETENTION_MILLISECONDS,
  MAXIMUM_LOST_ATTEMPTS,
} from './SessionConstants.js';

/** Attempt whose session closed before its outcome was known. */
export type LostAttempt = {
  readonly hasHead: boolean;
  readonly lostAt: Milliseconds;
  readonly progress: BodyProgress;
  readonly sentAt: Milliseconds;
  readonly target: DaemonName;
  readonly targetIncarnation: Incarnation;
};

/** Keeps lost attempts within limits of count and time. */
export class LostAttempts {
  readonly #attempts = new Map<AttemptIdentifier, LostAttempt>();

  /** Creates the resolve query of an attempt; an unknown one gets defaults. */
  createResolveOperation(
    target: DaemonName,
    attemptIdentifier: AttemptIdentifier,
    now: Milliseconds,
  ): OutgoingOperation {
    const known = this.#attempts.get(attemptIdentifier);
    const lost = known?.target === target ? known : undefined;
    return {
      kind: 'resolve',
      progress: lost?.progress ?? {checksum: 0, length: 0},
      query: {
        attemptIdentifier,
        hasHead: lost?.hasHead ?? false,
        receivedBytes: lost?.progress.length ?? 0,
        targetIncarnation: lost?.targetIncarnation ?? 0,
      },
      sentAt: lost?.sentAt ?? now,
    };
  }

  /** Removes attempts beyond their retention or the limit. */
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

  /** Adds the outgoing calls of a closed session. */
  addCalls(link: SessionLink, now: Milliseconds): void {
    const peer = link.core.getPeer();
    for (const [callNumber, record] of link.getOutgoing()) {
      const progress = link.core.outgoing.getAnswerProgress(callNumber);
      if (peer !== undefined && progress !== undefined) {
        const {attemptIdentifier, operation} = record;
        this.add(attemptIdentifier, {
          hasHead: record.hasHead(),
          lostAt: now,
          progress,
          sentAt: record.getSentAt(),
          target: peer.name,
          targetIncarnation:
            operation.kind === 'call'
              ? peer.incarnation
              : operation.query.targetIncarnation,
        });
      }
    }
  }

  /** Adds a lost attempt, or replaces it. */
  add(attemptIdentifier: AttemptIdentifier, attempt: LostAttempt): void {
    this.#attempts.delete(attemptIdentifier);
    this.#attempts.set(attemptIdentifier, attempt);
  }
}
