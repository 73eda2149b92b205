/**
 * Claimant of one daemon: claims keys, joins claims that are already running,
 * and answers inquiries.
 */

import type {ClaimEntry} from './ClaimTable.js';
import type {LedgerAssignments, LedgerGroup} from './LedgerAssignments.js';
import type {
  LedgerClientEffect,
  LedgerClientOptions,
} from './LedgerClientTypes.js';
import type {LedgerMessage, LedgerMessageOf} from './LedgerMessages.js';
import type {ClaimRequest, Completion} from './LedgerTypes.js';
import type {DaemonName, Failure, Milliseconds} from 'jackdawcove-shared';

import {createFailure, digestHex, invariant} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {ClaimCoordinator} from './ClaimCoordinator.js';
import {createRefusedOutcome} from './createRefusedOutcome.js';
import {GroupDirectory} from './GroupDirectory.js';
import {parseIdempotencyKey} from './IdempotencyKey.js';
import {
  FUTURE_TOLERANCE_MS,
  KEY_RETENTION_MS,
  TOLERATED_CLOCK_SKEW_MS,
} from './LedgerConstants.js';
import {isSameAttempt} from './LedgerMessages.js';

const CLAIM_NOT_RUNNING = 5;
const FINGERPRINT_LENGTH = 16;
const INVALID_KEY = createFailure('invalidIdempotencyKey');

/**
 * No member can have accepted a key that is minted further ahead than this, so
 * its request has not run.
 */
const MAXIMUM_MINT_LEAD_MS: Milliseconds =
  FUTURE_TOLERANCE_MS + TOLERATED_CLOCK_SKEW_MS;
const SWEEP_INTERVAL_MS: Milliseconds = 10_000;

/**
 * Claimant of one daemon. Times are monotonic; the mint times of keys are
 * compared with `wallClock`.
 *
 * @example
 * const client = new LedgerClient(options);
 * applyEffects(client.adopt(assignments, now));
 * applyEffects(client.claim(1, {fingerprint, key}, now));
 * applyEffects(client.complete(key, {answer, kind: 'answered'}, now));
 */
export class LedgerClient {
  readonly #directory = new GroupDirectory();
  readonly #options: LedgerClientOptions;
  readonly #coordinator: ClaimCoordinator;
  #lastSweepAt: Milliseconds = 0;

  constructor(options: LedgerClientOptions) {
    this.#options = options;
    this.#coordinator = new ClaimCoordinator(options, this.#directory);
  }

  /** Adopts newer assignments and moves pending claims to the newer groups. */
  adopt(
    assignments: LedgerAssignments,
    now: Milliseconds,
  ): readonly LedgerClientEffect[] {
    this.#moveClaims(this.#directory.adopt(assignments), now);
    return this.#coordinator.takeEffects();
  }

