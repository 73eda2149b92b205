/** Runs the routed requests of callers and of the local backend server. */

import type {OpenAttempt, ReceivedRequest, RelayCall} from './RelayCall.js';
import type {RelayCallerOptions} from './RelayCallerOptions.js';
import type {RequestFacts} from './RelayTypes.js';
import type {
  AnswerPacket,
  FailurePacket,
  PlacementCandidate,
} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds, ResultName} from 'jackdawcove-shared';

import {InstancePlacement, SharedRetryBudget} from 'jackdawcove-relay';

import {createOffer} from './createOffer.js';
import {fingerprintRequest} from './fingerprintRequest.js';
import {learnFromFailure} from './learnFromFailure.js';
import {OpenCalls} from './OpenCalls.js';
import {
  createCall,
  getPlacementRequest,
  hasAttemptsLeft,
  joinParts,
  markLost,
  mayRunAgain,
} from './RelayCall.js';
import {
  BLOCK_MILLISECONDS,
  CALL_RETRY_MILLISECONDS,
  FIRST_FAILURE_STATUS,
  LOST_IDEMPOTENT_MILLISECONDS,
  MAXIMUM_ROOT_REDIRECTS,
  WITHDRAWAL_MILLISECONDS,
} from './RelayConstants.js';
import {SilenceWatch} from './SilenceWatch.js';

/** Places requests, sends them again where that is allowed, and answers them. */
export class RelayCaller {
  readonly #attempts = new Map<number, OpenAttempt>();
  readonly #budget: SharedRetryBudget;
  readonly #calls: OpenCalls;
  readonly #options: RelayCallerOptions;
  readonly #placement: InstancePlacement;
  #sequence = 0;
  readonly #silence: SilenceWatch;

