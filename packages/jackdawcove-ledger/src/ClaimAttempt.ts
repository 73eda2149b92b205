/** One attempt to claim a key: acknowledgements and rivals under one generation. */

import type {KeyIdentifier} from './IdempotencyKey.js';
import type {LedgerGroup} from './LedgerAssignments.js';
import type {Attempt, HeldClaim, LedgerMessageOf} from './LedgerMessages.js';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {isSameAttempt} from './LedgerMessages.js';

/** Safeguards that a test leaves out to show that its checker notices. */
export type InjectedClaimFaults = {
  readonly acceptsStaleAcknowledgements?: boolean;
  readonly skipsMajority?: boolean;
};

/** A claim of another attempt that stands against this one. */
export type Conflict = {
  readonly inquiredAt: Milliseconds;
  readonly claim: HeldClaim;
  /** When its owner last answered, or was first asked. */
  readonly lastAnswerAt: Milliseconds;
  /** Its owner cannot tell how it ended. */
  readonly isOutcomeUnknown: boolean;
};

/** What an attempt is made of. */
export type ClaimAttemptOptions = {
  readonly attempt: Attempt;
  readonly injectedFaults: InjectedClaimFaults;
  readonly fingerprint: string;
  readonly group: LedgerGroup;
  readonly key: KeyIdentifier;
  readonly now: Milliseconds;
};

/**
 * Attempt to claim a key.
 *
 * @example
 * attempt.applyAnswer(answer, 'vm-7');
 * if (attempt.hasMajority()) dispatch();
 */
export class ClaimAttempt {
  readonly attempt: Attempt;
  readonly fingerprint: string;
  readonly key: KeyIdentifier;
  readonly startedAt: Milliseconds;
  readonly #acknowledgements = new Set<DaemonName>();
  readonly #injectedFaults: InjectedClaimFaults;
  #group: LedgerGroup;
  #hasAnswer = false;
  readonly #conflictsByMember = new Map<DaemonName, HeldClaim>();
  #conflicts: readonly Conflict[] = [];
  #superseded: readonly Attempt[] = [];

  constructor(options: ClaimAttemptOptions) {
    this.attempt = options.attempt;
    this.fingerprint = options.fingerprint;
    this.key = options.key;
    this.startedAt = options.now;
    this.#injectedFaults = options.injectedFaults;
    this.#group = options.group;
  }

  /**
   * Takes in the answer of a member; one of another generation or incarnation
   * does not count.
   *
   * @example
   * attempt.applyAnswer(answer, 'vm-7');
   */
  applyAnswer(answer: LedgerMessageOf<'claimAnswer'>, from: DaemonName): void {
    const isMember = this.#group.members.some(
      ({incarnation, name}) =>
        name === from && incarnation === answer.incarnation,
    );
    const isCurrent = isMember && answer.generation === this.#group.generation;
    if (
      !isCurrent &&
      this.#injectedFaults.acceptsStaleAcknowledgements !== true
    ) {
      return;
    }
    this.#hasAnswer = true;
    const {held} = answer;
    if (held === undefined) {
      this.#acknowledgements.add(from);
      this.#conflictsByMember.delete(from);
    } else if (!this.isSuperseded(held)) {
      this.#conflictsByMember.set(from, held);
      this.addConflict(held);
    }
  }

  /** Takes over a newer group: earlier answers do not count any more. */
  adopt(group: LedgerGroup): void {
    this.#group = group;
    this.#conflictsByMember.clear();
    if (this.#injectedFaults.acceptsStaleAcknowledgements !== true) {
      this.#acknowledgements.clear();
    }
  }

  /** Notes that another attempt was given up: this one may take its place. */
  supersede(released: Attempt): void {
    this.#superseded = [...this.#superseded, released];
    this.#conflicts = this.#conflicts.filter(
      ({claim}) => !isSameAttempt(claim, released),
    );
    for (const [member, held] of this.#conflictsByMember) {
      if (isSameAttempt(held, released)) {
        this.#conflictsByMember.delete(member);
      }
    }
  }

  /** Notes a claim that stands against this one. */
  addConflict(claim: HeldClaim): void {
    const known = this.#conflicts.find((conflict) =>
      isSameAttempt(conflict.claim, claim),
    );
    if (known !== undefined && claim.state !== 'claimed') {
      this.updateConflict({...known, claim});
    }
    if (known === undefined) {
      this.#conflicts = [
        ...this.#conflicts,
        {
          claim,
          inquiredAt: Number.NEGATIVE_INFINITY,
          isOutcomeUnknown: false,
          lastAnswerAt: Number.POSITIVE_INFINITY,
        },
      ];
    }
  }

  /** Replaces what is known of a rival. */
  updateConflict(conflict: Conflict): void {
    this.#conflicts = this.#conflicts.map((other) =>
      isSameAttempt(other.claim, conflict.claim) ? conflict : other,
    );
  }

  /** Returns the claim message for the present group. */
  createMessage(): LedgerMessageOf<'claim'> {
    return {
      attempt: this.attempt,
      fingerprint: this.fingerprint,
      generation: this.#group.generation,
      key: this.key,
      kind: 'claim',
      slice: this.#group.slice,
      superseded: [...this.#superseded],
      zone: this.#group.availabilityZone,
    };
  }

  /** Returns the group that the attempt claims at. */
  getGroup(): LedgerGroup {
    return this.#group;
  }

  /** Returns the rivals whose end is not known. */
  getConflicts(): readonly Conflict[] {
    return this.#conflicts;
  }

  /** Returns the members that have not acknowledged. */
  getUnacknowledged(): readonly DaemonName[] {
    return this.#group.members
      .map(({name}) => name)
      .filter((name) => !this.#acknowledgements.has(name));
  }

  /** Returns whether any member answered. */
  hasAnswer(): boolean {
    return this.#hasAnswer;
  }

  /** Returns whether a majority of the group acknowledged. */
  hasMajority(): boolean {
    const needed =
      this.#injectedFaults.skipsMajority === true ? 1 : this.#getMajority();
    return this.#acknowledgements.size >= needed;
  }

  /** Returns whether rivals of unknown end hold so many members that none is left. */
  isBlocked(): boolean {
    const blocked = [...this.#conflictsByMember.values()].filter((held) =>
      this.#conflicts.some(
        ({claim, isOutcomeUnknown}) =>
          isOutcomeUnknown && isSameAttempt(claim, held),
      ),
    );
    const free = this.#group.members.length - blocked.length;
    return free < this.#getMajority();
  }

  /** Returns whether the attempt may take the place of another one. */
  isSuperseded(other: Attempt): boolean {
    return this.#superseded.some((released) => isSameAttempt(released, other));
  }

  #getMajority(): number {
    return Math.floor(this.#group.members.length / 2) + 1;
  }
}
