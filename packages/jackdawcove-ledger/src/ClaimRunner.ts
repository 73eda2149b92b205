/** Carries claims of one daemon from their start to their outcome. */

import type {Rival} from './ClaimAttempt.js';
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
import {HeldAnswers} from './HeldAnswers.js';
import {
  CLAIM_TIMEOUT_MS,
  OWNER_TIMEOUT_MS,
  RESEND_INTERVAL_MS,
} from './LedgerConstants.js';

/** What a new attempt is made of. */
export type NewClaim = {
  readonly fingerprint: string;
  readonly group: LedgerGroup;
  readonly key: KeyIdentifier;
  /** Attempts that never ran and whose place this one takes. */
  readonly superseded: readonly Attempt[];
};

/** How the owner of a rival claim says that it stands. */
export type RivalState = LedgerMessageOf<'inquiryAnswer'>['state'];

/**
 * Creates the outcome of a refused claim.
 *
 * @example
 * refuse(createFailure('ledgerUnavailable'));
 */
export function refuse(failure: Failure): ClaimOutcome {
  return {failure, kind: 'refused'};
}

function getRivalState(phase: ClaimPhase): RivalState {
  return match(phase)
    .returnType<RivalState>()
    .with('claiming', () => 'pending')
    .with('joining', () => 'released')
    .otherwise((ended) => ended);
}

/** Runs the claims of one daemon. */
export class ClaimRunner {
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

  /** Joins a claim of this daemon. */
  joinLocal(entry: ClaimEntry, claimNumber: number, fingerprint: string): void {
    const isGranted = ['ran', 'running', 'unknown'].includes(entry.phase);
    if (entry.claim.fingerprint !== fingerprint) {
      const result = isGranted ? 'keyReused' : 'outcomeUnknown';
      this.settle([claimNumber], refuse(createFailure(result)));
      return;
    }
    entry.waiters = [...entry.waiters, claimNumber];
    if (entry.phase === 'ran') {
      this.settleWaiters(entry, this.getRanOutcome(entry.claim.key));
    } else if (entry.phase === 'unknown') {
      this.settleWaiters(entry, refuse(createFailure('outcomeUnknown')));
    }
  }