  constructor(options: RelayCallerOptions) {
    const {clock, randomNumber, settings} = options.host;
    this.#budget = new SharedRetryBudget(
      options.retryBudget,
      options.getDaemonCount,
      clock(),
    );
    this.#calls = new OpenCalls(options.host, options.guard);
    this.#options = options;
    this.#placement = new InstancePlacement(
      settings.daemon.availabilityZone,
      randomNumber,
    );
    this.#silence = new SilenceWatch(this.#placement);
  }

  /** Requests that are not answered yet. */
  getOpenCalls(): number {
    return this.#calls.getCount();
  }

  /** Whether a request that the local backend server runs made this one. */
  isCallOfRun({parentRequestIdentifier}: RequestFacts): boolean {
    const {runningRequests} = this.#options;
    return runningRequests.find(parentRequestIdentifier) !== undefined;
  }

  /** Begins a request. */
  begin(received: ReceivedRequest): void {
    const {host, onCall, runningRequests} = this.#options;
    const now = host.clock();
    const parent = runningRequests.find(received.facts.parentRequestIdentifier);
    const call = createCall(received, parent, now, host.randomNumber());
    this.#calls.open(call);
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
      this.#calls.refuse(call, refusal, now);
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
      const body = joinParts(attempt.parts, packet.body);
      const answer = {...attempt.head, body};
      this.#takeAnswer(attempt, answer, this.#options.host.clock());
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
    this.#silence.recordHeard(candidate.daemon, now);
    this.#close(attempt, packet, now);
    learnFromFailure(this.#placement, candidate, packet.reason, now);
    if (call.expiredAt !== undefined) {
      this.#calls.endExpired(call, packet.mayHaveRun, now);
    } else if (packet.reason === 'quarantined') {
      this.#calls.refuse(call, 'quarantined', now);
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
        markLost(attempt, now);
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
        this.#checkAttempt(call, now);
      }
    }
    this.#placement.removeUnused(now);
  }

  #findRefusal(call: RelayCall, now: Milliseconds): ResultName | undefined {
    const {host, quarantine} = this.#options;
    const {facts} = call;
    if (quarantine.crashQuarantine.hasRecords()) {
      const fingerprint = fingerprintRequest({body: call.body, ...facts});
      if (
        quarantine.crashQuarantine.getSuspicion(fingerprint, now) ===
        'quarantined'
      ) {
        return 'quarantined';
      }
    }
    if (this.#calls.isAdmitted(call, now)) {
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
    const request = getPlacementRequest(call);
    for (let candidates = left; candidates.length > 0;) {
      const candidate = this.#placement.choose(candidates, request, now);
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
      this.#calls.refuse(
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
    const {incarnation} = this.#options.host;
    const offer = createOffer(attempt, incarnation, false, now);
    if (!this.#options.transport.send(candidate.daemon, offer)) {
      return false;
    }
    call.attempt = attempt;
    call.attemptCount += 1;
    call.lastInstance = candidate.instance;
    this.#attempts.set(attempt.number, attempt);
    this.#placement.recordSent(candidate.instance, now);
    return true;
  }

  #resend(attempt: OpenAttempt): void {
    const {clock, incarnation} = this.#options.host;
    const offer = createOffer(attempt, incarnation, true, clock());
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
    this.#silence.recordHeard(candidate.daemon, now);
    const {failedCalls, runMilliseconds, status} = packet;
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
    this.#calls.answer(call, packet, now);
  }

  #close(
    attempt: OpenAttempt,
    packet: AnswerPacket | FailurePacket | undefined,
    now: Milliseconds,
  ): void {
    const {call, candidate} = attempt;
    this.#attempts.delete(attempt.number);
    call.attempt = undefined;
    this.#placement.recordEnded(candidate.instance, packet?.load, now);
    call.threshold = this.#placement.getThreshold(candidate.instance, now);
  }

  /** Asks another daemon: the last one refused at no cost to its instance. */
  #redirect(call: RelayCall, now: Milliseconds): void {
    call.redirects += 1;
    if (call.parent === undefined && call.redirects > MAXIMUM_ROOT_REDIRECTS) {
      this.#calls.refuse(call, 'shedByAdmission', now);
      return;
    }
    this.#place(call, now);
  }

  #repeatRefused(call: RelayCall, now: Milliseconds): void {
    if (hasAttemptsLeft(call) && this.#budget.spend(call.service, 1, now)) {
      this.#repeat(call, now);
    } else {
      this.#calls.refuse(call, 'instanceRefused', now);
    }
  }

  #repeatRun(call: RelayCall, now: Milliseconds): void {
    if (this.#mayRunAgain(call, now)) {
      this.#repeat(call, now);
    } else {
      this.#calls.failUnknown(call, 'outcomeUnknown', now);
    }
  }

  #mayRunAgain(call: RelayCall, now: Milliseconds): boolean {
    return mayRunAgain(call, now) && this.#budget.spend(call.service, 1, now);
  }

  #repeat(call: RelayCall, now: Milliseconds): void {
    call.isRepeat = true;
    this.#options.host.metrics.increment('relay.repeated');
    this.#place(call, now);
  }

  #checkAttempt({attempt, route}: RelayCall, now: Milliseconds): void {
    if (attempt === undefined) {
      return;
    }
    if (attempt.lostAt === undefined) {
      this.#silence.check(attempt, now);
      return;
    }
    const age = now - attempt.lostAt;
    if (!route.isIdempotent || age < LOST_IDEMPOTENT_MILLISECONDS) {
      this.#resend(attempt);
      return;
    }
    this.#placement.block(attempt.candidate.instance, now + BLOCK_MILLISECONDS);
    this.#close(attempt, undefined, now);
    attempt.call.excluded.add(attempt.candidate.instance);
    this.#repeatRun(attempt.call, now);
  }

  /** Withdraws the offer first: one that waits still has not run. */
  #expire(call: RelayCall, now: Milliseconds): void {
    const {attempt} = call;
    if (attempt === undefined) {
      this.#calls.refuse(call, 'deadlineExceededBeforeDispatch', now);
    } else if (call.expiredAt === undefined) {
      call.expiredAt = now;
      this.#sendCancel(attempt);
    } else if (now - call.expiredAt >= WITHDRAWAL_MILLISECONDS) {
      this.#close(attempt, undefined, now);
      this.#calls.failUnknown(call, 'deadlineExceededWhileRunning', now);
    }
  }

  /** The caller left. */
  #abandon(call: RelayCall): void {
    if (!this.#calls.isOpen(call)) {
      return;
    }
    if (call.attempt !== undefined) {
      this.#sendCancel(call.attempt);
      this.#close(call.attempt, undefined, this.#options.host.clock());
    }
    this.#calls.abandon(call);
  }

  #sendCancel({candidate, number}: OpenAttempt): void {
    this.#options.transport.send(candidate.daemon, {
      attempt: number,
      callerIncarnation: this.#options.host.incarnation,
      kind: 'cancel',
    });
  }
}
