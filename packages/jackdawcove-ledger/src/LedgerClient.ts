/** Claimant of one daemon: claims keys, joins running claims, answers inquiries. */

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

import {ClaimRunner, refuse} from './ClaimRunner.js';
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

/** Keys minted so far ahead were not accepted by any member yet. */
const DEFINITE_FUTURE_MS: Milliseconds =
  FUTURE_TOLERANCE_MS + TOLERATED_CLOCK_SKEW_MS;
const SWEEP_INTERVAL_MS: Milliseconds = 10_000;

/**
 * Claimant of one daemon. Times are monotonic; keys are checked by `wallClock`.
 *
 * @example
 * const client = new LedgerClient(options);
 * carryOut(client.adopt(assignments, now));
 * carryOut(client.claim(1, {fingerprint, key}, now));
 * carryOut(client.complete(key, {answer, kind: 'answered'}, now));
 */
export class LedgerClient {
  readonly #directory = new GroupDirectory();
  readonly #options: LedgerClientOptions;
  readonly #runner: ClaimRunner;
  #sweptAt: Milliseconds = 0;

  constructor(options: LedgerClientOptions) {
    this.#options = options;
    this.#runner = new ClaimRunner(options, this.#directory);
  }

  /** Takes over newer assignments. */
  adopt(
    assignments: LedgerAssignments,
    now: Milliseconds,
  ): readonly LedgerClientEffect[] {
    this.#moveClaims(this.#directory.adopt(assignments), now);
    return this.#runner.takeEffects();
  }

