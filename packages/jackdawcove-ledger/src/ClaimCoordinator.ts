/** Coordination of the claims of one daemon, from the start to the outcome. */

import type {Conflict} from './ClaimAttempt.js';
import type {ClaimEntry, ClaimPhase} from './ClaimTable.js';
import type {GroupDirectory} from './GroupDirectory.js';
import type {KeyIdentifier} from './IdempotencyKey.js';
import type {LedgerGroup} from './LedgerAssignments.js';
import type {
  LedgerClientEffect,
  LedgerClientOptions,
} from './LedgerClientTypes.js';
import type {
  Attempt,
  HeldClaim,
  LedgerMessage,
  LedgerMessageOf,
} from './LedgerMessages.js';
import type {ClaimOutcome, HeldAnswer} from './LedgerTypes.js';
import type {DaemonName, Failure, Milliseconds} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';
import {match, P} from 'ts-pattern';

import {ClaimAttempt} from './ClaimAttempt.js';
import {ClaimTable} from './ClaimTable.js';
import {CompletionOutbox} from './CompletionOutbox.js';
import {createRefusedOutcome} from './createRefusedOutcome.js';
import {HeldAnswers} from './HeldAnswers.js';
import {
  CLAIM_TIMEOUT_MS,
  OWNER_TIMEOUT_MS,
  RESEND_INTERVAL_MS,
} from './LedgerConstants.js';

/** Content of a new attempt. */
export type NewClaim = {
  readonly fingerprint: string;
  readonly group: LedgerGroup;
  readonly key: KeyIdentifier;
  /** Attempts that never ran and that this one replaces. */
  readonly superseded: readonly Attempt[];
};

/** State of a claim as its owner reports it to other daemons. */
export type ReportedClaimState = LedgerMessageOf<'inquiryAnswer'>['state'];

function getReportedState(phase: ClaimPhase): ReportedClaimState {
  return match(phase)
    .returnType<ReportedClaimState>()
    .with('claiming', () => 'pending')
    .with('joining', () => 'released')
    .otherwise((state) => state);
}

/** Coordinates the claims of one daemon. */
export class ClaimCoordinator {
  readonly answers = new HeldAnswers();
  readonly completions: CompletionOutbox;
  readonly table = new ClaimTable();
  readonly #directory: GroupDirectory;
  #effects: LedgerClientEffect[] = [];
  #nextSequence = 1;
  readonly #options: LedgerClientOptions;

  constructor(options: LedgerClientOptions, directory: GroupDirectory) {
    this.completions = new CompletionOutbox(options.incarnation);
    this.#directory = directory;
    this.#options = options;
  }

  /** Makes a local claim wait for another claim of this daemon. */
  joinLocal(entry: ClaimEntry, claimNumber: number, fingerprint: string): void {
    const isGranted = ['ran', 'running', 'unknown'].includes(entry.phase);
    if (entry.claim.fingerprint !== fingerprint) {
      const result = isGranted ? 'keyReused' : 'outcomeUnknown';
      this.settle([claimNumber], createRefusedOutcome(createFailure(result)));
      return;
    }
    entry.waiters = [...entry.waiters, claimNumber];
    if (entry.phase === 'ran') {
      this.settleWaiters(entry, this.getRanOutcome(entry.claim.key));
    } else if (entry.phase === 'unknown') {
      this.settleWaiters(
        entry,
        createRefusedOutcome(createFailure('outcomeUnknown')),
      );
    }
  }

