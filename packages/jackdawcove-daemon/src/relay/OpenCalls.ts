/** Open calls and the ways in which they end. */

import type {DaemonHost} from '../DaemonHost.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {RequestQuotas} from '../quota/registerQuota.js';
import type {OpenAttempt, ReceivedRequest, RelayCall} from './RelayCall.js';
import type {RelayDialect} from './RelayTypes.js';
import type {AnswerPacket, FailurePacket} from 'jackdawcove-relay';
import type {Executed, Milliseconds, ResultName} from 'jackdawcove-shared';

import {RouteGate, ShedRanks} from 'jackdawcove-relay';
import {isFinalStatus, PER_MILLE, RESULT_CODES} from 'jackdawcove-shared';

import {RateLimitedLog} from '../host/RateLimitedLog.js';
import {
  FIRST_FAILURE_STATUS,
  MAXIMUM_RETRY_AFTER_MILLISECONDS,
  MAXIMUM_RETRY_AFTER_SHARE,
  MINIMUM_RETRY_AFTER_MILLISECONDS,
} from './RelayConstants.js';

/** Dependencies of the open calls. */
export type OpenCallsOptions = {
  readonly dialect: Pick<RelayDialect, 'notRunStatuses'>;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly quotas?: RequestQuotas | undefined;
};

/** Ends calls: answers the callers, logs failures and records the outcomes. */
export class OpenCalls {
  readonly #calls = new Set<RelayCall>();
  readonly #dialect: OpenCallsOptions['dialect'];
  readonly #failureLog: RateLimitedLog;
  readonly #gate: RouteGate;
  readonly #guard: DaemonGuard;
  readonly #host: DaemonHost;
  readonly #quotas: RequestQuotas | undefined;
  readonly #ranks: ShedRanks;

