/**
 * Caller side of calls: policy, context, claim, choice of instance, retries.
 *
 * One object serves all calls of a daemon. It performs no I/O: it takes inputs
 * and the current time and returns effects.
 */

import type {CallerCall, OpenAttempt} from './CallerCall.js';
import type {CallFactoryOptions} from './CallFactory.js';
import type {
  CallerSideEffect,
  CallerSideInput,
  CallIdentifier,
  CallRequest,
} from './CallTypes.js';
import type {SharedCallerStateOptions} from './SharedCallerState.js';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';

import {getRemainingMilliseconds, isExpired} from 'jackdawcove-context';

import {RESOLVE_TIMEOUT_MILLISECONDS} from './CallConstants.js';
import {CallerAttempts} from './CallerAttempts.js';
import {CallFactory} from './CallFactory.js';
import {
  createRefusalEffect,
  getResultOfChoice,
  needsClaim,
} from './CallUtils.js';
import {SharedCallerState} from './SharedCallerState.js';

/** Dependencies of the caller side. */
export type CallerSideOptions = SharedCallerStateOptions & CallFactoryOptions;

/** Caller side of all calls that a daemon makes. */
export class CallerSide {
  readonly #attempts: CallerAttempts;
  readonly #factory: CallFactory;
  readonly #shared: SharedCallerState;

  constructor(options: CallerSideOptions) {
    this.#shared = new SharedCallerState(options);
    this.#attempts = new CallerAttempts(this.#shared);
    this.#factory = new CallFactory(options);
  }

  /**
   * Handles an input and returns the effects to execute.
   *
   * @example
   * for (const effect of callerSide.handle({kind: 'tick'}, clock())) execute(effect);
   */
  handle(
    input: CallerSideInput,
    now: Milliseconds,
  ): readonly CallerSideEffect[] {
    const attempts = this.#attempts;
    switch (input.kind) {
      case 'answerEnd':
        attempts.onAnswerEnd(input.end, now);
        break;
      case 'answerHead':
        attempts.onAnswerHead(input.head, now);
        break;
      case 'attemptRefused':
        attempts.onRefused(input.refusal, now);
        break;
      case 'begin':
        this.#begin(input.callIdentifier, input.request, now);
        break;
      case 'callerDisconnected':
        this.#onCallerDisconnected(input.callIdentifier, now);
        break;
      case 'claimAnswered':
        this.#onClaimEnded(input.callIdentifier, 'ok', now);
        break;
      case 'claimGranted':
        this.#onClaimGranted(input.callIdentifier, now);
        break;
      case 'claimRefused':
        this.#onClaimEnded(input.callIdentifier, input.result, now);
        break;
      case 'resolved':
        attempts.onResolved(input.answer, now);
        break;
      case 'sendFailed':
        attempts.onSendFailed(input.attemptIdentifier, now);
        break;
      case 'sessionLost':
        attempts.onSessionLost(input.daemon, now);
        break;
      case 'tick':
        this.#onTick(now);
        break;
    }
    return attempts.takeEffects();
  }

  /** Returns the number of calls that have not ended. */
  getOpenCallCount(): number {
    return this.#attempts.getCount();
  }