  /** Starts an attempt for the given local claims. */
  start(
    {fingerprint, group, key, superseded}: NewClaim,
    waiters: readonly number[],
    now: Milliseconds,
  ): void {
    const isReachable = group.members.some(({name}) => this.#isReachable(name));
    if (!isReachable) {
      this.settle(
        waiters,
        createRefusedOutcome(this.#createUnreachableFailure(group)),
      );
      return;
    }
    const {incarnation, injectedBugs = {}, name} = this.#options;
    const attempt = {incarnation, owner: name, sequence: this.#nextSequence};
    this.#nextSequence += 1;
    const claim = new ClaimAttempt({
      attempt,
      fingerprint,
      group,
      injectedBugs,
      key,
      now,
    });
    for (const released of superseded) {
      claim.supersede(released);
    }
    const entry: ClaimEntry = {
      claim,
      phase: 'claiming',
      sentAt: now,
      waiters,
      watchers: [],
    };
    this.table.add(key, entry);
    this.#sendClaim(entry, now);
  }

  /** Releases the attempt, which never ran; starts a new one if claims wait. */
  restart(
    entry: ClaimEntry,
    now: Milliseconds,
    released: readonly Attempt[] = [],
  ): void {
    const {claim, waiters} = entry;
    entry.waiters = [];
    this.setPhase(entry, 'released');
    this.completions.add(claim, 'released');
    if (waiters.length > 0) {
      const {attempt, fingerprint, key} = claim;
      const group = this.#directory.getNewest(claim.getGroup());
      this.start(
        {fingerprint, group, key, superseded: [attempt, ...released]},
        waiters,
        now,
      );
    }
  }

  /** Releases the attempt, which never ran, and refuses the waiting claims. */
  refuse(entry: ClaimEntry, failure: Failure): void {
    this.setPhase(entry, 'released');
    this.completions.add(entry.claim, 'released');
    this.settleWaiters(entry, createRefusedOutcome(failure));
  }

  /** Grants or refuses the claim, inquires about conflicts, or resends. */
  advance(entry: ClaimEntry, now: Milliseconds): void {
    const {claim} = entry;
    if (entry.phase === 'claiming' && claim.hasMajority()) {
      this.#grant(entry);
      return;
    }
    for (const conflict of claim.getConflicts()) {
      this.#inquire(entry, conflict, now);
    }
    if (entry.phase !== 'claiming') {
      return;
    }
    if (claim.isBlocked()) {
      this.refuse(entry, createFailure('outcomeUnknown', 'owner is gone'));
    } else if (now - claim.startedAt >= CLAIM_TIMEOUT_MS) {
      this.refuse(entry, this.#createTimeoutFailure(claim));
    } else if (now - entry.sentAt >= RESEND_INTERVAL_MS) {
      this.#sendClaim(entry, now);
    }
  }

  #grant(entry: ClaimEntry): void {
    const [first, ...waiters] = entry.waiters;
    this.setPhase(entry, 'running');
    entry.waiters = waiters;
    this.settle(first === undefined ? [] : [first], {kind: 'granted'});
  }

  /** Sends the claim to the members that have not acknowledged it. */
  #sendClaim(entry: ClaimEntry, now: Milliseconds): void {
    entry.sentAt = now;
    const message = entry.claim.createMessage();
    for (const name of entry.claim.getUnacknowledged()) {
      this.send(name, message);
    }
  }

  /** Moves a claim to a newer group of its slice. */
  moveClaim(entry: ClaimEntry, group: LedgerGroup, now: Milliseconds): void {
    entry.claim.adopt(group);
    if (entry.phase === 'claiming') {
      this.#sendClaim(entry, now);
    }
  }

  #inquire(entry: ClaimEntry, conflict: Conflict, now: Milliseconds): void {
    if (conflict.isOutcomeUnknown) {
      return;
    }
    const {claim} = conflict;
    const presence = this.#options.getPresence(claim.owner);
    const isOwnerLost =
      presence !== undefined &&
      (presence.incarnation > claim.incarnation || !presence.isReachable);
    if (isOwnerLost || now - conflict.lastAnswerAt >= OWNER_TIMEOUT_MS) {
      this.applyReportedState(entry, conflict, 'unknown', undefined, now);
      return;
    }
    if (now - conflict.inquiredAt < RESEND_INTERVAL_MS) {
      return;
    }
    const {incarnation, owner, sequence} = claim;
    const lastAnswerAt = Math.min(conflict.lastAnswerAt, now);
    entry.claim.updateConflict({...conflict, inquiredAt: now, lastAnswerAt});
    this.send(owner, {
      asker: entry.claim.attempt,
      attempt: {incarnation, owner, sequence},
      fingerprint: entry.claim.fingerprint,
      key: entry.claim.key,
      kind: 'inquiry',
    });
  }

  /**
   * Applies the state of a conflicting claim, as reported by its owner.
   *
   * @example
   * coordinator.applyReportedState(entry, conflict, 'released', undefined, now);
   */
  applyReportedState(
    entry: ClaimEntry,
    conflict: Conflict,
    state: ReportedClaimState,
    answer: HeldAnswer | undefined,
    now: Milliseconds,
  ): void {
    match(state)
      .with('pending', () => {
        entry.claim.updateConflict({...conflict, lastAnswerAt: now});
      })
      .with('released', () => {
        this.#supersede(entry, conflict, now);
      })
      .with(P.union('ran', 'running'), (granted) => {
        if (conflict.claim.fingerprint !== entry.claim.fingerprint) {
          this.refuse(entry, createFailure('keyReused'));
        } else if (granted === 'running') {
          this.#joinRemote(entry, conflict, now);
        } else {
          this.#settleAsRan(entry, answer);
        }
      })
      .with('unknown', () => {
        this.#handleUnknownConflict(entry, conflict);
      })
      .exhaustive();
  }

  #supersede(entry: ClaimEntry, conflict: Conflict, now: Milliseconds): void {
    const {claim} = entry;
    claim.supersede(conflict.claim);
    if (entry.phase === 'joining') {
      this.restart(entry, now, [conflict.claim]);
    } else {
      this.#sendClaim(entry, now);
    }
  }

