/** Server side of the relay: runs offered requests on the local backend server. */

import type {BackendOutcome} from './BackendTypes.js';
import type {RelayServerOptions} from './RelayServerOptions.js';
import type {ServedOffer} from './ServedOffer.js';
import type {
  CancelPacket,
  FailureReason,
  InstanceCondition,
  InstanceLoad,
  OfferPacket,
  RelayPacket,
  ServiceCost,
} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {InstanceAdmission} from 'jackdawcove-relay';

import {AnswerOutbox} from './AnswerOutbox.js';
import {ArrivalOrder} from './ArrivalOrder.js';
import {createAnswerPackets} from './createAnswerPackets.js';
import {createFailurePacket} from './createFailurePacket.js';
import {createRequestHead} from './createRequestHead.js';
import {isForThisProcess} from './isForThisProcess.js';
import {listRunCosts} from './listRunCosts.js';
import {LocalInstance} from './LocalInstance.js';
import {OfferBudget} from './OfferBudget.js';
import {OfferFailureLog} from './OfferFailureLog.js';
import {
  DEADLINE_GRACE_MILLISECONDS,
  SESSION_LOSS_GRACE_MILLISECONDS,
} from './RelayConstants.js';
import {RunningRequest} from './RunningRequests.js';
import {
  createOfferKey,
  createServedOffer,
  ServedOffers,
} from './ServedOffer.js';

/** Queues, runs and answers offers; each attempt runs at most once. */
export class RelayServer {
  readonly #admission: InstanceAdmission<ServedOffer>;
  readonly #failureLog: OfferFailureLog;
  readonly #answers: AnswerOutbox;
  readonly #instance: LocalInstance;
  #isDraining = false;
  readonly #offers = new ServedOffers();
  readonly #options: RelayServerOptions;
  readonly #order: ArrivalOrder<ServedOffer>;
  readonly #retryBudget: OfferBudget;

