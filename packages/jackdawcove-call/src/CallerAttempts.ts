/** Attempts of calls: sending, refusals, answers, lost sessions, completion. */

import type {
  AnswerEnd,
  AnswerHead,
  AttemptIdentifier,
  AttemptRefusal,
  ResolveAnswer,
} from './AttemptMessages.js';
import type {
  CallerCall,
  CancelReason,
  OpenAttempt,
  Refusal,
} from './CallerCall.js';
import type {CallerSideEffect, CallIdentifier} from './CallTypes.js';
import type {SharedCallerState} from './SharedCallerState.js';
import type {CallOutcome, InstanceCandidate} from 'jackdawcove-routing';
import type {DaemonName, Milliseconds, ResultName} from 'jackdawcove-shared';

import {isExpired} from 'jackdawcove-context';
import {RESULT_CODES} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {
  NON_RETRYABLE_RESULTS,
  REDIRECTABLE_RESULTS,
  UNAVAILABLE_RESULTS,
} from './CallConstants.js';
import {
  createAttempt,
  createFinishEffect,
  getClaimOutcome,
  getResultOfChoice,
  provesNotRun,
  reclaimTokens,
} from './CallUtils.js';

type Entry = {readonly attempt: OpenAttempt; readonly call: CallerCall};

/** Open calls of a daemon and their attempts. */
export class CallerAttempts {
  readonly #calls = new Map<CallIdentifier, CallerCall>();
  readonly #callsByAttempt = new Map<AttemptIdentifier, CallerCall>();
  #effects: CallerSideEffect[] = [];
  readonly #shared: SharedCallerState;

  constructor(shared: SharedCallerState) {
    this.#shared = shared;
  }

  /** Adds an effect. */
  push(effect: CallerSideEffect): void {
    this.#effects.push(effect);
  }

  /** Returns the effects of the current input and clears them. */
  takeEffects(): readonly CallerSideEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Adds an open call. */
  open(call: CallerCall): void {
    this.#calls.set(call.callIdentifier, call);
  }

  /** Sends the next attempt, or finishes the call with the last refusal. */
  sendNext(call: CallerCall, now: Milliseconds): void {
    if (isExpired(call.deadline, now)) {
      this.finish(call, 'deadlineExceededBeforeDispatch', now);
      return;
    }
    const suspicion = this.#shared.getSuspicion(call, now);
    if (suspicion === 'quarantined') {
      this.finish(call, 'quarantined', now);
      return;
    }
    call.isSuspect = suspicion === 'suspect';
    const choice = this.#shared.choose(call, now);
    if (choice?.kind !== 'chosen') {
      const reason = call.lastRefusal?.result ?? getResultOfChoice(choice);
      this.finish(call, reason, now);
      return;
    }
    if (call.attempts > 0 && !this.#tryAcquireRetry(call)) {
      const reason = call.lastRefusal?.result ?? 'retryAllowanceExhausted';
      const isRefused = call.policy.freeRedirects !== undefined;
      this.finish(call, isRefused ? reason : 'retryAllowanceExhausted', now);
      return;
    }
    this.#send(call, choice.candidate, now);
  }

  /** Handles a refusal of an attempt, which was not dispatched. */
  onRefused(refusal: AttemptRefusal, now: Milliseconds): void {
    const found = this.#find(refusal.attemptIdentifier);
    if (found === undefined) {
      return;
    }
    const {attempt, call} = found;
    this.#close(call, attempt, 'refused', now);
    this.#shared.recordLoad(call, attempt, refusal.load, now);
    reclaimTokens(call, attempt, refusal.tokensReturned);
    if (UNAVAILABLE_RESULTS.has(refusal.result)) {
      this.#shared.recordUnavailable(call, attempt, now);
    }
    const {result, retryAfterMilliseconds} = refusal;
    this.#onNotRun(found, {result, retryAfterMilliseconds}, now);
  }

  /** Handles the head of an answer; from now on the caller gets no other answer. */
  onAnswerHead(head: AnswerHead, now: Milliseconds): void {
    const found = this.#find(head.attemptIdentifier);
    if (found === undefined || found.attempt.isForwarded) {
      return;
    }
    const {attempt, call} = found;
    attempt.isForwarded = true;
    attempt.resolvingSince = undefined;
    call.answerStatus = head.status;
    this.#shared.recordLoad(call, attempt, head.load, now);
    this.push({
      attemptIdentifier: attempt.attemptIdentifier,
      callIdentifier: call.callIdentifier,
      kind: 'forwardAnswer',
    });
  }