  #joinRemote(entry: ClaimEntry, conflict: Conflict, now: Milliseconds): void {
    entry.claim.updateConflict({...conflict, lastAnswerAt: now});
    if (entry.phase === 'claiming') {
      this.setPhase(entry, 'joining');
      this.completions.add(entry.claim, 'released');
    }
  }

  #settleAsRan(entry: ClaimEntry, answer: HeldAnswer | undefined): void {
    this.setPhase(entry, 'released');
    this.completions.add(entry.claim, 'released');
    this.settleWaiters(
      entry,
      answer === undefined
        ? createRefusedOutcome(createFailure('alreadyRun'))
        : {answer, kind: 'answered'},
    );
  }

  #handleUnknownConflict(entry: ClaimEntry, conflict: Conflict): void {
    const isSameContent =
      conflict.claim.fingerprint === entry.claim.fingerprint;
    if (conflict.claim.state === 'ran') {
      this.refuse(
        entry,
        createFailure(isSameContent ? 'alreadyRun' : 'keyReused'),
      );
    } else if (entry.phase === 'joining') {
      this.refuse(entry, createFailure('outcomeUnknown', 'owner is gone'));
    } else {
      entry.claim.updateConflict({...conflict, isOutcomeUnknown: true});
    }
  }

  /** Releases the attempt in favour of a conflicting claim and joins that. */
  yieldTo(entry: ClaimEntry, conflict: HeldClaim, now: Milliseconds): void {
    this.completions.add(entry.claim, 'released');
    entry.claim.addConflict(conflict);
    this.setPhase(entry, 'joining');
    this.advance(entry, now);
  }

  /** Sets the phase of a claim and reports it to the watching daemons. */
  setPhase(entry: ClaimEntry, phase: ClaimPhase): void {
    this.table.setPhase(entry, phase);
    const {watchers} = entry;
    if (phase !== 'running') {
      entry.watchers = [];
    }
    for (const daemon of watchers) {
      this.sendState(entry, daemon);
    }
  }

  /** Sends the state of a claim to a daemon. */
  sendState({claim, phase}: ClaimEntry, daemon: DaemonName): void {
    const answer = phase === 'ran' ? this.answers.get(claim.key) : undefined;
    this.send(daemon, {
      attempt: claim.attempt,
      key: claim.key,
      kind: 'inquiryAnswer',
      state: getReportedState(phase),
      ...(answer === undefined ? {} : {answer}),
    });
  }

  /** Returns the outcome of a claim whose request has run. */
  getRanOutcome(key: KeyIdentifier): ClaimOutcome {
    const answer = this.answers.get(key);
    return answer === undefined
      ? createRefusedOutcome(createFailure('alreadyRun'))
      : {answer, kind: 'answered'};
  }

  /** Settles all waiting local claims of an entry. */
  settleWaiters(entry: ClaimEntry, outcome: ClaimOutcome): void {
    const {waiters} = entry;
    entry.waiters = [];
    this.settle(waiters, outcome);
  }

  /** Settles the given local claims. */
  settle(claimNumbers: readonly number[], outcome: ClaimOutcome): void {
    for (const claimNumber of claimNumbers) {
      this.#effects.push({claimNumber, kind: 'claimSettled', outcome});
    }
  }

  /** Adds the effect that sends a message. */
  send(to: DaemonName, message: LedgerMessage): void {
    this.#effects.push({kind: 'send', message, to});
  }

  /** Returns the collected effects and clears them. */
  takeEffects(): readonly LedgerClientEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #isReachable(name: DaemonName): boolean {
    return this.#options.getPresence(name)?.isReachable ?? false;
  }

  #createTimeoutFailure(claim: ClaimAttempt): Failure {
    const isConflictUnknown = claim
      .getConflicts()
      .some(({isOutcomeUnknown}) => isOutcomeUnknown);
    if (isConflictUnknown) {
      return createFailure('outcomeUnknown', 'owner is gone');
    }
    return claim.hasAnswer()
      ? createFailure('ledgerUnavailable')
      : this.#createUnreachableFailure(claim.getGroup());
  }

  #createUnreachableFailure({availabilityZone}: LedgerGroup): Failure {
    return availabilityZone === this.#options.availabilityZone
      ? createFailure('ledgerUnavailable')
      : createFailure('homeZoneUnreachable', availabilityZone);
  }
}
