/** Attempts on the server side: dispatch, refusal, completion, cancellation. */

import type {
  AnswerEnd,
  Attempt,
  AttemptIdentifier,
  LoadReport,
  Resolution,
  ResolveQuery,
} from './AttemptMessages.js';
import type {CallInProgress, CallsInProgress} from './CallsInProgress.js';
import type {ServerSideEffect, ServerSideInput} from './CallTypes.js';
import type {AdmissionController, AdmissionEffect} from 'jackdawcove-admission';
import type {
  DaemonName,
  Incarnation,
  Milliseconds,
  ResultName,
} from 'jackdawcove-shared';

import {
  createDeadline,
  encodeContextHeader,
  getRemainingMilliseconds,
  isExpired,
} from 'jackdawcove-context';

import {getPriority} from './CallUtils.js';
import {EndedAttempts} from './EndedAttempts.js';

/** Mechanisms that measurements and baselines can switch off. */
export type ServerSwitches = {
  readonly isFencing: boolean;
  readonly isQuarantining: boolean;
  /** False: a crash suspect may run concurrently with other requests. */
  readonly isIsolatingSuspects: boolean;
};

/** Every mechanism switched on. */
export const DEFAULT_SERVER_SWITCHES: ServerSwitches = {
  isFencing: true,
  isIsolatingSuspects: true,
  isQuarantining: true,
};

/** Dependencies of the server attempts. */
export type ServerAttemptsOptions = {
  readonly admission: AdmissionController;
  readonly callsInProgress: CallsInProgress;
  readonly daemonIncarnation: Incarnation;
  /** Start time of the daemon, which has no record of earlier attempts. */
  readonly startedAt: Milliseconds;
  readonly switches?: ServerSwitches;
};

type ServerAttempt = {
  /** Result of an aborted attempt; it ends when its backend request ends. */
  abortResult: ResultName | undefined;
  readonly attempt: Attempt;
  /** Set while the attempt runs. */
  call: CallInProgress | undefined;
  callerDaemon: DaemonName;
  readonly deadline: Milliseconds;
};

type RunningAttempt = ServerAttempt & {call: CallInProgress};

/** Open and ended attempts of the local backend server. */
export class ServerAttempts {
  readonly #admission: AdmissionController;
  readonly #callsInProgress: CallsInProgress;
  readonly #daemonIncarnation: Incarnation;
  #effects: ServerSideEffect[] = [];
  readonly #ended: EndedAttempts;
  readonly #open = new Map<AttemptIdentifier, ServerAttempt>();
  readonly #switches: ServerSwitches;

  constructor(options: ServerAttemptsOptions) {
    this.#admission = options.admission;
    this.#callsInProgress = options.callsInProgress;
    this.#daemonIncarnation = options.daemonIncarnation;
    this.#ended = new EndedAttempts(options.startedAt);
    this.#switches = options.switches ?? DEFAULT_SERVER_SWITCHES;
  }

  /** Adds an effect. */
  push(effect: ServerSideEffect): void {
    this.#effects.push(effect);
  }

