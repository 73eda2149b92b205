/** Caller side of the relay: calls of clients and of the local backend server. */

import type {OpenAttempt, ReceivedRequest, RelayCall} from './RelayCall.js';
import type {RelayCallerOptions} from './RelayCallerOptions.js';
import type {RequestFacts} from './RelayTypes.js';
import type {
  AnswerPacket,
  FailurePacket,
  PlacementCandidate,
} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds, ResultName} from 'jackdawcove-shared';

import {InstancePlacement} from 'jackdawcove-relay';

import {findRequestRefusal} from './findRequestRefusal.js';
import {listReceivers} from './listReceivers.js';
import {OfferSender} from './OfferSender.js';
import {OpenAttempts} from './OpenAttempts.js';
import {OpenCalls} from './OpenCalls.js';
import {recordFailure} from './recordFailure.js';
import {
  addAnswerPart,
  createAttempt,
  createCall,
  getPlacementRequest,
  hasLearnedRateLimit,
  markLost,
} from './RelayCall.js';
import {
  BLOCK_MILLISECONDS,
  CANCEL_CONFIRMATION_MILLISECONDS,
  DISPATCH_RETRY_MILLISECONDS,
  FIRST_FAILURE_STATUS,
  LOST_IDEMPOTENT_TIMEOUT_MILLISECONDS,
  MAXIMUM_ROOT_REDIRECTS,
} from './RelayConstants.js';
import {RetryPermits} from './RetryPermits.js';
import {SilenceDetector} from './SilenceDetector.js';

/** Dispatches requests to instances, retries them where allowed and answers them. */
export class RelayCaller {
  readonly #attempts: OpenAttempts;
  readonly #calls: OpenCalls;
  readonly #options: RelayCallerOptions;
  readonly #permits: RetryPermits;
  readonly #placement: InstancePlacement;
  readonly #sender: OfferSender;
  readonly #silenceDetector: SilenceDetector;