  constructor({dialect, guard, host, quotas}: OpenCallsOptions) {
    this.#dialect = dialect;
    this.#failureLog = new RateLimitedLog(host.log, host.clock);
    this.#gate = new RouteGate(host.randomNumber);
    this.#guard = guard;
    this.#host = host;
    this.#quotas = quotas;
    this.#ranks = new ShedRanks({
      fairShare: host.settings.relay.fairSharePerMille / PER_MILLE,
      randomNumber: host.randomNumber,
    });
  }

  [Symbol.iterator](): IterableIterator<RelayCall> {
    return this.#calls.values();
  }

  getCount(): number {
    return this.#calls.size;
  }

  isOpen(call: RelayCall): boolean {
    return this.#calls.has(call);
  }

  /** Draws the shed rank of a root request. */
  drawShedRank(
    {organisation, target: {route}}: ReceivedRequest,
    now: Milliseconds,
  ): number {
    const {importance, name} = route;
    const organisationImportance = organisation?.importance;
    const request = {importance, organisationImportance, route: name};
    return this.#ranks.draw(request, now);
  }

  /** Whether a root call is admitted; calls of running requests always are. */
  isAdmitted(call: RelayCall, now: Milliseconds): boolean {
    const {parent, route, shedRank} = call;
    return parent !== undefined || this.#gate.admits(route.name, shedRank, now);
  }

  /** Records what an attempt used, as its answer or failure states it. */
  recordCosts(
    {call, isLimitAvoidable}: OpenAttempt,
    packet: AnswerPacket | FailurePacket | undefined,
    now: Milliseconds,
  ): void {
    if (packet?.costs === undefined) {
      return;
    }
    const {parent, route, service} = call;
    // The threshold of a limited instance says nothing while others have no limit.
    const costs = isLimitAvoidable
      ? packet.costs.map((cost) =>
          cost.service === service ? {...cost, threshold: undefined} : cost,
        )
      : packet.costs;
    if (parent !== undefined) {
      parent.recordCosts(costs);
      return;
    }
    const isComplete =
      packet.kind === 'answer' && packet.status < FIRST_FAILURE_STATUS;
    this.#ranks.recordCosts(route.name, costs, isComplete, now);
  }

  open(call: RelayCall): void {
    this.#calls.add(call);
    this.#guard.openCall();
  }

  /**
   * Whether an answer with a status can be passed on: it is one of HTTP's, and does not
   * promise that the request has not run, which the instance has not proved.
   */
  isUsableStatus(status: number): boolean {
    return isFinalStatus(status) && !this.#dialect.notRunStatuses.has(status);
  }

  /** Ends a call with the answer of an instance; unusable ones leave the outcome unknown. */
  answer(call: RelayCall, packet: AnswerPacket, now: Milliseconds): void {
    const {metrics} = this.#host;
    const {status} = packet;
    if (!this.isUsableStatus(status)) {
      metrics.increment('relay.unusableStatus');
      this.failAsUnknown(call, 'outcomeUnknown', now);
      return;
    }
    const isSuccess = status < FIRST_FAILURE_STATUS;
    this.#recordOutcome(call, isSuccess, now);
    this.#close(call);
    metrics.increment(isSuccess ? 'relay.answered' : 'relay.answeredFailure');
    metrics.countEnd({
      result: isSuccess ? 'answered' : 'answeredFailure',
      route: call.route.name,
      service: call.service,
    });
    metrics.timing('relay.duration', now - call.startedAt);
    call.exchange.answer(status, packet.forwardedLines, packet.body);
  }

  /**
   * Ends a call whose caller disconnected. A running request that abandons a call
   * gets no answer to it, but its root must still receive the threshold of the instance
   * whose queue delayed the call.
   */
  abandon(call: RelayCall): void {
    call.parent?.recordCall(call.threshold, false);
    if (call.attemptCount === 0) {
      this.#giveBack(call);
    }
    this.#close(call);
  }

  /** Ends a call whose last attempt has not run and will not run. */
  refuse(call: RelayCall, result: ResultName, now: Milliseconds): void {
    if (call.mayHaveRun) {
      this.failAsUnknown(call, 'outcomeUnknown', now);
      return;
    }
    if (call.parent === undefined) {
      this.#recordThreshold(call, now);
    } else {
      call.parent.recordCall(call.threshold, false);
    }
    this.#giveBack(call);
    this.#answerWithResult(call, result, 'no', now);
  }

  /** Ends a call that may have run. */
  failAsUnknown(call: RelayCall, result: ResultName, now: Milliseconds): void {
    this.#recordOutcome(call, false, now);
    this.#answerWithResult(call, result, 'unknown', now);
  }

  /** Ends a call that reached its deadline and whose offer was cancelled. */
  endExpired(call: RelayCall, mayHaveRun: boolean, now: Milliseconds): void {
    if (mayHaveRun) {
      this.failAsUnknown(call, 'deadlineExceededWhileRunning', now);
    } else {
      this.refuse(call, 'deadlineExceededBeforeDispatch', now);
    }
  }

  /** Gives back the unit of the organisation's quota. */
  #giveBack({organisation}: RelayCall): void {
    if (organisation !== undefined) {
      this.#quotas?.giveBack(organisation);
    }
  }

  #answerWithResult(
    call: RelayCall,
    result: ResultName,
    executed: Executed,
    now: Milliseconds,
  ): void {
    const {attemptCount, exchange, facts, redirects, route, service} = call;
    const retryAfterMilliseconds = this.#getRetryAfter(call, now);
    this.#close(call);
    this.#host.metrics.increment(`relay.result.${result}`);
    this.#host.metrics.countEnd({result, route: route.name, service});
    this.#failureLog.write(
      executed === 'no' ? 'requestRefused' : 'requestFailed',
      {
        attempts: attemptCount,
        executed,
        lastInstance: call.lastInstance,
        milliseconds: Math.round(now - call.startedAt),
        redirects,
        request: facts.requestIdentifier,
        result,
        resultNumber: RESULT_CODES[result].number,
        retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
        route: route.name,
        service,
        shedRank: call.shedRank,
        threshold: call.threshold,
      },
      'request failed',
    );
    exchange.answerWithResult({executed, result, retryAfterMilliseconds});
  }

  /** Returns a random time, so that refused callers do not all retry at the same time. */
  #getRetryAfter({deadline}: RelayCall, now: Milliseconds): Milliseconds {
    const maximum = Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      (deadline - now) * MAXIMUM_RETRY_AFTER_SHARE,
    );
    const minimum = Math.min(MINIMUM_RETRY_AFTER_MILLISECONDS, maximum);
    const share = this.#host.randomNumber();
    return Math.max(0, minimum + (maximum - minimum) * share);
  }

  #recordOutcome(call: RelayCall, isSuccess: boolean, now: Milliseconds): void {
    const {parent, route, threshold} = call;
    if (parent === undefined) {
      this.#gate.recordOutcome(route.name, isSuccess, now);
      if (isSuccess) {
        this.#ranks.recordAnswer(route.name, now);
      }
      this.#recordThreshold(call, now);
    } else {
      parent.recordCall(threshold, isSuccess);
    }
  }

  #recordThreshold({route, threshold}: RelayCall, now: Milliseconds): void {
    if (threshold !== undefined) {
      this.#gate.recordThreshold(route.name, threshold, now);
    }
  }

  #close(call: RelayCall): void {
    this.#calls.delete(call);
    this.#guard.closeCall();
  }
}
