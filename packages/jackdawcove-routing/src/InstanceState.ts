/** State of one instance as observed by a daemon through its own calls. */

import type {Incarnation, Milliseconds} from 'jackdawcove-shared';

import {
  CONSECUTIVE_FAILURES_TO_EJECT,
  DELAY_OF_FULL_SLOTS_MILLISECONDS,
  FIRST_EJECTION_MILLISECONDS,
  MAXIMUM_EJECTION_MILLISECONDS,
  REPORT_HALF_LIFE_MILLISECONDS,
} from './RoutingConstants.js';
import {decayThreshold} from './RoutingUtils.js';

/** Load that an instance reports with an answer. */
export type ReportedLoad = {
  readonly inFlight: number;
  readonly limit: number;
  readonly queueingDelayMilliseconds: number;
  /** Requests whose priority is below this are refused. */
  readonly threshold: number;
};

/** Outcome of a call to an instance; `silent` means that no answer came. */
export type CallOutcome = 'failed' | 'refused' | 'silent' | 'succeeded';

const HALF = 0.5;

/** Observed state of one instance. */
export class InstanceState {
  #consecutiveFailures = 0;
  #ejectedUntil = Number.NEGATIVE_INFINITY;
  #ejections = 0;
  #outstanding = 0;
  #queueingDelay = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;
  #threshold = 0;
  #utilization = 0;
  readonly incarnation: Incarnation;

  constructor(incarnation: Incarnation) {
    this.incarnation = incarnation;
  }

  /** Records that a call was sent. */
  recordSent(): void {
    this.#outstanding += 1;
  }

  /** Records how a call ended. */
  recordEnded(outcome: CallOutcome, now: Milliseconds): void {
    this.#outstanding = Math.max(0, this.#outstanding - 1);
    if (outcome === 'succeeded') {
      this.#consecutiveFailures = 0;
      this.#ejections = 0;
      return;
    }
    if (outcome !== 'refused') {
      this.#recordFailure(outcome, now);
    }
  }

  /** Records the load that an answer reported. */
  recordLoad(load: ReportedLoad, now: Milliseconds): void {
    this.#queueingDelay = load.queueingDelayMilliseconds;
    this.#threshold = load.threshold;
    this.#utilization = load.inFlight / Math.max(1, load.limit);
    this.#reportedAt = now;
  }

  /** Excludes the instance from the choice for a while. */
  eject(now: Milliseconds): void {
    const length = FIRST_EJECTION_MILLISECONDS * 2 ** this.#ejections;
    this.#ejectedUntil = now + Math.min(length, MAXIMUM_EJECTION_MILLISECONDS);
    this.#ejections += 1;
    this.#consecutiveFailures = 0;
  }

  #recordFailure(outcome: 'failed' | 'silent', now: Milliseconds): void {
    this.#consecutiveFailures += 1;
    const isEjectionDue =
      outcome === 'silent' ||
      this.#consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT;
    // Concurrent calls that fail together cause a single ejection.
    if (isEjectionDue && !this.isEjected(now)) {
      this.eject(now);
    }
  }

  /** Point in time until which the instance is ejected. */
  getEjectedUntil(): Milliseconds {
    return this.#ejectedUntil;
  }

  /** Returns whether the instance is ejected. */
  isEjected(now: Milliseconds): boolean {
    return now < this.#ejectedUntil;
  }

  /** Calls of this daemon that the instance has not answered yet. */
  getOutstanding(): number {
    return this.#outstanding;
  }

  /** Estimated current threshold of the instance. */
  getThreshold(now: Milliseconds): number {
    return decayThreshold(this.#threshold, now - this.#reportedAt);
  }

  /** Outstanding calls per slot, plus the reported load, which decays with its age. */
  getPressure(slots: number, now: Milliseconds): number {
    const age = now - this.#reportedAt;
    const freshness = HALF ** (age / REPORT_HALF_LIFE_MILLISECONDS);
    const delay = this.#queueingDelay / DELAY_OF_FULL_SLOTS_MILLISECONDS;
    const ownShare = (this.#outstanding + 1) / Math.max(1, slots);
    return ownShare + (this.#utilization + delay) * freshness;
  }
}
