/** Until when a daemon may rely on the configuration that it has applied. */

import type {Milliseconds} from 'jackdawcove-shared';

import {
  CONFIRMATION_INTERVAL_MILLISECONDS,
  CONFIRMATION_RETRY_MILLISECONDS,
  LATE_CONFIRMATION_INTERVALS,
  MAXIMUM_PENDING_REQUESTS,
  REVOCATION_MARGIN_MILLISECONDS,
  SUSPENSION_TOLERANCE_MILLISECONDS,
  UNKNOWN_KEY_AGE_MILLISECONDS,
} from './OrganisationsConstants.js';

/** Readings of both clocks. */
export type Moment = {
  /** Steady clock; it may stand still while the process or its VM is suspended. */
  readonly now: Milliseconds;
  /** Time of day. */
  readonly wallTime: Milliseconds;
};

/**
 * Statement that some time ago no acknowledged change was newer than a revision.
 */
export type Confirmation = {
  readonly ageMilliseconds: Milliseconds;
  readonly revision: number;
};

/** Options of the freshness of one daemon. */
export type FreshnessOptions = {
  /** Differs between processes, so that no answer to an earlier process counts. */
  readonly firstNumber: number;
  readonly getAppliedRevision: () => number;
  /** Interval between requests; the default suits a daemon that is no voter. */
  readonly intervalMilliseconds?: Milliseconds;
  /** Time after an acknowledged change by which its removed keys must not work. */
  readonly revocationMilliseconds: Milliseconds;
};

type PendingRequest = {
  readonly number: number;
  readonly offset: Milliseconds;
  readonly sentAt: Milliseconds;
};

/** Revision that no acknowledged change was newer than at some time. */
export type ConfirmedRevision = {
  readonly at: Milliseconds;
  readonly revision: number;
};

/**
 * Decides from confirmations of the voters whether the keys of the applied
 * configuration may be used. A confirmation is dated to the time at which it was asked
 * for, minus the age that its sender states, so delays only make it older. It counts
 * once the daemon has applied the stated revision.
 *
 * Load: every request with a key asks, also while this daemon is cut off, and right
 * after a pause of the process, before any timer has run.
 */
export class ConfigurationFreshness {
  /** Newest confirmation, whether or not its revision is applied. */
  #announced: ConfirmedRevision | undefined;
  /** Newest confirmation whose revision was applied. */
  #confirmed: ConfirmedRevision | undefined;
  readonly #getAppliedRevision: () => number;
  readonly #intervalMilliseconds: Milliseconds;
  #lastSentAt = Number.NEGATIVE_INFINITY;
  readonly #lifetimeMilliseconds: Milliseconds;
  #number: number;
  /** Wall clock minus steady clock when the newest confirmation was asked for. */
  #offset: Milliseconds | undefined;
  #pending: PendingRequest[] = [];
  /** Time at which a suspension of the process was noticed last. */
  #resumedAt = Number.NEGATIVE_INFINITY;

  constructor(options: FreshnessOptions) {
    this.#getAppliedRevision = options.getAppliedRevision;
    this.#intervalMilliseconds =
      options.intervalMilliseconds ?? CONFIRMATION_INTERVAL_MILLISECONDS;
    this.#lifetimeMilliseconds =
      options.revocationMilliseconds - REVOCATION_MARGIN_MILLISECONDS;
    this.#number = options.firstNumber;
  }

  /**
   * Returns the number of the request to send now, or undefined if none is due.
   *
   * @example
   * const number = freshness.beginRequest(moment);
   */
  beginRequest(moment: Moment): number | undefined {
    this.#checkSuspension(moment);
    const {now, wallTime} = moment;
    const interval = this.#isCurrent(now)
      ? this.#intervalMilliseconds
      : Math.min(CONFIRMATION_RETRY_MILLISECONDS, this.#intervalMilliseconds);
    if (now - this.#lastSentAt < interval) {
      return undefined;
    }
    this.#lastSentAt = now;
    this.#number += 1;
    this.#pending.push({
      number: this.#number,
      offset: wallTime - now,
      sentAt: now,
    });
    if (this.#pending.length > MAXIMUM_PENDING_REQUESTS) {
      this.#pending.shift();
    }
    return this.#number;
  }

  /** Records the answer to a request; an unknown number is ignored. */
  recordAnswer(
    number: number,
    {ageMilliseconds, revision}: Confirmation,
    moment: Moment,
  ): void {
    this.#checkSuspension(moment);
    const request = this.#pending.find((pending) => pending.number === number);
    if (request === undefined) {
      return;
    }
    this.#pending = this.#pending.filter((pending) => pending.number > number);
    if (this.#announce({at: request.sentAt - ageMilliseconds, revision})) {
      this.#offset = request.offset;
    }
  }

  /** Records the newest contact of the local replica, which leads, to a majority. */
  recordLeadership(contact: ConfirmedRevision, moment: Moment): void {
    this.#checkSuspension(moment);
    // The round of an earlier contact may have begun before the suspension.
    if (contact.at > this.#resumedAt) {
      this.#announce(contact);
    }
  }

  /** Whether the applied configuration may be relied on now. */
  isConfirmed(moment: Moment): boolean {
    return this.getAge(moment) <= this.#lifetimeMilliseconds;
  }

  /** Whether no daemon has a newer configuration that may hold an unknown key. */
  isUnknownKeyFinal(moment: Moment): boolean {
    return this.getAge(moment) <= UNKNOWN_KEY_AGE_MILLISECONDS;
  }

  /** Age of the newest confirmation that counts; infinite if there is none. */
  getAge(moment: Moment): Milliseconds {
    this.#checkSuspension(moment);
    this.#confirmApplied();
    return this.#confirmed === undefined
      ? Number.POSITIVE_INFINITY
      : moment.now - this.#confirmed.at;
  }

  /** Returns what this daemon can state to others, or undefined. */
  getConfirmation(moment: Moment): Confirmation | undefined {
    this.#checkSuspension(moment);
    const newest = this.#announced;
    return (
      newest && {
        ageMilliseconds: moment.now - newest.at,
        revision: newest.revision,
      }
    );
  }

  /** Whether answers arrive and state a recent contact of the leader. */
  #isCurrent(now: Milliseconds): boolean {
    const latestAge = this.#intervalMilliseconds * LATE_CONFIRMATION_INTERVALS;
    return (
      this.#pending.length === 0 &&
      this.#announced !== undefined &&
      now - this.#announced.at <= latestAge
    );
  }

  #announce(next: ConfirmedRevision): boolean {
    const isNewer =
      this.#announced === undefined || next.at > this.#announced.at;
    if (isNewer) {
      this.#confirmApplied();
      this.#announced = next;
    }
    return isNewer;
  }

  #confirmApplied(): void {
    const newest = this.#announced;
    if (newest !== undefined && newest.revision <= this.#getAppliedRevision()) {
      this.#confirmed = newest;
    }
  }

  /** Drops every confirmation if the process was suspended since it was asked for. */
  #checkSuspension({now, wallTime}: Moment): void {
    const offset = wallTime - now;
    if (this.#offset === undefined || offset < this.#offset) {
      this.#offset = offset;
      return;
    }
    if (offset - this.#offset <= SUSPENSION_TOLERANCE_MILLISECONDS) {
      return;
    }
    this.#announced = undefined;
    this.#confirmed = undefined;
    this.#lastSentAt = Number.NEGATIVE_INFINITY;
    this.#offset = offset;
    this.#pending = [];
    this.#resumedAt = now;
  }
}