  constructor(options: RelayServerOptions) {
    this.#answers = new AnswerOutbox(options.transport);
    this.#failureLog = new OfferFailureLog(options.host);
    this.#instance = new LocalInstance(options);
    this.#options = options;
    this.#order = new ArrivalOrder({
      clock: options.host.clock,
      onArrival: (served) => {
        this.#admit(served);
      },
      onHandled: () => {
        options.transport.flush();
      },
    });
    this.#retryBudget = new OfferBudget(options, () =>
      this.#instance.getService(),
    );
    this.#admission = new InstanceAdmission(options.host.clock());
  }

  /** Number of offers that have not ended. */
  getOpenOffers(): number {
    return this.#offers.getOpenCount();
  }

  getLoad(): InstanceLoad {
    return this.#admission.getLoad(this.#options.host.clock());
  }

  /** Runs, queues or refuses an offer; a resent one does not run twice. */
  handleOffer(offer: OfferPacket, source: DaemonName): void {
    const key = createOfferKey(source, offer);
    const known = this.#offers.find(key);
    if (known !== undefined) {
      known.sessionLostAt = undefined;
      return;
    }
    if (this.#offers.hasEnded(key)) {
      this.#resendAnswer(key, offer, source);
      return;
    }
    this.#options.onOffer();
    const now = this.#options.host.clock();
    const served = createServedOffer(offer, source, now);
    this.#offers.add(served);
    if (!isForThisProcess(offer, this.#options)) {
      // The previous process of this daemon may have run a resent offer. Nothing that
      // comes behind the offer, such as its cancellation, may end it otherwise.
      this.#fail(served, 'wrongProcess', offer.isResent);
    } else if (source === this.#options.host.settings.daemon.name) {
      this.#admit(served);
    } else {
      this.#order.add(served);
    }
  }

  /** Does nothing if the offer was cancelled behind it. */
  #admit(served: ServedOffer): void {
    if (served.state !== 'queued') {
      return;
    }
    const {offer} = served;
    const now = this.#options.host.clock();
    const refusal = this.#findRefusal(offer, now);
    if (refusal !== undefined) {
      this.#fail(served, refusal, false);
      return;
    }
    if (!this.#retryBudget.admits(offer, now)) {
      this.#fail(served, 'overBudget', false);
      return;
    }
    if (offer.requestsPerSecond !== undefined) {
      this.#admission.assumeRequestRate(offer.requestsPerSecond, now);
    }
    const decision = this.#admission.offer(served, now);
    if (decision === 'run') {
      this.#run(served, now);
    } else if (decision === 'full') {
      this.#fail(served, 'full', false);
    }
  }

  /** Cancels a queued offer or an idempotent run. */
  handleCancel(packet: CancelPacket, source: DaemonName): void {
    const served = this.#offers.find(createOfferKey(source, packet));
    if (served !== undefined) {
      const {clock, metrics} = this.#options.host;
      metrics.timing('relay.cancelledAfter', clock() - served.arrivedAt);
      this.#cancel(served);
    }
  }

  /** Keeps the offers of a daemon for a while; it may send them again. */
  handleSessionLost(source: DaemonName): void {
    this.#answers.handleSessionLost(source);
    const now = this.#options.host.clock();
    for (const served of this.#offers) {
      if (served.source === source) {
        served.sessionLostAt ??= now;
      }
    }
  }

  /** Applies the newest announcement of the local backend server. */
  refreshBackendServer(): void {
    const previousPool = this.#instance.getPool();
    const change = this.#instance.refresh();
    if (this.#instance.getPool() !== previousPool) {
      this.#admission.resetCondition(this.#options.host.clock());
    }
    this.#admission.setSlots(this.#instance.getSlots());
    if (change !== 'none') {
      this.#refuseQueued('draining');
    }
  }

  /** Refuses queued and new offers; running ones may finish. */
  drain(): void {
    this.#isDraining = true;
    this.#refuseQueued('draining');
  }

  tick(): void {
    const now = this.#options.host.clock();
    this.#order.recordTick();
    this.refreshBackendServer();
    this.#admission.tick(now);
    for (const served of this.#admission.takeExpired(now)) {
      this.#fail(served, 'full', false);
    }
    for (const served of this.#offers) {
      this.#checkOffer(served, now);
    }
    // A rate limit lets queued requests start without the end of another one.
    this.#runQueued(now);
    this.#answers.tick(now);
    this.#options.runningRequests.expireCancelled(now);
    this.#offers.expireEnded(now);
  }

  close(): void {
    this.#instance.close();
  }

  #checkOffer(served: ServedOffer, now: Milliseconds): void {
    const {deadline, sessionLostAt} = served;
    if (
      sessionLostAt !== undefined &&
      now - sessionLostAt > SESSION_LOSS_GRACE_MILLISECONDS
    ) {
      this.#cancel(served);
    } else if (now > deadline + DEADLINE_GRACE_MILLISECONDS) {
      this.#admission.remove(served);
      served.abort?.();
      this.#fail(served, 'expired', served.state === 'running');
    }
  }

  #findRefusal(
    offer: OfferPacket,
    now: Milliseconds,
  ): FailureReason | undefined {
    return this.#isDraining
      ? 'draining'
      : this.#instance.findRefusal(offer, now);
  }

  #resendAnswer(key: string, offer: OfferPacket, source: DaemonName): void {
    const {callerIncarnation: incarnation} = offer;
    if (!this.#answers.resend(key, {daemon: source, incarnation})) {
      const end = {mayHaveRun: true, reason: 'cancelled'} as const;
      const failure = createFailurePacket(offer, end, this.getLoad());
      this.#options.transport.send(source, failure, incarnation);
    }
  }

  #run(served: ServedOffer, now: Milliseconds): void {
    const {dialect, runningRequests} = this.#options;
    const {deadline, offer, shedRank} = served;
    const pool = this.#instance.getPool();
    if (pool === undefined) {
      this.#admission.release(now);
      this.#fail(served, 'unavailable', false);
      return;
    }
    const remaining = Math.floor(deadline - now);
    if (remaining <= 0) {
      this.#admission.release(now);
      this.#fail(served, 'expired', false);
      return;
    }
    const run = new RunningRequest(deadline, offer.isRepeat, shedRank);
    served.run = run;
    served.runStartedAt = now;
    served.state = 'running';
    runningRequests.add(offer.requestIdentifier, run);
    served.abort = pool.send(
      {
        body: offer.body,
        head: createRequestHead(offer, dialect, remaining),
        method: offer.method,
        requestIdentifier: offer.requestIdentifier,
      },
      offer.isIdempotent,
      (outcome) => {
        // An earlier process of the instance states nothing about the present one.
        if (pool === this.#instance.getPool() && 'condition' in outcome) {
          this.#applyCondition(outcome.condition);
        }
        this.#handleOutcome(served, outcome);
      },
    );
    this.#options.host.metrics.increment('relay.sentToInstance');
  }

  #applyCondition(condition: InstanceCondition): void {
    const hasBegunToLeave = this.#instance.recordCondition(condition);
    this.#admission.setCondition(condition, this.#options.host.clock());
    if (hasBegunToLeave) {
      this.#refuseQueued('draining');
    }
  }

  #handleOutcome(served: ServedOffer, outcome: BackendOutcome): void {
    if (served.state !== 'running') {
      return;
    }
    const now = this.#options.host.clock();
    switch (outcome.kind) {
      case 'answer':
        this.#instance.recordAnswer(served.offer, outcome, now);
        this.#answer(served, outcome, now);
        break;
      case 'broken':
        this.#instance.recordBrokenRun(served.offer);
        this.#fail(served, 'broken', true);
        break;
      case 'notRun':
        this.#fail(served, 'refused', false);
        break;
      case 'unidentified':
        this.#fail(served, 'broken', true);
        break;
      case 'unsent':
        this.#instance.markUnavailable(now);
        this.#fail(served, 'unavailable', false);
        break;
    }
  }

  #answer(
    served: ServedOffer,
    answer: Extract<BackendOutcome, {kind: 'answer'}>,
    now: Milliseconds,
  ): void {
    const {offer, run, runStartedAt} = served;
    const runTime = now - runStartedAt;
    this.#end(served, now);
    const packets = createAnswerPackets({
      ...answer,
      costs: this.#listCosts(served, now),
      load: this.#admission.getLoad(now),
      offer,
      run,
      runMilliseconds: runTime,
    });
    this.#reply(served, packets, now);
    this.#runQueued(now);
  }

  #fail(served: ServedOffer, reason: FailureReason, mayHaveRun: boolean): void {
    const now = this.#options.host.clock();
    const wasRunning = served.state === 'running';
    this.#end(served, now);
    const end = {mayHaveRun, reason};
    const failure = createFailurePacket(served.offer, end, this.getLoad());
    const packet = {...failure, costs: this.#listCosts(served, now)};
    this.#failureLog.write(served, packet, now);
    this.#reply(served, [packet], now);
    if (wasRunning) {
      this.#runQueued(now);
    }
  }

  #listCosts(
    served: ServedOffer,
    now: Milliseconds,
  ): readonly ServiceCost[] | undefined {
    const threshold = this.#admission.getThreshold();
    return listRunCosts(served, this.#instance.getService(), threshold, now);
  }

  /** Marks an offer as ended and releases its slot. */
  #end(served: ServedOffer, now: Milliseconds): void {
    if (served.state === 'ended') {
      return;
    }
    if (served.state === 'running') {
      this.#admission.release(now, now - served.runStartedAt);
      if (served.run !== undefined) {
        this.#options.runningRequests.delete(
          served.offer.requestIdentifier,
          served.run,
        );
      }
    }
    this.#offers.end(served, now);
  }

  #cancel(served: ServedOffer): void {
    if (served.state === 'queued') {
      this.#admission.remove(served);
      this.#fail(served, 'cancelled', false);
    } else if (served.state === 'running' && served.offer.isIdempotent) {
      const {host, runningRequests} = this.#options;
      runningRequests.cancel(served.offer.requestIdentifier, host.clock());
      served.abort?.();
      this.#fail(served, 'cancelled', true);
    }
    // A non-idempotent run continues, so that its work is not lost.
  }

  #reply(
    served: ServedOffer,
    packets: readonly RelayPacket[],
    now: Milliseconds,
  ): void {
    const {key, offer, source} = served;
    const receiver = {daemon: source, incarnation: offer.callerIncarnation};
    this.#answers.send(key, receiver, packets, now);
  }

  #runQueued(now: Milliseconds): void {
    for (;;) {
      const next = this.#admission.takeNext(now);
      if (next === undefined) {
        return;
      }
      this.#run(next, now);
    }
  }

  #refuseQueued(reason: FailureReason): void {
    for (const served of this.#admission.takeAll()) {
      this.#fail(served, reason, false);
    }
  }
}
