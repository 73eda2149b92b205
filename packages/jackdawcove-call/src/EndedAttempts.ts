/** Memory of attempts that have ended or were fenced, bounded in time. */

import type {AnswerEnd, AttemptIdentifier} from './AttemptMessages.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  ENDED_ATTEMPT_RETENTION_MILLISECONDS,
  FENCE_RETENTION_MILLISECONDS,
  MAXIMUM_ATTEMPTS_PER_GENERATION,
  MAXIMUM_QUERY_TRANSIT_MILLISECONDS,
} from './CallConstants.js';

/** What is kept of an attempt: `refused` and `fenced` ones never ran. */
export type EndedAttempt =
  | {readonly kind: 'done'; readonly end: AnswerEnd}
  | {readonly kind: 'fenced'}
  | {readonly kind: 'refused'};

type Generation = {
  readonly attempts: Map<AttemptIdentifier, EndedAttempt>;
  /** Attempts that were sent since then cannot be in an earlier generation. */
  readonly completeSince: Milliseconds;
  readonly startedAt: Milliseconds;
};

/**
 * Two generations of ended attempts. Each attempt is kept for at least the
 * retention, unless so many end that a generation has to be closed early; the
 * age up to which the memory is complete follows.
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

  /** Fences an attempt: when it arrives it is refused. */
  fence(identifier: AttemptIdentifier, now: Milliseconds): void {
    this.#fences.set(identifier, now + FENCE_RETENTION_MILLISECONDS);
    for (const [fenced, expiresAt] of this.#fences) {
      if (expiresAt > now) {
        return;
      }
      this.#fences.delete(fenced);
    }
  }

  /** Returns what is known of an attempt, or undefined. */
  get(identifier: AttemptIdentifier): EndedAttempt | undefined {
    if (this.#fences.has(identifier)) {
      return {kind: 'fenced'};
    }
    return (
      this.#current.attempts.get(identifier) ??
      this.#previous.attempts.get(identifier)
    );
  }

  /** Tells whether every attempt that was sent since then would be known. */
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
      // A query that was under way for a time makes its attempt look younger.
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
