/** Record of attempts that ended or were fenced, kept for a limited time. */

import type {AnswerEnd, AttemptIdentifier} from './AttemptMessages.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  ENDED_ATTEMPT_RETENTION_MILLISECONDS,
  FENCE_RETENTION_MILLISECONDS,
  MAXIMUM_ATTEMPTS_PER_GENERATION,
  MAXIMUM_QUERY_TRANSIT_MILLISECONDS,
} from './CallConstants.js';

/** Record of an ended attempt; `refused` and `fenced` attempts never ran. */
export type EndedAttempt =
  | {readonly kind: 'done'; readonly end: AnswerEnd}
  | {readonly kind: 'fenced'}
  | {readonly kind: 'refused'};

type Generation = {
  readonly attempts: Map<AttemptIdentifier, EndedAttempt>;
  /** No attempt sent after this time is in an earlier generation. */
  readonly completeSince: Milliseconds;
  readonly startedAt: Milliseconds;
};

/**
 * Two generations of ended attempts. Each attempt is kept for at least the
 * retention time, unless a generation is full and has to be closed early.
 * `isCompleteSince` accounts for that.
 */
export class EndedAttempts {
  #current: Generation;
  readonly #fences = new Map<AttemptIdentifier, Milliseconds>();
  #previous: Generation;

  constructor(now: Milliseconds) {
    this.#current = createGeneration(now, now);
    this.#previous = createGeneration(now, now);
  }

  /** Adds an attempt that has ended. */
  add(
    identifier: AttemptIdentifier,
    ended: EndedAttempt,
    now: Milliseconds,
  ): void {
    this.#rotateIfDue(now);
    this.#current.attempts.set(identifier, ended);
  }

  /** Fences an attempt, so that it is refused if it arrives. */
  fence(identifier: AttemptIdentifier, now: Milliseconds): void {
    this.#fences.set(identifier, now + FENCE_RETENTION_MILLISECONDS);
    for (const [fenced, expiresAt] of this.#fences) {
      if (expiresAt > now) {
        return;
      }
      this.#fences.delete(fenced);
    }
  }

  /** Returns the record of an attempt, or undefined if there is none. */
  get(identifier: AttemptIdentifier): EndedAttempt | undefined {
    if (this.#fences.has(identifier)) {
      return {kind: 'fenced'};
    }
    return (
      this.#current.attempts.get(identifier) ??
      this.#previous.attempts.get(identifier)
    );
  }

  /** Returns whether all attempts sent since then that ended are recorded. */
  isCompleteSince(sentAt: Milliseconds): boolean {
    return sentAt >= this.#previous.completeSince;
  }

  #rotateIfDue(now: Milliseconds): void {
    const {attempts, startedAt} = this.#current;
    const isDue =
      now - startedAt >= ENDED_ATTEMPT_RETENTION_MILLISECONDS ||
      attempts.size >= MAXIMUM_ATTEMPTS_PER_GENERATION;
    if (isDue) {
      this.#previous = this.#current;
      // A query's age lacks its transit time, so the attempt looks younger.
      const completeSince = now + MAXIMUM_QUERY_TRANSIT_MILLISECONDS;
      this.#current = createGeneration(now, completeSince);
    }
  }
}

function createGeneration(
  startedAt: Milliseconds,
  completeSince: Milliseconds,
): Generation {
  return {attempts: new Map(), completeSince, startedAt};
}