  constructor(options: RelayCallerOptions) {
    const {clock, randomNumber, settings} = options.host;
    this.#attempts = new OpenAttempts(options.host);
    this.#calls = new OpenCalls(options);
    this.#options = options;
    this.#permits = new RetryPermits(
      options.retryBudget,
      options.getDaemonCount,
      clock(),
    );
    this.#placement = new InstancePlacement(
      settings.daemon.availabilityZone,
      randomNumber,
    );
    this.#sender = new OfferSender(options);
    this.#silenceDetector = new SilenceDetector(this.#placement);
  }

  /** Number of requests that are not answered yet. */
  getOpenCalls(): number {
    return this.#calls.getCount();
  }

  /** Whether a request that the local backend server runs made this call. */
  isCallOfRunningRequest({parentRequestIdentifier}: RequestFacts): boolean {
    const {runningRequests} = this.#options;
    return runningRequests.find(parentRequestIdentifier) !== undefined;
  }

  /** Opens a call for a request and dispatches or refuses it. */
  begin(received: ReceivedRequest): void {
    const {host, onCall, runningRequests} = this.#options;
    const now = host.clock();
    const parent = runningRequests.find(received.facts.parentRequestIdentifier);
    const rootRank =
      parent === undefined ? this.#calls.drawShedRank(received, now) : 0;
    const call = createCall(received, parent, now, rootRank);
    this.#calls.open(call);
    onCall();
    received.exchange.onDisconnected = () => {
      this.#abandon(call);
    };
    this.#permits.recordRequest(call, now);
    const refusal = this.#findRefusal(call, now);
    if (refusal === undefined) {
      this.#dispatch(call, now);
    } else {
      this.#calls.refuse(call, refusal, now);
    }
  }

  /** Handles an answer or a part of one. */
  handleAnswer(packet: AnswerPacket, source: DaemonName): void {
    const attempt = this.#attempts.find(packet, source);
    if (attempt === undefined) {
      return;
    }
    const answer = addAnswerPart(attempt, packet);
    if (answer !== undefined) {
      this.#handleCompleteAnswer(attempt, answer, this.#options.host.clock());
    }
  }

  /** Handles a refusal, or the end of a run without an answer. */
  handleFailure(packet: FailurePacket, source: DaemonName): void {
    const attempt = this.#attempts.find(packet, source);
    if (attempt === undefined) {
      return;
    }
    const now = this.#options.host.clock();
    const {call, candidate, isReceiverReplaced} = attempt;
    // A process states nothing about what the process before it has run.
    const mayHaveRun = packet.mayHaveRun || isReceiverReplaced;
    call.mayHaveRun ||= mayHaveRun;
    this.#silenceDetector.recordReceived(candidate.daemon, now);
    this.#closeAttempt(attempt, packet, now);
    recordFailure(this.#placement, candidate, packet.reason, now);
    if (call.expiredAt !== undefined) {
      this.#calls.endExpired(call, mayHaveRun, now);
    } else if (packet.reason === 'quarantined') {
      this.#calls.refuse(call, 'quarantined', now);
    } else if (packet.reason === 'overBudget') {
      this.#permits.recordDenial(call, now);
      this.#calls.refuse(call, 'instanceRefused', now);
    } else if (mayHaveRun) {
      this.#retryRun(call, now);
    } else if (packet.reason === 'refused') {
      // The instance received the request, so another attempt counts as a retry.
      this.#retryRefused(call, now);
    } else {
      if (!hasLearnedRateLimit(attempt, this.#placement)) {
        call.excluded.add(candidate.instance);
      }
      this.#redirect(call, now);
    }
  }

  /** Sends the offers of the daemon's attempts again after its session was lost. */
  handleSessionLost(daemon: DaemonName): void {
    const now = this.#options.host.clock();
    for (const attempt of this.#attempts) {
      if (attempt.candidate.daemon === daemon && attempt.lostAt === undefined) {
        markLost(attempt, now);
        this.#resend(attempt);
      }
    }
  }

  /** Sends what waits for a session with the daemon. */
  handleSessionOpened(daemon: DaemonName): void {
    const now = this.#options.host.clock();
    this.#sender.sendUnsentCancels(now);
    for (const attempt of this.#attempts) {
      if (attempt.candidate.daemon === daemon && attempt.lostAt !== undefined) {
        this.#resend(attempt);
      }
    }
    for (const call of this.#calls) {
      if (call.dispatchAt !== undefined && call.awaitedDaemon === daemon) {
        this.#dispatch(call, now);
      }
    }
  }

  tick(): void {
    const now = this.#options.host.clock();
    for (const call of this.#calls) {
      if (now >= call.deadline) {
        this.#expire(call, now);
      } else if (call.dispatchAt !== undefined && now >= call.dispatchAt) {
        this.#dispatch(call, now);
      } else {
        this.#checkAttempt(call, now);
      }
    }
    this.#sender.sendUnsentCancels(now);
    this.#placement.removeUnused(now);
  }

  #findRefusal(call: RelayCall, now: Milliseconds): ResultName | undefined {
    const refusal = findRequestRefusal(call, this.#options, now);
    if (refusal !== undefined) {
      return refusal;
    }
    if (this.#calls.isAdmitted(call, now)) {
      return undefined;
    }
    this.#options.host.metrics.increment('relay.shedAtRoot');
    return 'shedBeforeSending';
  }

  /** Chooses an instance and sends the request, or postpones the dispatch. */
  #dispatch(call: RelayCall, now: Milliseconds): void {
    call.dispatchAt = undefined;
    const listed = this.#options.listCandidates(call.service);
    const {daemon} = this.#options.host.settings;
    const all = listReceivers(listed, call, daemon.name);
    if (all.length === 0 && listed.length > 0) {
      this.#calls.refuse(call, 'bodyTooLarge', now);
      return;
    }
    const eligible = this.#placement.listEligible(all, call.excluded);
    const request = getPlacementRequest(call);
    for (let candidates = eligible; candidates.length > 0;) {
      const candidate = this.#placement.choose(candidates, request, now);
      if (candidate === undefined) {
        break;
      }
      if (this.#send(call, candidate, eligible, now)) {
        return;
      }
      call.awaitedDaemon = candidate.daemon;
      candidates = candidates.filter((other) => other !== candidate);
    }
    if (eligible.length > 0 || call.parent !== undefined) {
      this.#postponeDispatch(call, now);
    } else {
      this.#calls.refuse(
        call,
        all.length > 0 ? 'shedByAdmission' : 'noInstance',
        now,
      );
    }
  }

  #postponeDispatch(call: RelayCall, now: Milliseconds): void {
    call.excluded.clear();
    call.dispatchAt = now + DISPATCH_RETRY_MILLISECONDS;
  }

  #send(
    call: RelayCall,
    candidate: PlacementCandidate,
    eligible: readonly PlacementCandidate[],
    now: Milliseconds,
  ): boolean {
    const attempt = createAttempt(
      {call, candidate, number: this.#attempts.createNumber(), sentAt: now},
      this.#placement,
      eligible,
    );
    if (!this.#sender.send(attempt, false, now)) {
      return false;
    }
    call.attempt = attempt;
    call.attemptCount += 1;
    call.lastInstance = candidate.instance;
    this.#attempts.add(attempt);
    this.#placement.recordSent(candidate.instance, now);
    return true;
  }

  #resend(attempt: OpenAttempt): void {
    if (this.#sender.send(attempt, true, this.#options.host.clock())) {
      attempt.lostAt = undefined;
    }
  }

  #handleCompleteAnswer(
    attempt: OpenAttempt,
    packet: AnswerPacket,
    now: Milliseconds,
  ): void {
    const {call, candidate} = attempt;
    this.#silenceDetector.recordReceived(candidate.daemon, now);
    const {failedCalls, runMilliseconds, status} = packet;
    const isFailed =
      status >= FIRST_FAILURE_STATUS || !this.#calls.isUsableStatus(status);
    this.#closeAttempt(attempt, packet, now);
    // A run that failed because of a call is not evidence against its instance.
    if (failedCalls === 0) {
      this.#placement.recordRun(
        candidate.instance,
        call.route.name,
        runMilliseconds,
        isFailed,
        now,
      );
    }
    const isRetryable = isFailed && failedCalls === 0;
    if (isRetryable && this.#permits.spendOnRun(call, now)) {
      call.mayHaveRun = true;
      this.#retry(call, now);
      return;
    }
    this.#calls.answer(call, packet, now);
  }

  #closeAttempt(
    attempt: OpenAttempt,
    packet: AnswerPacket | FailurePacket | undefined,
    now: Milliseconds,
  ): void {
    const {call, candidate, isLimitAvoidable} = attempt;
    this.#attempts.delete(attempt);
    call.attempt = undefined;
    this.#calls.recordCosts(attempt, packet, now);
    this.#placement.recordEnded(candidate, packet?.load, now);
    call.threshold = isLimitAvoidable
      ? undefined
      : this.#placement.getThreshold(candidate.instance, now);
  }

  /** Dispatches again after a daemon's refusal, which put no load on its instance. */
  #redirect(call: RelayCall, now: Milliseconds): void {
    call.redirects += 1;
    if (call.parent === undefined && call.redirects > MAXIMUM_ROOT_REDIRECTS) {
      this.#calls.refuse(call, 'shedByAdmission', now);
      return;
    }
    this.#dispatch(call, now);
  }

  #retryRefused(call: RelayCall, now: Milliseconds): void {
    if (this.#permits.spendOnRefusal(call, now)) {
      this.#retry(call, now);
    } else {
      this.#calls.refuse(call, 'instanceRefused', now);
    }
  }

  #retryRun(call: RelayCall, now: Milliseconds): void {
    call.mayHaveRun = true;
    if (this.#permits.spendOnRun(call, now)) {
      this.#retry(call, now);
    } else {
      this.#calls.failAsUnknown(call, 'outcomeUnknown', now);
    }
  }

  #retry(call: RelayCall, now: Milliseconds): void {
    call.isRepeat = true;
    call.isRetry = true;
    this.#options.host.metrics.increment('relay.repeated');
    this.#dispatch(call, now);
  }

  #checkAttempt({attempt, route}: RelayCall, now: Milliseconds): void {
    if (attempt === undefined) {
      return;
    }
    if (attempt.lostAt === undefined) {
      this.#silenceDetector.check(attempt, now);
      return;
    }
    const age = now - attempt.lostAt;
    if (!route.isIdempotent || age < LOST_IDEMPOTENT_TIMEOUT_MILLISECONDS) {
      this.#resend(attempt);
      return;
    }
    this.#placement.block(attempt.candidate.instance, now + BLOCK_MILLISECONDS);
    this.#closeAttempt(attempt, undefined, now);
    attempt.call.excluded.add(attempt.candidate.instance);
    this.#retryRun(attempt.call, now);
  }

  /** Cancels the offer first; its confirmation tells whether the request ran. */
  #expire(call: RelayCall, now: Milliseconds): void {
    const {attempt} = call;
    if (attempt === undefined) {
      this.#calls.refuse(call, 'deadlineExceededBeforeDispatch', now);
    } else if (call.expiredAt === undefined) {
      call.expiredAt = now;
      this.#sender.cancel(attempt);
    } else if (now - call.expiredAt >= CANCEL_CONFIRMATION_MILLISECONDS) {
      this.#closeAttempt(attempt, undefined, now);
      this.#calls.failAsUnknown(call, 'deadlineExceededWhileRunning', now);
    }
  }

  /** Ends a call whose caller disconnected. */
  #abandon(call: RelayCall): void {
    if (!this.#calls.isOpen(call)) {
      return;
    }
    const {clock, metrics} = this.#options.host;
    const now = clock();
    metrics.timing('relay.abandonedAfter', now - call.startedAt);
    if (call.attempt !== undefined) {
      this.#sender.cancel(call.attempt);
      this.#closeAttempt(call.attempt, undefined, now);
    }
    this.#calls.abandon(call);
  }
}
