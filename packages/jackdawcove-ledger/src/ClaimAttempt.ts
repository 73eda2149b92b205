/**
 * One attempt to claim a key: its acknowledgements and the conflicting claims.
 */

import type {KeyIdentifier} from './IdempotencyKey.js';
import type {LedgerGroup} from './LedgerAssignments.js';
import type {Attempt, HeldClaim, LedgerMessageOf} from './LedgerMessages.js';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {isSameAttempt} from './LedgerMessages.js';

/**
 * Safeguards that a test disables to verify that its checker detects the
 * violations.
 */
export type InjectedClaimBugs = {
  readonly acceptsStaleAcknowledgements?: boolean;
  readonly skipsMajority?: boolean;
};

/** A claim for the same key by another attempt. */
export type Conflict = {
  readonly inquiredAt: Milliseconds;
  readonly claim: HeldClaim;
  /**
   * When the owner last answered, or was first asked if it has not answered
   * yet.
   */
  readonly lastAnswerAt: Milliseconds;
  /**
   * Whether the outcome cannot be determined, because the owner is lost or does
   * not know it.
   */
  readonly isOutcomeUnknown: boolean;
};

/** Options of a ClaimAttempt. */
export type ClaimAttemptOptions = {
  readonly attempt: Attempt;
  readonly injectedBugs: InjectedClaimBugs;
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
  readonly #injectedBugs: InjectedClaimBugs;
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
    this.#injectedBugs = options.injectedBugs;
    this.#group = options.group;
  }

  /**
   * Applies the answer of a member; ignores an answer from another generation
   * of the group or another incarnation of the member.
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
      this.#injectedBugs.acceptsStaleAcknowledgements !== true
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

  /**
   * Adopts a newer group and discards the answers given under the older one.
   */
  adopt(group: LedgerGroup): void {
    this.#group = group;
    this.#conflictsByMember.clear();
    if (this.#injectedBugs.acceptsStaleAcknowledgements !== true) {
      this.#acknowledgements.clear();
    }
  }

  /**
   * Records that another attempt was released, so that this one may replace it.
   */
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

  /** Records a conflicting claim. */
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

  /** Replaces the recorded state of a conflicting claim. */
  updateConflict(conflict: Conflict): void {
    this.#conflicts = this.#conflicts.map((other) =>
      isSameAttempt(other.claim, conflict.claim) ? conflict : other,
    );
  }

  /** Returns the claim message for the current group. */
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

  /** Returns the group that the attempt sends its claim to. */
  getGroup(): LedgerGroup {
    return this.#group;
  }

  /** Returns the conflicting claims that have not been released. */
  getConflicts(): readonly Conflict[] {
    return this.#conflicts;
  }

  /** Returns the members that have not acknowledged. */
  getUnacknowledged(): readonly DaemonName[] {
    return this.#group.members
      .map(({name}) => name)
      .filter((name) => !this.#acknowledgements.has(name));
  }

  /** Returns whether any member has answered. */
  hasAnswer(): boolean {
    return this.#hasAnswer;
  }

  /** Returns whether a majority of the group has acknowledged. */
  hasMajority(): boolean {
    const needed =
      this.#injectedBugs.skipsMajority === true ? 1 : this.#getMajority();
    return this.#acknowledgements.size >= needed;
  }

  /**
   * Returns whether a majority is impossible, because too many members hold
   * conflicting claims whose outcome is unknown.
   */
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

  /** Returns whether this attempt may replace another one. */
  isSuperseded(other: Attempt): boolean {
    return this.#superseded.some((released) => isSameAttempt(released, other));
  }

  #getMajority(): number {
    return Math.floor(this.#group.members.length / 2) + 1;
  }
}