  /**
   * Claims the right to run a request. The outcome is the effect `claimSettled`
   * with the same number.
   *
   * @example
   * carryOut(client.claim(7, {fingerprint, key}, now));
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
      this.#runner.settle([claimNumber], refuse(failure ?? INVALID_KEY));
      return this.#runner.takeEffects();
    }
    const fingerprint = digestHex(request.fingerprint).slice(
      0,
      FINGERPRINT_LENGTH,
    );
    const entry = this.#runner.table.get(key.identifier);
    if (entry !== undefined && entry.phase !== 'released') {
      this.#runner.joinLocal(entry, claimNumber, fingerprint);
      return this.#runner.takeEffects();
    }
    this.#directory.findGroup(key).match({
      Err: (unavailable) => {
        this.#runner.settle([claimNumber], refuse(unavailable));
      },
      Ok: (group) => {
        const superseded = entry === undefined ? [] : [entry.claim.attempt];
        const {identifier} = key;
        this.#runner.start(
          {fingerprint, group, key: identifier, superseded},
          [claimNumber],
          now,
        );
      },
    });
    return this.#runner.takeEffects();
  }

  /**
   * Ends a claim that was granted.
   *
   * @example
   * carryOut(client.complete(key, {kind: 'notRun'}, now));
   */
  complete(
    key: string,
    completion: Completion,
    now: Milliseconds,
  ): readonly LedgerClientEffect[] {
    const identifier = parseIdempotencyKey(key)?.identifier ?? '';
    const entry = this.#runner.table.get(identifier);
    invariant(entry?.phase === 'running', CLAIM_NOT_RUNNING, key);
    match(completion)
      .with({kind: 'answered'}, ({answer}) => {
        if (answer !== undefined) {
          this.#runner.answers.add(identifier, answer);
        }
        this.#runner.setPhase(entry, 'ran');
        this.#runner.completions.add(entry.claim, 'ran');
        this.#runner.settleWaiters(
          entry,
          this.#runner.getRanOutcome(identifier),
        );
      })
      .with({kind: 'notRun'}, () => {
        this.#runner.restart(entry, now);
      })
      .with({kind: 'unknown'}, () => {
        this.#runner.setPhase(entry, 'unknown');
        this.#runner.settleWaiters(
          entry,
          refuse(createFailure('outcomeUnknown')),
        );
      })
      .exhaustive();
    return this.#runner.takeEffects();
  }

  /**
   * Handles a message that matches its schema.
   *
   * @example
   * carryOut(client.receive(message, source.daemon, now));
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
    return this.#runner.takeEffects();
  }

  /** Sends unanswered messages again and gives up what took too long. */
  tick(now: Milliseconds): readonly LedgerClientEffect[] {
    for (const entry of this.#runner.table.getActive()) {
      this.#runner.advance(entry, now);
    }
    for (const {message, to} of this.#runner.completions.take()) {
      this.#runner.send(to, message);
    }
    if (now - this.#sweptAt >= SWEEP_INTERVAL_MS) {
      this.#sweptAt = now;
      this.#runner.table.removeExpired(this.#options.wallClock(), (key) => {
        this.#runner.answers.remove(key);
      });
    }
    return this.#runner.takeEffects();
  }

  /** Returns the number of claims remembered. */
  getClaimCount(): number {
    return this.#runner.table.getSize();
  }

  #applyClaimAnswer(
    answer: LedgerMessageOf<'claimAnswer'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const entry = this.#runner.table.get(answer.key);
    const isCurrent =
      entry?.phase === 'claiming' &&
      answer.claimantIncarnation === this.#options.incarnation &&
      answer.sequence === entry.claim.attempt.sequence;
    if (!isCurrent) {
      return;
    }
    if (answer.refusal !== undefined) {
      this.#runner.refuse(entry, createRefusalFailure(answer.refusal));
      return;
    }
    entry.claim.applyAnswer(answer, from);
    this.#runner.advance(entry, now);
  }

  #applyGroup(group: LedgerGroup, from: DaemonName, now: Milliseconds): void {
    if (this.#directory.adoptGroup(group)) {
      this.#moveClaims([group], now);
      return;
    }
    const newest = this.#directory.getNewest(group);
    if (newest.generation > group.generation) {
      this.#runner.send(from, {group: newest, kind: 'group'});
    }
  }

  #moveClaims(groups: readonly LedgerGroup[], now: Milliseconds): void {
    for (const entry of this.#runner.table.getActive()) {
      const {availabilityZone, slice} = entry.claim.getGroup();
      const group = groups.find(
        (other) =>
          other.availabilityZone === availabilityZone && other.slice === slice,
      );
      if (group !== undefined) {
        this.#runner.moveClaim(entry, group, now);
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
    const entry = this.#runner.table.get(key);
    const isOwn = entry !== undefined && attempt.incarnation === incarnation;
    const sequence = entry?.claim.attempt.sequence ?? 0;
    if (!isOwn || attempt.sequence !== sequence) {
      const isReleased = isOwn && attempt.sequence < sequence;
      const state = isReleased ? 'released' : 'unknown';
      this.#runner.send(from, {attempt, key, kind: 'inquiryAnswer', state});
      return;
    }
    this.#answerOwner(entry, inquiry, from, now);
  }

  /** Answers about an attempt that is the newest one; a pending one may yield. */
  #answerOwner(
    entry: ClaimEntry,
    {asker, fingerprint}: LedgerMessageOf<'inquiry'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const isYielding =
      entry.phase === 'claiming' && asker.owner < this.#options.name;
    if (isYielding) {
      const rival = {...asker, fingerprint, state: 'claimed' as const};
      this.#runner.yieldTo(entry, rival, now);
    }
    if (entry.phase === 'claiming' || entry.phase === 'running') {
      const others = entry.watchers.filter((daemon) => daemon !== from);
      entry.watchers = [...others, from];
    }
    this.#runner.sendState(entry, from);
  }

  #applyInquiryAnswer(
    {answer, attempt, key, state}: LedgerMessageOf<'inquiryAnswer'>,
    from: DaemonName,
    now: Milliseconds,
  ): void {
    const entry = this.#runner.table.get(key);
    const rival = entry?.claim
      .getRivals()
      .find(({claim}) => isSameAttempt(claim, attempt));
    const isWaiting = entry?.phase === 'claiming' || entry?.phase === 'joining';
    if (isWaiting && rival !== undefined && attempt.owner === from) {
      this.#runner.applyRivalState(entry, rival, state, answer, now);
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
  return mintedAt - now > DEFINITE_FUTURE_MS
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