  /**
   * Claims the right to run a request. The outcome is reported by the effect
   * `claimSettled` with the same number.
   *
   * @example
   * applyEffects(client.claim(7, {fingerprint, key}, now));
   */
  claim(
    claimNumber: number,
    request: ClaimRequest,
    now: Milliseconds,
  ): readonly LedgerClientEffect[] {
    const key = parseIdempotencyKey(request.key);
    const failure =
      key === undefined
        ? createFailure('invalidIdempotencyKey')
        : checkMintTime(key.mintedAtMilliseconds, this.#options.wallClock());
    if (key === undefined || failure !== undefined) {
      this.#coordinator.settle(
        [claimNumber],
        createRefusedOutcome(failure ?? INVALID_KEY),
      );
      return this.#coordinator.takeEffects();
    }
    const fingerprint = digestHex(request.fingerprint).slice(
      0,
      FINGERPRINT_LENGTH,
    );
    const entry = this.#coordinator.table.get(key.identifier);
    if (entry !== undefined && entry.phase !== 'released') {
      this.#coordinator.joinLocal(entry, claimNumber, fingerprint);
      return this.#coordinator.takeEffects();
    }
    this.#directory.findGroup(key).match({
      Err: (unavailable) => {
        this.#coordinator.settle(
          [claimNumber],
          createRefusedOutcome(unavailable),
        );
      },
      Ok: (group) => {
        const superseded = entry === undefined ? [] : [entry.claim.attempt];
        const {identifier} = key;
        this.#coordinator.start(
          {fingerprint, group, key: identifier, superseded},
          [claimNumber],
          now,
        );
      },
    });
    return this.#coordinator.takeEffects();
  }

  /**
   * Completes a claim that was granted.
   *
   * @example
   * applyEffects(client.complete(key, {kind: 'notRun'}, now));
   */
  complete(
    key: string,
    completion: Completion,
    now: Milliseconds,
  ): readonly LedgerClientEffect[] {
    const identifier = parseIdempotencyKey(key)?.identifier ?? '';
    const entry = this.#coordinator.table.get(identifier);
    invariant(entry?.phase === 'running', CLAIM_NOT_RUNNING, key);
    match(completion)
      .with({kind: 'answered'}, ({answer}) => {
        if (answer !== undefined) {
          this.#coordinator.answers.add(identifier, answer);
        }
        this.#coordinator.setPhase(entry, 'ran');
        this.#coordinator.completions.add(entry.claim, 'ran');
        this.#coordinator.settleWaiters(
          entry,
          this.#coordinator.getRanOutcome(identifier),
        );
      })
      .with({kind: 'notRun'}, () => {
        this.#coordinator.restart(entry, now);
      })
      .with({kind: 'unknown'}, () => {
        this.#coordinator.setPhase(entry, 'unknown');
        this.#coordinator.settleWaiters(
          entry,
          createRefusedOutcome(createFailure('outcomeUnknown')),
        );
      })
      .exhaustive();
    return this.#coordinator.takeEffects();
  }

  /**
   * Handles a message that has been validated against its schema.
   *
   * @example
   * applyEffects(client.receive(message, source.daemon, now));
   */
  receive(
    message: LedgerMessage,
    from: DaemonName,
    now: Milliseconds,
  ): readonly LedgerClientEffect[] {
    match(message)
      .with({kind: 'claimAnswer'}, (answer) => {
        this.#applyClaimAnswer(answer, from, now);
      })
      .with({kind: 'group'}, ({group}) => {
        this.#applyGroup(group, from, now);
      })
      .with({kind: 'inquiry'}, (inquiry) => {
        this.#answerInquiry(inquiry, from, now);
      })
      .with({kind: 'inquiryAnswer'}, (answer) => {
        this.#applyInquiryAnswer(answer, from, now);
      })
      .otherwise(() => undefined);
    return this.#coordinator.takeEffects();
  }

  /** Resends unanswered messages and refuses the claims that timed out. */
  tick(now: Milliseconds): readonly LedgerClientEffect[] {
    for (const entry of this.#coordinator.table.getActive()) {
      this.#coordinator.advance(entry, now);
    }
    for (const {message, to} of this.#coordinator.completions.take()) {
      this.#coordinator.send(to, message);
    }
    if (now - this.#lastSweepAt >= SWEEP_INTERVAL_MS) {
      this.#lastSweepAt = now;
      this.#coordinator.table.removeExpired(
        this.#options.wallClock(),
        (key) => {
          this.#coordinator.answers.remove(key);
        },
      );
    }
    return this.#coordinator.takeEffects();
  }

  /** Returns the number of stored claims. */
  getClaimCount(): number {
    return this.#coordinator.table.getSize();
  }

  #applyClaimAnswer(
    answer: LedgerMessageOf<'claimAnswer'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const entry = this.#coordinator.table.get(answer.key);
    const isCurrent =
      entry?.phase === 'claiming' &&
      answer.claimantIncarnation === this.#options.incarnation &&
      answer.sequence === entry.claim.attempt.sequence;
    if (!isCurrent) {
      return;
    }
    if (answer.refusal !== undefined) {
      this.#coordinator.refuse(entry, createRefusalFailure(answer.refusal));
      return;
    }
    entry.claim.applyAnswer(answer, from);
    this.#coordinator.advance(entry, now);
  }

  #applyGroup(group: LedgerGroup, from: DaemonName, now: Milliseconds): void {
    if (this.#directory.adoptGroup(group)) {
      this.#moveClaims([group], now);
      return;
    }
    const newest = this.#directory.getNewest(group);
    if (newest.generation > group.generation) {
      this.#coordinator.send(from, {group: newest, kind: 'group'});
    }
  }

  #moveClaims(groups: readonly LedgerGroup[], now: Milliseconds): void {
    for (const entry of this.#coordinator.table.getActive()) {
      const {availabilityZone, slice} = entry.claim.getGroup();
      const group = groups.find(
        (other) =>
          other.availabilityZone === availabilityZone && other.slice === slice,
      );
      if (group !== undefined) {
        this.#coordinator.moveClaim(entry, group, now);
      }
    }
  }

  #answerInquiry(
    inquiry: LedgerMessageOf<'inquiry'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const {attempt, key} = inquiry;
    const {incarnation, name} = this.#options;
    if (attempt.owner !== name) {
      return;
    }
    const entry = this.#coordinator.table.get(key);
    const isThisIncarnation =
      entry !== undefined && attempt.incarnation === incarnation;
    const sequence = entry?.claim.attempt.sequence ?? 0;
    if (!isThisIncarnation || attempt.sequence !== sequence) {
      const isReleased = isThisIncarnation && attempt.sequence < sequence;
      const state = isReleased ? 'released' : 'unknown';
      this.#coordinator.send(from, {
        attempt,
        key,
        kind: 'inquiryAnswer',
        state,
      });
      return;
    }
    this.#answerAsOwner(entry, inquiry, from, now);
  }

  /**
   * Answers an inquiry about the newest attempt of this daemon. A pending
   * attempt yields to an asker whose name sorts first, so that two attempts do
   * not block each other.
   */
  #answerAsOwner(
    entry: ClaimEntry,
    {asker, fingerprint}: LedgerMessageOf<'inquiry'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const isYielding =
      entry.phase === 'claiming' && asker.owner < this.#options.name;
    if (isYielding) {
      const conflict = {...asker, fingerprint, state: 'claimed' as const};
      this.#coordinator.yieldTo(entry, conflict, now);
    }
    if (entry.phase === 'claiming' || entry.phase === 'running') {
      const others = entry.watchers.filter((daemon) => daemon !== from);
      entry.watchers = [...others, from];
    }
    this.#coordinator.sendState(entry, from);
  }

  #applyInquiryAnswer(
    {answer, attempt, key, state}: LedgerMessageOf<'inquiryAnswer'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const entry = this.#coordinator.table.get(key);
    const conflict = entry?.claim
      .getConflicts()
      .find(({claim}) => isSameAttempt(claim, attempt));
    const isWaiting = entry?.phase === 'claiming' || entry?.phase === 'joining';
    if (isWaiting && conflict !== undefined && attempt.owner === from) {
      this.#coordinator.applyReportedState(entry, conflict, state, answer, now);
    }
  }
}

function checkMintTime(
  mintedAt: Milliseconds,
  now: Milliseconds,
): Failure | undefined {
  if (now - mintedAt > KEY_RETENTION_MS) {
    return createFailure('idempotencyKeyForgotten');
  }
  return mintedAt - now > MAXIMUM_MINT_LEAD_MS
    ? createFailure('idempotencyKeyFromFuture')
    : undefined;
}

function createRefusalFailure(
  refusal: NonNullable<LedgerMessageOf<'claimAnswer'>['refusal']>,
): Failure {
  return match(refusal)
    .with('epochChanged', () => createFailure('ledgerEpochChanged'))
    .with('expired', () => createFailure('idempotencyKeyForgotten'))
    .with('fromFuture', () =>
      createFailure('outcomeUnknown', 'minted ahead of the ledger clock'),
    )
    .exhaustive();
}
