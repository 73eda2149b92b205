/** Runs the routed requests of callers and of the local backend server. */

import type {DaemonHost} from '../DaemonHost.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {RoutedTarget} from '../embedding/RouteSource.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {OpenAttempt, RelayCall} from './RelayCall.js';
import type {RelayTransport} from './RelayTransport.js';
import type {RelayExchange, RequestFacts} from './RelayTypes.js';
import type {RunningRequest, RunningRequests} from './RunningRequests.js';
import type {
  AnswerPacket,
  FailurePacket,
  OfferPacket,
  PlacementCandidate,
  RetryBudgetOptions,
} from 'jackdawcove-relay';
import type {
  DaemonName,
  Executed,
  Milliseconds,
  ResultName,
  ServiceName,
} from 'jackdawcove-shared';

import {
  InstancePlacement,
  RANK_END,
  RANKS_PER_IMPORTANCE,
  RouteGate,
  SharedRetryBudget,
} from 'jackdawcove-relay';
import {getImportanceRank, IMPORTANCES, RESULT_CODES} from 'jackdawcove-shared';

import {BoundedLog} from '../host/BoundedLog.js';
import {fingerprintRequest} from './fingerprintRequest.js';
import {
  BLOCK_MILLISECONDS,
  CALL_PATIENCE_SHARE,
  CALL_RETRY_MILLISECONDS,
  LOST_IDEMPOTENT_MILLISECONDS,
  MAXIMUM_RETRY_AFTER_MILLISECONDS,
  MAXIMUM_ROOT_REDIRECTS,
  MINIMUM_RETRY_AFTER_MILLISECONDS,
  RETRY_AFTER_SHARE,
  ROOT_PATIENCE_SHARE,
} from './RelayConstants.js';

/** Lists the instances of a service that may be asked now. */
export type ListCandidates = (
  service: ServiceName,
) => readonly PlacementCandidate[];

/** What the relay's caller side is wired to. */
export type RelayCallerOptions = {
  readonly getDaemonCount: () => number;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly listCandidates: ListCandidates;
  readonly onCall: () => void;
  readonly quarantine: QuarantineRegistration;
  readonly retryBudget: RetryBudgetOptions;
  readonly runningRequests: RunningRequests;
  readonly transport: RelayTransport;
};

/** A request that was read whole. */
export type ReceivedRequest = {
  readonly body: Uint8Array;
  readonly exchange: RelayExchange;
  readonly facts: RequestFacts;
  readonly forwardedLines: string;
  readonly target: RoutedTarget;
};

const LOWEST_IMPORTANCE_RANK = IMPORTANCES.length - 1;
const FIRST_FAILURE_STATUS = 500;

/** Places requests, sends them again where that is allowed, and answers them. */
export class RelayCaller {
  readonly #attempts = new Map<number, OpenAttempt>();
  readonly #budget: SharedRetryBudget;
  readonly #calls = new Set<RelayCall>();
  readonly #failures: BoundedLog;
  readonly #gate: RouteGate;
  readonly #options: RelayCallerOptions;
  readonly #placement: InstancePlacement;
  #sequence = 0;