  #begin(
    callIdentifier: CallIdentifier,
    request: CallRequest,
    now: Milliseconds,
  ): void {
    const created = this.#factory.create(callIdentifier, request, now);
    if (created.isErr) {
      this.#attempts.push(
        createRefusalEffect(callIdentifier, request, created.error),
      );
      return;
    }
    const call = created.value;
    call.parent?.recordChildStarted(now);
    this.#attempts.open(call);
    const refusal = this.#findRefusal(call, now);
    if (refusal !== undefined) {
      this.#attempts.finish(call, refusal, now);
    } else if (!needsClaim(call.policy)) {
      this.#attempts.sendNext(call, now);
    } else {
      this.#claim(call, now);
    }
  }

  #findRefusal(call: CallerCall, now: Milliseconds): ResultName | undefined {
    if (isExpired(call.deadline, now)) {
      return 'deadlineExceededBeforeDispatch';
    }
    if (this.#shared.isShedByRoute(call, now)) {
      return 'shedBeforeSending';
    }
    if (this.#shared.getSuspicion(call, now) === 'quarantined') {
      return 'quarantined';
    }
    if (!needsClaim(call.policy)) {
      return undefined;
    }
    if (call.request.idempotencyKey === undefined) {
      return 'invalidIdempotencyKey';
    }
    // A request that would be refused anyway does not burden the ledger.
    const choice = this.#shared.choose(call, now);
    return choice?.kind === 'chosen' ? undefined : getResultOfChoice(choice);
  }

  #claim(call: CallerCall, now: Milliseconds): void {
    call.isClaimed = true;
    this.#attempts.push({
      callIdentifier: call.callIdentifier,
      fingerprint: call.fingerprint,
      idempotencyKey: call.request.idempotencyKey ?? '',
      kind: 'claim',
      remainingMilliseconds: getRemainingMilliseconds(call.deadline, now),
    });
  }

  #onClaimGranted(callIdentifier: CallIdentifier, now: Milliseconds): void {
    const call = this.#attempts.get(callIdentifier);
    if (call !== undefined && call.attempts === 0) {
      call.mayEarlierRequestHaveRun = false;
      this.#attempts.sendNext(call, now);
    }
  }

  /** The ledger's answer decides the call: nothing is dispatched. */
  #onClaimEnded(
    callIdentifier: CallIdentifier,
    result: ResultName,
    now: Milliseconds,
  ): void {
    const call = this.#attempts.get(callIdentifier);
    if (call !== undefined && call.attempts === 0) {
      call.isClaimed = false;
      call.mayEarlierRequestHaveRun = false;
      this.#attempts.finish(call, result, now, result === 'ok');
    }
  }

  #onCallerDisconnected(
    callIdentifier: CallIdentifier,
    now: Milliseconds,
  ): void {
    const call = this.#attempts.get(callIdentifier);
    if (call === undefined) {
      return;
    }
    call.isCallerDisconnected = true;
    const {openAttempt} = call;
    if (openAttempt === undefined) {
      this.#attempts.finish(call, 'cancelledBeforeDispatch', now);
    } else if (!needsClaim(call.policy)) {
      this.#cancel(call, openAttempt, now);
    }
    // A non-idempotent request continues, so that a resend finds its outcome.
  }

  #cancel(call: CallerCall, attempt: OpenAttempt, now: Milliseconds): void {
    const reason = {
      outcome: 'refused',
      result: 'cancelledWhileRunning',
    } as const;
    this.#attempts.cancel(call, attempt, reason, now);
  }

  #onTick(now: Milliseconds): void {
    for (const call of this.#attempts.list()) {
      if (isExpired(call.deadline, now)) {
        this.#expire(call, now);
      } else {
        this.#checkResolveTimeout(call, now);
      }
    }
  }

  #expire(call: CallerCall, now: Milliseconds): void {
    const {openAttempt} = call;
    if (openAttempt === undefined) {
      this.#attempts.finish(call, 'deadlineExceededBeforeDispatch', now);
      return;
    }
    const reason = {
      outcome: 'failed',
      result: 'deadlineExceededWhileRunning',
    } as const;
    this.#attempts.cancel(call, openAttempt, reason, now);
  }

  /** Repeats a resolve query that timed out, or abandons the attempt. */
  #checkResolveTimeout(call: CallerCall, now: Milliseconds): void {
    const {openAttempt} = call;
    const since = openAttempt?.resolvingSince;
    if (openAttempt === undefined || since === undefined) {
      return;
    }
    if (now - since < RESOLVE_TIMEOUT_MILLISECONDS) {
      return;
    }
    if (call.policy.isIdempotent) {
      this.#attempts.abandon(call, openAttempt, now);
      return;
    }
    this.#attempts.resolve(call, openAttempt, now);
  }
}