  /** Handles the end of an answer. */
  onAnswerEnd(end: AnswerEnd, now: Milliseconds): void {
    const found = this.#find(end.attemptIdentifier);
    if (found === undefined) {
      return;
    }
    const {attempt, call} = found;
    const isSuccess = end.result === 'ok';
    this.#close(call, attempt, isSuccess ? 'succeeded' : 'failed', now);
    this.#shared.recordLoad(call, attempt, end.load, now);
    this.#shared.recordDownstreamThreshold(
      call,
      end.load.downstreamThreshold,
      now,
    );
    reclaimTokens(call, attempt, end.tokensReturned);
    if (isSuccess) {
      this.finish(call, 'ok', now, true);
    } else if (provesNotRun(end.result) && !attempt.isForwarded) {
      this.#onNotRun(found, {result: end.result}, now);
    } else {
      this.#recordCrash(found, end.result, now);
      this.#onOutcomeUnknown(found, end.result, now);
    }
  }

  /** Handles an attempt that was never sent. */
  onSendFailed(attemptIdentifier: AttemptIdentifier, now: Milliseconds): void {
    const found = this.#find(attemptIdentifier);
    if (found === undefined) {
      return;
    }
    const {attempt, call} = found;
    this.#close(call, attempt, 'silent', now);
    reclaimTokens(call, attempt, attempt.tokensLent);
    this.#onNotRun(found, {result: 'noInstance'}, now);
  }

  /** Handles the loss of a session: its open attempts have to be resolved. */
  onSessionLost(daemon: DaemonName, now: Milliseconds): void {
    for (const call of [...this.#calls.values()]) {
      const attempt = call.openAttempt;
      if (attempt?.candidate.daemon !== daemon) {
        continue;
      }
      if (attempt.isForwarded) {
        this.#close(call, attempt, 'silent', now);
        this.#onOutcomeUnknown({attempt, call}, 'answerCut', now);
      } else {
        this.resolve(call, attempt, now);
      }
    }
  }

  /** Queries the outcome of an attempt. */
  resolve(call: CallerCall, attempt: OpenAttempt, now: Milliseconds): void {
    attempt.resolvingSince = now;
    this.push({
      callIdentifier: call.callIdentifier,
      daemon: attempt.candidate.daemon,
      kind: 'resolveAttempt',
      query: {
        ageMilliseconds: now - attempt.sentAt,
        attemptIdentifier: attempt.attemptIdentifier,
        daemonIncarnation: attempt.candidate.daemonIncarnation,
      },
    });
  }

  /** Handles the answer to a resolve query. */
  onResolved(answer: ResolveAnswer, now: Milliseconds): void {
    const found = this.#find(answer.attemptIdentifier);
    if (found === undefined || found.attempt.isForwarded) {
      return;
    }
    const {attempt, call} = found;
    attempt.resolvingSince = undefined;
    match(answer.resolution)
      .with('neverSeen', () => {
        this.#close(call, attempt, 'silent', now);
        reclaimTokens(call, attempt, attempt.tokensLent);
        this.#onNotRun(found, {result: 'fenced'}, now);
      })
      .with('unknown', () => {
        this.abandon(call, attempt, now);
      })
      // The answer follows on the new session.
      .with('done', 'running', () => undefined)
      .exhaustive();
  }

  /** Ends an attempt whose outcome cannot be determined. */
  abandon(call: CallerCall, attempt: OpenAttempt, now: Milliseconds): void {
    this.#close(call, attempt, 'silent', now);
    this.#pushCancel(call, attempt);
    this.#recordCrash({attempt, call}, 'backendServerCrashed', now);
    this.#onOutcomeUnknown({attempt, call}, 'outcomeUnknown', now);
  }

  /** Cancels the open attempt of a call and finishes the call. */
  cancel(
    call: CallerCall,
    attempt: OpenAttempt,
    reason: CancelReason,
    now: Milliseconds,
  ): void {
    this.#close(call, attempt, reason.outcome, now);
    this.#pushCancel(call, attempt);
    call.mayHaveRun = true;
    this.finish(call, reason.result, now, attempt.isForwarded);
  }

  /** Finishes a call with its last effects. */
  finish(
    call: CallerCall,
    result: ResultName,
    now: Milliseconds,
    isAnswerForwarded = false,
  ): void {
    this.#calls.delete(call.callIdentifier);
    if (call.parent !== undefined) {
      const threshold = this.#shared.getCallThreshold(call, now);
      call.parent.recordChildEnded(threshold, now);
    }
    this.#shared.recordOutcome(call, result, now);
    const finish = createFinishEffect(call, result, isAnswerForwarded);
    if (call.isClaimed) {
      this.push({
        callIdentifier: call.callIdentifier,
        idempotencyKey: call.request.idempotencyKey ?? '',
        kind: 'completeClaim',
        outcome: getClaimOutcome(RESULT_CODES[finish.result].executed),
      });
    }
    this.push(finish);
  }

  /** Returns an open call by its identifier. */
  get(callIdentifier: CallIdentifier): CallerCall | undefined {
    return this.#calls.get(callIdentifier);
  }

  /** Lists the open calls. */
  list(): readonly CallerCall[] {
    return [...this.#calls.values()];
  }

  /** Returns the number of open calls. */
  getCount(): number {
    return this.#calls.size;
  }

  /** Uses a free redirect if no backend server was reached, or a retry token. */
  #tryAcquireRetry(call: CallerCall): boolean {
    const {freeRedirects = 0} = call.policy;
    if (!call.hasReachedBackend && call.redirects < freeRedirects) {
      call.redirects += 1;
      return true;
    }
    return this.#shared.tryAcquireRetry(call);
  }

  #send(
    call: CallerCall,
    candidate: InstanceCandidate,
    now: Milliseconds,
  ): void {
    call.attempts += 1;
    const attempt: OpenAttempt = {
      attemptIdentifier: `${call.callIdentifier}.${String(call.attempts)}`,
      candidate,
      isForwarded: false,
      resolvingSince: undefined,
      sentAt: now,
      tokensLent: call.allowance.lend(),
    };
    call.openAttempt = attempt;
    this.#callsByAttempt.set(attempt.attemptIdentifier, call);
    this.#shared.recordSent(call, attempt);
    this.push({
      attempt: createAttempt(call, attempt, now),
      callIdentifier: call.callIdentifier,
      daemon: candidate.daemon,
      kind: 'sendAttempt',
    });
  }

  /** Tries another instance: the attempt is known not to have run. */
  #onNotRun(found: Entry, refusal: Refusal, now: Milliseconds): void {
    const {attempt, call} = found;
    call.lastRefusal = refusal;
    call.hasReachedBackend = refusal.result === 'instanceRefused';
    // A fenced attempt was lost in transit, which is no fault of the instance.
    if (refusal.result !== 'fenced') {
      call.excluded.add(attempt.candidate.instance);
    }
    const mayRetry =
      REDIRECTABLE_RESULTS.has(refusal.result) &&
      call.request.isReplayable &&
      !call.isCallerDisconnected;
    if (mayRetry) {
      this.sendNext(call, now);
      return;
    }
    this.finish(call, refusal.result, now);
  }

  /** Retries only an idempotent request: the attempt may have run. */
  #onOutcomeUnknown(found: Entry, result: ResultName, now: Milliseconds): void {
    const {attempt, call} = found;
    call.mayHaveRun = true;
    call.hasReachedBackend = true;
    call.excluded.add(attempt.candidate.instance);
    const mayRetry =
      call.policy.isIdempotent &&
      call.request.isReplayable &&
      !call.isCallerDisconnected &&
      !attempt.isForwarded &&
      !NON_RETRYABLE_RESULTS.has(result) &&
      !isExpired(call.deadline, now);
    if (mayRetry) {
      call.lastRefusal = {result};
      this.sendNext(call, now);
      return;
    }
    this.finish(call, result, now, attempt.isForwarded);
  }

  #close(
    call: CallerCall,
    attempt: OpenAttempt,
    outcome: CallOutcome,
    now: Milliseconds,
  ): void {
    call.openAttempt = undefined;
    this.#callsByAttempt.delete(attempt.attemptIdentifier);
    this.#shared.recordEnded(call, attempt, outcome, now);
  }

  /** Marks the request as a suspect: it may have crashed the process. */
  #recordCrash(found: Entry, result: ResultName, now: Milliseconds): void {
    if (result !== 'backendServerCrashed') {
      return;
    }
    const {attempt, call} = found;
    for (const {records} of this.#shared.recordCrash(call, attempt, now)) {
      this.push({kind: 'spreadSuspects', records});
    }
  }

  #pushCancel(call: CallerCall, attempt: OpenAttempt): void {
    this.push({
      attemptIdentifier: attempt.attemptIdentifier,
      callIdentifier: call.callIdentifier,
      daemon: attempt.candidate.daemon,
      kind: 'cancelAttempt',
    });
  }

  #find(attemptIdentifier: AttemptIdentifier): Entry | undefined {
    const call = this.#callsByAttempt.get(attemptIdentifier);
    const attempt = call?.openAttempt;
    return call && attempt && {attempt, call};
  }
}