  constructor(options: RelayCallerOptions) {
    const {clock, log, randomNumber, settings} = options.host;
    this.#budget = new SharedRetryBudget(
      options.retryBudget,
      options.getDaemonCount,
      clock(),
    );
    this.#failures = new BoundedLog(log, clock);
    this.#gate = new RouteGate(randomNumber);
    this.#options = options;
    this.#placement = new InstancePlacement(
      settings.daemon.availabilityZone,
      randomNumber,
    );
  }

  /** Requests that are not answered yet. */
  getOpenCalls(): number {
    return this.#calls.size;
  }

  /** Begins a request. */
  begin(received: ReceivedRequest): void {
    const {guard, host, onCall, runningRequests} = this.#options;
    const now = host.clock();
    const parent = runningRequests.find(received.facts.parentRequestIdentifier);
    const call = createCall(received, parent, now, host.randomNumber());
    this.#calls.add(call);
    guard.openCall();
    onCall();
    received.exchange.onGone = () => {
      this.#abandon(call);
    };
    if (parent === undefined) {
      this.#budget.recordRequest(call.service, now);
    }
    const refusal = this.#findRefusal(call, now);
    if (refusal === undefined) {
      this.#place(call, now);
    } else {
      this.#refuse(call, refusal, now);
    }
  }

  /** Takes an answer or a part of it. */
  receiveAnswer(packet: AnswerPacket): void {
    const attempt = this.#attempts.get(packet.attempt);
    if (attempt === undefined) {
      return;
    }
    if (!packet.isLast || attempt.parts.length > 0) {
      attempt.parts.push(packet.body);
    }
    attempt.head ??= packet;
    if (packet.isLast) {
      const {head} = attempt;
      const body =
        attempt.parts.length === 0 ? packet.body : Buffer.concat(attempt.parts);
      this.#takeAnswer(attempt, {...head, body}, this.#options.host.clock());
    }
  }

  /** Takes a refusal, or the end of a run without an answer. */
  receiveFailure(packet: FailurePacket): void {
    const attempt = this.#attempts.get(packet.attempt);
    if (attempt === undefined) {
      return;
    }
    const now = this.#options.host.clock();
    const {call, candidate} = attempt;
    this.#close(attempt, packet, now);
    this.#learnFromFailure(attempt, packet, now);
    if (packet.reason === 'quarantined') {
      this.#refuse(call, 'quarantined', now);
    } else if (packet.mayHaveRun) {
      this.#repeatRun(call, now);
    } else if (packet.reason === 'refused') {
      // The arrival counts as one at the instance, so that another is a retry.
      this.#repeatRefused(call, now);
    } else {
      call.excluded.add(candidate.instance);
      this.#redirect(call, now);
    }
  }

  /** The session with a daemon was lost: its attempts are asked for again. */
  handleLost(daemon: DaemonName): void {
    const now = this.#options.host.clock();
    for (const attempt of this.#attempts.values()) {
      if (attempt.candidate.daemon === daemon && attempt.lostAt === undefined) {
        attempt.lostAt = now;
        attempt.parts.length = 0;
        attempt.head = undefined;
        this.#resend(attempt);
      }
    }
  }

  /** A session with a daemon is open. */
  handleOpened(daemon: DaemonName): void {
    const now = this.#options.host.clock();
    for (const attempt of this.#attempts.values()) {
      if (attempt.candidate.daemon === daemon && attempt.lostAt !== undefined) {
        this.#resend(attempt);
      }
    }
    for (const call of this.#calls) {
      if (call.retryAt !== undefined && call.awaited === daemon) {
        this.#place(call, now);
      }
    }
  }

  tick(): void {
    const now = this.#options.host.clock();
    for (const call of this.#calls) {
      if (now >= call.deadline) {
        this.#expire(call, now);
      } else if (call.retryAt !== undefined && now >= call.retryAt) {
        this.#place(call, now);
      } else {
        this.#checkLost(call, now);
      }
    }
    this.#placement.forgetUnused(now);
  }

  #findRefusal(call: RelayCall, now: Milliseconds): ResultName | undefined {
    const {host, quarantine} = this.#options;
    const {facts, parent, route, shedRank} = call;
    if (quarantine.decision.hasRecords()) {
      const fingerprint = fingerprintRequest({body: call.body, ...facts});
      const suspicion = quarantine.decision.getSuspicion(fingerprint, now);
      if (suspicion === 'quarantined') {
        return 'quarantined';
      }
    }
    if (parent !== undefined || this.#gate.admits(route.name, shedRank, now)) {
      return undefined;
    }
    host.metrics.increment('relay.shedAtRoot');
    return 'shedBeforeSending';
  }

  /** Chooses an instance and sends the request, or lets the call wait. */
  #place(call: RelayCall, now: Milliseconds): void {
    call.retryAt = undefined;
    const all = this.#options.listCandidates(call.service);
    const left = all.filter(({instance}) => !call.excluded.has(instance));
    for (let candidates = left; candidates.length > 0;) {
      const candidate = this.#placement.choose(candidates, now);
      if (candidate === undefined) {
        break;
      }
      if (this.#send(call, candidate, now)) {
        return;
      }
      call.awaited = candidate.daemon;
      candidates = candidates.filter((other) => other !== candidate);
    }
    if (left.length > 0 || call.parent !== undefined) {
      this.#wait(call, now);
    } else {
      this.#refuse(
        call,
        all.length > 0 ? 'shedByAdmission' : 'noInstance',
        now,
      );
    }
  }

  #wait(call: RelayCall, now: Milliseconds): void {
    call.excluded.clear();
    call.retryAt = now + CALL_RETRY_MILLISECONDS;
  }

  #send(
    call: RelayCall,
    candidate: PlacementCandidate,
    now: Milliseconds,
  ): boolean {
    this.#sequence += 1;
    const attempt: OpenAttempt = {
      call,
      candidate,
      head: undefined,
      lostAt: undefined,
      number: this.#sequence,
      parts: [],
      sentAt: now,
    };
    const offer = this.#createOffer(attempt, false, now);
    if (!this.#options.transport.send(candidate.daemon, offer)) {
      return false;
    }
    call.attempt = attempt;
    call.attemptCount += 1;
    this.#attempts.set(attempt.number, attempt);
    this.#placement.recordSent(candidate.instance, now);
    return true;
  }

  #createOffer(
    {call, candidate, number}: OpenAttempt,
    isResent: boolean,
    now: Milliseconds,
  ): OfferPacket {
    const {body, facts, parent, route} = call;
    const remainingMilliseconds = Math.max(1, call.deadline - now);
    return {
      attempt: number,
      body,
      callerIncarnation: this.#options.host.incarnation,
      daemonIncarnation: candidate.daemonIncarnation,
      forwardedLines: call.forwardedLines,
      instance: candidate.instance,
      isIdempotent: route.isIdempotent,
      isRepeat: call.isRepeat,
      isResent,
      kind: 'offer',
      method: facts.method,
      path: facts.path,
      patienceMilliseconds:
        parent === undefined
          ? Math.min(
              route.latencyObjectiveMilliseconds * ROOT_PATIENCE_SHARE,
              remainingMilliseconds * CALL_PATIENCE_SHARE,
            )
          : remainingMilliseconds * CALL_PATIENCE_SHARE,
      remainingMilliseconds,
      requestIdentifier: facts.requestIdentifier,
      shedRank: call.shedRank,
    };
  }

  #resend(attempt: OpenAttempt): void {
    const now = this.#options.host.clock();
    const offer = this.#createOffer(attempt, true, now);
    if (this.#options.transport.send(attempt.candidate.daemon, offer)) {
      attempt.lostAt = undefined;
    }
  }

  #takeAnswer(
    attempt: OpenAttempt,
    packet: AnswerPacket,
    now: Milliseconds,
  ): void {
    const {call, candidate} = attempt;
    const {failedCalls, load, runMilliseconds, status} = packet;
    const isFailed = status >= FIRST_FAILURE_STATUS;
    this.#close(attempt, packet, now);
    // A run that failed since one of its calls did says nothing of its instance.
    if (failedCalls === 0) {
      this.#placement.recordRun(
        candidate.instance,
        call.route.name,
        runMilliseconds,
        isFailed,
        now,
      );
    }
    const mayRepeat =
      isFailed && failedCalls === 0 && call.parent === undefined;
    if (mayRepeat && this.#mayRunAgain(call, now)) {
      this.#repeat(call, now);
      return;
    }
    this.#learnFromEnd(call, load.threshold, !isFailed, now);
    this.#finish(call);
    this.#options.host.metrics.increment(
      isFailed ? 'relay.answeredFailure' : 'relay.answered',
    );
    this.#options.host.metrics.timing('relay.duration', now - call.startedAt);
    call.exchange.answer(status, packet.forwardedLines, packet.body);
  }

  #learnFromFailure(
    {candidate}: OpenAttempt,
    {reason}: FailurePacket,
    now: Milliseconds,
  ): void {
    if (reason === 'unavailable' || reason === 'wrongProcess') {
      this.#placement.block(candidate.instance, now + BLOCK_MILLISECONDS);
    } else if (reason === 'refused' || reason === 'broken') {
      this.#placement.recordRun(candidate.instance, '', 0, true, now);
    }
  }

  #close(
    attempt: OpenAttempt,
    packet: AnswerPacket | FailurePacket | undefined,
    now: Milliseconds,
  ): void {
    this.#attempts.delete(attempt.number);
    attempt.call.attempt = undefined;
    this.#placement.recordEnd(attempt.candidate.instance, packet?.load, now);
  }

  /** Asks another daemon: the last one refused at no cost to its instance. */
  #redirect(call: RelayCall, now: Milliseconds): void {
    call.redirects += 1;
    if (call.parent === undefined && call.redirects > MAXIMUM_ROOT_REDIRECTS) {
      this.#refuse(call, 'shedByAdmission', now);
      return;
    }
    this.#place(call, now);
  }

  #repeatRefused(call: RelayCall, now: Milliseconds): void {
    const {attemptCount, route, service} = call;
    if (
      attemptCount < route.attempts + call.redirects &&
      this.#budget.take(service, 1, now)
    ) {
      this.#repeat(call, now);
    } else {
      this.#refuse(call, 'instanceRefused', now);
    }
  }

  #repeatRun(call: RelayCall, now: Milliseconds): void {
    if (this.#mayRunAgain(call, now)) {
      this.#repeat(call, now);
    } else {
      this.#failUnknown(call, 'outcomeUnknown', now);
    }
  }

  #mayRunAgain(call: RelayCall, now: Milliseconds): boolean {
    const {attemptCount, deadline, redirects, route, service} = call;
    return (
      route.isIdempotent &&
      attemptCount < route.attempts + redirects &&
      deadline - now > (deadline - call.startedAt) / 4 &&
      this.#budget.take(service, 1, now)
    );
  }

  #repeat(call: RelayCall, now: Milliseconds): void {
    call.isRepeat = true;
    this.#options.host.metrics.increment('relay.repeated');
    this.#place(call, now);
  }

  #checkLost({attempt, route}: RelayCall, now: Milliseconds): void {
    if (attempt?.lostAt === undefined) {
      return;
    }
    const isLookedFor =
      !route.isIdempotent ||
      now - attempt.lostAt < LOST_IDEMPOTENT_MILLISECONDS;
    if (isLookedFor) {
      this.#resend(attempt);
      return;
    }
    this.#placement.block(attempt.candidate.instance, now + BLOCK_MILLISECONDS);
    this.#close(attempt, undefined, now);
    attempt.call.excluded.add(attempt.candidate.instance);
    this.#repeatRun(attempt.call, now);
  }

  #expire(call: RelayCall, now: Milliseconds): void {
    const {attempt} = call;
    if (attempt === undefined) {
      this.#refuse(call, 'deadlineExceededBeforeDispatch', now);
      return;
    }
    this.#cancel(attempt, now);
    this.#failUnknown(call, 'deadlineExceededWhileRunning', now);
  }

  /** The caller left. */
  #abandon(call: RelayCall): void {
    if (!this.#calls.has(call)) {
      return;
    }
    const now = this.#options.host.clock();
    if (call.attempt !== undefined) {
      this.#cancel(call.attempt, now);
    }
    call.parent?.recordCall(RANK_END, true);
    this.#finish(call);
  }

  #cancel(attempt: OpenAttempt, now: Milliseconds): void {
    const {candidate, number} = attempt;
    this.#options.transport.send(candidate.daemon, {
      attempt: number,
      callerIncarnation: this.#options.host.incarnation,
      kind: 'cancel',
    });
    this.#close(attempt, undefined, now);
  }

  #refuse(call: RelayCall, result: ResultName, now: Milliseconds): void {
    this.#end(call, result, 'no', now);
  }

  #failUnknown(call: RelayCall, result: ResultName, now: Milliseconds): void {
    this.#learnFromEnd(call, undefined, false, now);
    this.#end(call, result, 'unknown', now);
  }

  #end(
    call: RelayCall,
    result: ResultName,
    executed: Executed,
    now: Milliseconds,
  ): void {
    const {attemptCount, exchange, facts, parent, route, service} = call;
    parent?.recordCall(RANK_END, false);
    this.#finish(call);
    const retryAfterMilliseconds = this.#getRetryAfter(call, now);
    this.#options.host.metrics.increment(`relay.result.${result}`);
    this.#failures.write(
      executed === 'no' ? 'requestRefused' : 'requestFailed',
      {
        attempts: attemptCount,
        executed,
        milliseconds: Math.round(now - call.startedAt),
        redirects: call.redirects,
        request: facts.requestIdentifier,
        result,
        resultNumber: RESULT_CODES[result].number,
        retryAfterMilliseconds,
        route: route.name,
        service,
        shedRank: call.shedRank,
      },
      'request not served',
    );
    exchange.answerOwn({executed, result, retryAfterMilliseconds});
  }

  /** Spread at random, so that refused callers do not come back all at once. */
  #getRetryAfter({deadline}: RelayCall, now: Milliseconds): Milliseconds {
    const longest = Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      (deadline - now) * RETRY_AFTER_SHARE,
    );
    const shortest = Math.min(MINIMUM_RETRY_AFTER_MILLISECONDS, longest);
    const share = this.#options.host.randomNumber();
    return Math.max(0, shortest + (longest - shortest) * share);
  }

  #learnFromEnd(
    {parent, route}: RelayCall,
    threshold: number | undefined,
    isSuccess: boolean,
    now: Milliseconds,
  ): void {
    if (parent === undefined) {
      this.#gate.recordEnd(route.name, threshold, isSuccess, now);
    } else if (threshold !== undefined) {
      parent.recordCall(threshold, isSuccess);
    }
  }

  #finish(call: RelayCall): void {
    this.#calls.delete(call);
    this.#options.guard.closeCall();
  }
}

/** A call inherits rank and deadline of the request whose run made it. */
function createCall(
  {body, exchange, facts, forwardedLines, target}: ReceivedRequest,
  parent: RunningRequest | undefined,
  now: Milliseconds,
  cohort: number,
): RelayCall {
  const {route, service} = target;
  const waited = Math.min(
    facts.timeoutMilliseconds ?? Number.POSITIVE_INFINITY,
    route.timeoutMilliseconds,
  );
  const importance =
    LOWEST_IMPORTANCE_RANK - getImportanceRank(route.importance);
  return {
    attempt: undefined,
    attemptCount: 0,
    awaited: undefined,
    body,
    deadline: Math.min(now + waited, parent?.deadline ?? Number.MAX_VALUE),
    exchange,
    excluded: new Set(),
    facts,
    forwardedLines,
    isRepeat: parent?.isRepeat ?? false,
    parent,
    redirects: 0,
    retryAt: undefined,
    route,
    service,
    shedRank:
      parent?.shedRank ??
      importance * RANKS_PER_IMPORTANCE +
        Math.floor(cohort * RANKS_PER_IMPORTANCE),
    startedAt: now,
  };
}