  /** Starts an attempt for some local claims. */
  start(
    {fingerprint, group, key, superseded}: NewClaim,
    waiters: readonly number[],
    now: Milliseconds,
  ): void {
    const isInReach = group.members.some(({name}) => this.#isInReach(name));
    if (!isInReach) {
      this.settle(waiters, refuse(this.#createUnreachable(group)));
      return;
    }
    const {breaks = {}, incarnation, name} = this.#options;
    const attempt = {incarnation, owner: name, sequence: this.#nextSequence};
    this.#nextSequence += 1;
    const claim = new ClaimAttempt({
      attempt,
      breaks,
      fingerprint,
      group,
      key,
      now,
    });
    for (const ended of superseded) {
      claim.supersede(ended);
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

  /** Gives up the attempt, which never ran, and claims anew for who still waits. */
  restart(
    entry: ClaimEntry,
    now: Milliseconds,
    ended: readonly Attempt[] = [],
  ): void {
    const {claim, waiters} = entry;
    entry.waiters = [];
    this.setPhase(entry, 'released');
    this.completions.add(claim, 'released');
    if (waiters.length > 0) {
      const {attempt, fingerprint, key} = claim;
      const group = this.#directory.getNewest(claim.getGroup());
      this.start(
        {fingerprint, group, key, superseded: [attempt, ...ended]},
        waiters,
        now,
      );
    }
  }

  /** Gives up the attempt, which never ran, and refuses who waits. */
  refuse(entry: ClaimEntry, failure: Failure): void {
    this.setPhase(entry, 'released');
    this.completions.add(entry.claim, 'released');
    this.settleWaiters(entry, refuse(failure));
  }

  /** Grants, asks about rivals, sends again or gives up. */
  advance(entry: ClaimEntry, now: Milliseconds): void {
    const {claim} = entry;
    if (entry.phase === 'claiming' && claim.hasMajority()) {
      this.#grant(entry);
      return;
    }
    for (const rival of claim.getRivals()) {
      this.#inquire(entry, rival, now);
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

  /** Sends the claim to the members that have not acknowledged. */
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

  #inquire(entry: ClaimEntry, rival: Rival, now: Milliseconds): void {
    if (rival.isUnknown) {
      return;
    }
    const {claim} = rival;
    const presence = this.#options.getPresence(claim.owner);
    const isGone =
      presence !== undefined &&
      (presence.incarnation > claim.incarnation || !presence.isInReach);
    if (isGone || now - rival.heardAt >= OWNER_TIMEOUT_MS) {
      this.applyRivalState(entry, rival, 'unknown', undefined, now);
      return;
    }
    if (now - rival.askedAt < RESEND_INTERVAL_MS) {
      return;
    }
    const {incarnation, owner, sequence} = claim;
    const heardAt = Math.min(rival.heardAt, now);
    entry.claim.updateRival({...rival, askedAt: now, heardAt});
    this.send(owner, {
      asker: entry.claim.attempt,
      attempt: {incarnation, owner, sequence},
      fingerprint: entry.claim.fingerprint,
      key: entry.claim.key,
      kind: 'inquiry',
    });
  }

  /**
   * Acts on what the owner of a rival claim says of it.
   *
   * @example
   * runner.applyRivalState(entry, rival, 'released', undefined, now);
   */
  applyRivalState(
    entry: ClaimEntry,
    rival: Rival,
    state: RivalState,
    answer: HeldAnswer | undefined,
    now: Milliseconds,
  ): void {
    match(state)
      .with('pending', () => {
        entry.claim.updateRival({...rival, heardAt: now});
      })
      .with('released', () => {
        this.#takePlace(entry, rival, now);
      })
      .with(P.union('ran', 'running'), (granted) => {
        if (rival.claim.fingerprint !== entry.claim.fingerprint) {
          this.refuse(entry, createFailure('keyReused'));
        } else if (granted === 'running') {
          this.#follow(entry, rival, now);
        } else {
          this.#endWithRun(entry, answer);
        }
      })
      .with('unknown', () => {
        this.#giveUpRival(entry, rival);
      })
      .exhaustive();
  }

  #takePlace(entry: ClaimEntry, rival: Rival, now: Milliseconds): void {
    const {claim} = entry;
    claim.supersede(rival.claim);
    if (entry.phase === 'joining') {
      this.restart(entry, now, [rival.claim]);
    } else {
      this.#sendClaim(entry, now);
    }
  }

  #follow(entry: ClaimEntry, rival: Rival, now: Milliseconds): void {
    entry.claim.updateRival({...rival, heardAt: now});
    if (entry.phase === 'claiming') {
      this.setPhase(entry, 'joining');
      this.completions.add(entry.claim, 'released');
    }
  }

  #endWithRun(entry: ClaimEntry, answer: HeldAnswer | undefined): void {
    this.setPhase(entry, 'released');
    this.completions.add(entry.claim, 'released');
    this.settleWaiters(
      entry,
      answer === undefined
        ? refuse(createFailure('alreadyRun'))
        : {answer, kind: 'answered'},
    );
  }

  #giveUpRival(entry: ClaimEntry, rival: Rival): void {
    const isSameContent = rival.claim.fingerprint === entry.claim.fingerprint;
    if (rival.claim.state === 'ran') {
      this.refuse(
        entry,
        createFailure(isSameContent ? 'alreadyRun' : 'keyReused'),
      );
    } else if (entry.phase === 'joining') {
      this.refuse(entry, createFailure('outcomeUnknown', 'owner is gone'));
    } else {
      entry.claim.updateRival({...rival, isUnknown: true});
    }
  }

  /** Gives up the attempt in favour of another one and waits for its end. */
  yieldTo(entry: ClaimEntry, rival: HeldClaim, now: Milliseconds): void {
    this.completions.add(entry.claim, 'released');
    entry.claim.addRival(rival);
    this.setPhase(entry, 'joining');
    this.advance(entry, now);
  }

  /** Sets the phase of a claim and tells the daemons that wait for it. */
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

  /** Tells a daemon how a claim stands. */
  sendState({claim, phase}: ClaimEntry, daemon: DaemonName): void {
    const answer = phase === 'ran' ? this.answers.get(claim.key) : undefined;
    this.send(daemon, {
      attempt: claim.attempt,
      key: claim.key,
      kind: 'inquiryAnswer',
      state: getRivalState(phase),
      ...(answer === undefined ? {} : {answer}),
    });
  }

  /** Returns the outcome of a claim that ran. */
  getRanOutcome(key: KeyIdentifier): ClaimOutcome {
    const answer = this.answers.get(key);
    return answer === undefined
      ? refuse(createFailure('alreadyRun'))
      : {answer, kind: 'answered'};
  }

  /** Settles every local claim that waits. */
  settleWaiters(entry: ClaimEntry, outcome: ClaimOutcome): void {
    const {waiters} = entry;
    entry.waiters = [];
    this.settle(waiters, outcome);
  }

  /** Settles local claims. */
  settle(claimNumbers: readonly number[], outcome: ClaimOutcome): void {
    for (const claimNumber of claimNumbers) {
      this.#effects.push({claimNumber, kind: 'claimSettled', outcome});
    }
  }

  /** Sends a message. */
  send(to: DaemonName, message: LedgerMessage): void {
    this.#effects.push({kind: 'send', message, to});
  }

  /** Takes the effects so far. */
  takeEffects(): readonly LedgerClientEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #isInReach(name: DaemonName): boolean {
    return this.#options.getPresence(name)?.isInReach ?? false;
  }

  #createTimeoutFailure(claim: ClaimAttempt): Failure {
    const isRivalUnknown = claim.getRivals().some(({isUnknown}) => isUnknown);
    if (isRivalUnknown) {
      return createFailure('outcomeUnknown', 'owner is gone');
    }
    return claim.hasAnswer()
      ? createFailure('ledgerUnavailable')
      : this.#createUnreachable(claim.getGroup());
  }

  #createUnreachable({availabilityZone}: LedgerGroup): Failure {
    return availabilityZone === this.#options.availabilityZone
      ? createFailure('ledgerUnavailable')
      : createFailure('homeZoneUnreachable', availabilityZone);
  }
}