  /** Returns the effects of the current input and clears them. */
  takeEffects(): readonly ServerSideEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Offers an attempt to the admission controller. */
  offer(
    attempt: Attempt,
    callerDaemon: DaemonName,
    isExclusive: boolean,
    now: Milliseconds,
  ): void {
    const {attemptIdentifier, context} = attempt;
    const deadline = createDeadline(now, [attempt.remainingMilliseconds]);
    this.#open.set(attemptIdentifier, {
      abortResult: undefined,
      attempt,
      call: undefined,
      callerDaemon,
      deadline,
    });
    const effects = this.#admission.offer(
      {
        deadline,
        identifier: attemptIdentifier,
        importance: context.importance,
        isExclusive,
        priority: getPriority(context),
      },
      now,
    );
    this.applyAdmissionEffects(effects, now);
  }

  /** Refuses an attempt that is not open. */
  refuse(
    attempt: Attempt,
    callerDaemon: DaemonName,
    result: ResultName,
    retryAfterMilliseconds = 0,
  ): void {
    const refusal = {
      attemptIdentifier: attempt.attemptIdentifier,
      load: this.createLoadReport(undefined),
      result,
      retryAfterMilliseconds,
      tokensReturned: attempt.tokensLent,
    };
    this.push({callerDaemon, kind: 'refuse', refusal});
  }

  /** Dispatches or refuses attempts as the admission controller decided. */
  applyAdmissionEffects(
    effects: readonly AdmissionEffect[],
    now: Milliseconds,
  ): void {
    for (const effect of effects) {
      const open = this.#open.get(effect.identifier);
      if (open === undefined) {
        continue;
      }
      if (effect.kind === 'admit') {
        this.#dispatch(open, now);
      } else {
        const {result, retryAfterMilliseconds} = effect;
        this.#refuseOpen(open, result, retryAfterMilliseconds, now);
      }
    }
  }

  /** Handles a complete answer; returns the attempt that it ended. */
  onAnswered(
    identifier: AttemptIdentifier,
    now: Milliseconds,
  ): Attempt | undefined {
    const running = this.#getRunning(identifier);
    if (running !== undefined) {
      this.#end(running, 'ok', now);
    }
    return running?.attempt;
  }

  /** Handles the failure of one request. */
  onFailed(
    {
      attemptIdentifier,
      isDispatched,
      isRefused,
    }: Extract<ServerSideInput, {kind: 'backendFailed'}>,
    now: Milliseconds,
  ): void {
    const running = this.#getRunning(attemptIdentifier);
    if (running === undefined) {
      return;
    }
    const notRun = isRefused === true ? 'instanceRefused' : 'noInstance';
    const result = isDispatched
      ? (running.abortResult ?? 'outcomeUnknown')
      : notRun;
    this.#end(running, result, now);
  }

  /** Handles the cancellation of an attempt. */
  onCancelled(identifier: AttemptIdentifier, now: Milliseconds): void {
    const open = this.#open.get(identifier);
    if (open === undefined) {
      return;
    }
    if (open.call !== undefined) {
      this.#abort(open, 'cancelledWhileRunning');
      return;
    }
    this.#admission.withdraw(identifier);
    this.#refuseOpen(open, 'cancelledBeforeDispatch', 0, now);
  }

  /** Ends all running attempts; returns them. */
  endRunning(result: ResultName, now: Milliseconds): readonly Attempt[] {
    const running = [...this.#open.values()].filter(isRunning);
    for (const open of running) {
      this.#end(open, result, now);
    }
    return running.map(({attempt}) => attempt);
  }

  /** Aborts the running attempts whose deadline has passed. */
  abortExpired(now: Milliseconds): void {
    for (const open of this.#open.values()) {
      if (isRunning(open) && isExpired(open.deadline, now)) {
        this.#abort(open, 'deadlineExceededWhileRunning');
      }
    }
  }

  /** Answers a resolve query, and fences an attempt that was never seen. */
  onResolve(
    query: ResolveQuery,
    callerDaemon: DaemonName,
    now: Milliseconds,
  ): void {
    const {attemptIdentifier} = query;
    const resolution = this.#resolve(query, now);
    this.push({
      answer: {attemptIdentifier, resolution},
      callerDaemon,
      kind: 'answerResolution',
    });
    const open = this.#open.get(attemptIdentifier);
    if (open !== undefined) {
      open.callerDaemon = callerDaemon;
    }
    const ended = this.#ended.get(attemptIdentifier);
    if (ended?.kind === 'done') {
      this.push({callerDaemon, end: ended.end, kind: 'endAnswer'});
    }
  }

  /** Returns how an attempt ended, or undefined if there is no record of it. */
  getEndedKind(
    identifier: AttemptIdentifier,
  ): 'done' | 'fenced' | 'refused' | undefined {
    return this.#ended.get(identifier)?.kind;
  }

  /** Returns whether an attempt is queued or running. */
  isOpen(identifier: AttemptIdentifier): boolean {
    return this.#open.has(identifier);
  }

  /** Returns whether a request with the fingerprint is queued or running. */
  hasFingerprint(fingerprint: string): boolean {
    return [...this.#open.values()].some(
      ({attempt}) => attempt.fingerprint === fingerprint,
    );
  }

  /** Creates a load report, with the downstream threshold of an attempt. */
  createLoadReport(identifier: AttemptIdentifier | undefined): LoadReport {
    const load = this.#admission.getLoad();
    const call =
      identifier === undefined ? undefined : this.#open.get(identifier)?.call;
    return {
      downstreamThreshold: call?.getDownstreamThreshold() ?? 0,
      inFlight: load.inFlight,
      limit: load.limit,
      queueingDelayMilliseconds: load.queueingDelayMilliseconds,
      threshold: load.threshold,
    };
  }

  #dispatch(open: ServerAttempt, now: Milliseconds): void {
    const {attempt, deadline} = open;
    const remainingMilliseconds = getRemainingMilliseconds(deadline, now);
    open.call = this.#callsInProgress.open(
      attempt.attemptIdentifier,
      attempt.tokensLent,
      deadline,
      now,
    );
    const {context, requestIdentifier} = attempt;
    if (requestIdentifier !== undefined) {
      const parentHandle = attempt.attemptIdentifier;
      this.#callsInProgress.registerRequest(requestIdentifier, {
        context,
        parentHandle,
      });
    }
    this.push({
      attempt,
      // Encoded on demand, because not every backend server receives it.
      get contextHeader() {
        return encodeContextHeader({
          context: attempt.context,
          parentHandle: attempt.attemptIdentifier,
          remainingMilliseconds,
        });
      },
      kind: 'dispatch',
      remainingMilliseconds,
    });
  }

  #refuseOpen(
    open: ServerAttempt,
    result: ResultName,
    retryAfterMilliseconds: Milliseconds,
    now: Milliseconds,
  ): void {
    const {attempt, callerDaemon} = open;
    this.#open.delete(attempt.attemptIdentifier);
    this.#ended.add(attempt.attemptIdentifier, {kind: 'refused'}, now);
    this.refuse(attempt, callerDaemon, result, retryAfterMilliseconds);
  }

  /** Ends a dispatched attempt and frees its slot for the next one. */
  #end(open: RunningAttempt, result: ResultName, now: Milliseconds): void {
    const {attempt, call, callerDaemon} = open;
    const {attemptIdentifier} = attempt;
    const completion = {
      isSuccess: result === 'ok',
      ownMilliseconds: call.getOwnTime(now),
    };
    const effects = this.#admission.complete(
      attemptIdentifier,
      completion,
      now,
    );
    const end: AnswerEnd = {
      attemptIdentifier,
      load: this.createLoadReport(attemptIdentifier),
      result,
      tokensReturned: call.allowance.close(),
    };
    this.#callsInProgress.close(attemptIdentifier);
    if (attempt.requestIdentifier !== undefined) {
      this.#callsInProgress.unregisterRequest(
        attempt.requestIdentifier,
        attemptIdentifier,
      );
    }
    this.#open.delete(attemptIdentifier);
    this.#ended.add(attemptIdentifier, {end, kind: 'done'}, now);
    this.push({callerDaemon, end, kind: 'endAnswer'});
    this.applyAdmissionEffects(effects, now);
  }

  #abort(open: ServerAttempt, result: ResultName): void {
    if (open.abortResult !== undefined) {
      return;
    }
    open.abortResult = result;
    open.call?.cancel();
    const {attemptIdentifier} = open.attempt;
    this.push({attemptIdentifier, kind: 'abort'});
  }

  #resolve(query: ResolveQuery, now: Milliseconds): Resolution {
    const {ageMilliseconds, attemptIdentifier, daemonIncarnation} = query;
    if (this.#open.has(attemptIdentifier)) {
      return 'running';
    }
    const ended = this.#ended.get(attemptIdentifier);
    if (ended?.kind === 'done') {
      return 'done';
    }
    // Without a record, the attempt may have run before the records begin.
    const isRecordComplete =
      daemonIncarnation === this.#daemonIncarnation &&
      this.#ended.isCompleteSince(now - ageMilliseconds);
    if (ended === undefined && !isRecordComplete) {
      return 'unknown';
    }
    if (this.#switches.isFencing) {
      this.#ended.fence(attemptIdentifier, now);
    }
    return 'neverSeen';
  }

  #getRunning(identifier: AttemptIdentifier): RunningAttempt | undefined {
    const open = this.#open.get(identifier);
    return open !== undefined && isRunning(open) ? open : undefined;
  }
}

function isRunning(open: ServerAttempt): open is RunningAttempt {
  return open.call !== undefined;
}
