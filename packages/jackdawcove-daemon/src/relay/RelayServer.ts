/** Serves the offers of daemons with the local backend server. */

import type {DaemonHost} from '../DaemonHost.js';
import type {
  LocalBackendServer,
  MembershipService,
} from '../membership/MembershipService.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {BackendOutcome} from './BackendConnection.js';
import type {AbortRequest} from './BackendPool.js';
import type {RelayTransport} from './RelayTransport.js';
import type {RelayDialect} from './RelayTypes.js';
import type {RunningRequests} from './RunningRequests.js';
import type {
  AnswerPacket,
  CancelPacket,
  FailureReason,
  InstanceLoad,
  OfferPacket,
  RelayPacket,
  WaitingRequest,
} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {InstanceAdmission} from 'jackdawcove-relay';
import {formatAddress} from 'jackdawcove-shared';

import {BackendPool} from './BackendPool.js';
import {fingerprintRequest} from './fingerprintRequest.js';
import {HeldAnswers} from './HeldAnswers.js';
import {
  ANSWER_PART_BYTES,
  ATTEMPT_RETENTION_MILLISECONDS,
  DETACHED_MILLISECONDS,
  OVERDUE_MILLISECONDS,
  UNAVAILABLE_MILLISECONDS,
} from './RelayConstants.js';
import {RunningRequest} from './RunningRequests.js';

/** What the relay's server side is wired to. */
export type RelayServerOptions = {
  readonly dialect: RelayDialect;
  readonly host: DaemonHost;
  readonly membership: MembershipService;
  readonly onOffer: () => void;
  readonly quarantine: QuarantineRegistration;
  readonly runningRequests: RunningRequests;
  readonly transport: RelayTransport;
};

type OfferState = 'ended' | 'queued' | 'running';

type ServedOffer = WaitingRequest & {
  abort: AbortRequest | undefined;
  readonly deadline: Milliseconds;
  /** Set while the session with the caller's daemon is lost. */
  detachedAt: Milliseconds | undefined;
  endedAt: Milliseconds;
  readonly key: string;
  readonly offer: OfferPacket;
  run: RunningRequest | undefined;
  runBeganAt: Milliseconds;
  readonly source: DaemonName;
  state: OfferState;
};

function createKey(
  source: DaemonName,
  {attempt, callerIncarnation}: CancelPacket | OfferPacket,
): string {
  return `${source}/${String(callerIncarnation)}/${String(attempt)}`;
}

/** Queues, runs and answers offers; each attempt runs once at most. */
export class RelayServer {
  readonly #admission: InstanceAdmission<ServedOffer>;
  #backend: LocalBackendServer | undefined;
  /** Fingerprints of runs that broke off lately, until a crash is confirmed. */
  #broken: string[] = [];
  /** Attempts that have ended, oldest first. */
  readonly #ended = new Map<string, ServedOffer>();
  readonly #held = new HeldAnswers();
  #isDraining = false;
  #isProbing = false;
  readonly #offers = new Map<string, ServedOffer>();
  readonly #options: RelayServerOptions;
  #pool: BackendPool | undefined;
  #unavailableUntil: Milliseconds = 0;

  constructor(options: RelayServerOptions) {
    this.#options = options;
    this.#admission = new InstanceAdmission(options.host.clock());
  }

  /** Offers that have not ended. */
  getOpenOffers(): number {
    return this.#offers.size;
  }

  getLoad(): InstanceLoad {
    return this.#admission.getLoad();
  }

  /** Takes an offer: runs it, lets it wait or refuses it. */
  offer(offer: OfferPacket, source: DaemonName): void {
    const key = createKey(source, offer);
    const known = this.#offers.get(key) ?? this.#ended.get(key);
    if (known !== undefined) {
      this.#reattach(known);
      return;
    }
    this.#options.onOffer();
    const now = this.#options.host.clock();
    const served: ServedOffer = {
      abort: undefined,
      arrivedAt: now,
      deadline: now + offer.remainingMilliseconds,
      detachedAt: undefined,
      endedAt: now,
      expiresAt: now + offer.patienceMilliseconds,
      key,
      offer,
      run: undefined,
      runBeganAt: now,
      shedRank: offer.shedRank,
      source,
      state: 'queued',
    };
    this.#offers.set(key, served);
    const refusal = this.#findRefusal(offer, now);
    if (refusal !== undefined) {
      // A process that ended may have run what it was offered before.
      this.#fail(served, refusal, refusal === 'wrongProcess' && offer.isResent);
      return;
    }
    const verdict = this.#admission.offer(served, now);
    if (verdict === 'run') {
      this.#run(served, now);
    } else if (verdict === 'full') {
      this.#fail(served, 'full', false);
    }
  }

  /** Drops a waiting offer; breaks an idempotent run off. */
  cancel(packet: CancelPacket, source: DaemonName): void {
    const served = this.#offers.get(createKey(source, packet));
    if (served !== undefined) {
      this.#cancel(served);
    }
  }

  /** The session with a daemon was lost: its offers may be asked for again. */
  detach(source: DaemonName): void {
    const now = this.#options.host.clock();
    for (const served of this.#offers.values()) {
      if (served.source === source) {
        served.detachedAt ??= now;
      }
    }
  }

  /** Follows the announcements of the local backend server. */
  refreshBackendServer(): void {
    const backend = this.#options.membership.getLocalBackendServer();
    const previous = this.#backend;
    this.#backend = backend;
    if (backend === undefined) {
      if (previous !== undefined) {
        this.#options.host.recordEvent('backendServerWithdrawn', {
          instance: previous.instance,
        });
        this.#dropQueue('draining');
        // A withdrawn backend server still ends what it runs.
        this.#pool?.retire();
        this.#pool = undefined;
        this.#admission.setSlots(0);
      }
      return;
    }
    if (previous === undefined || !isSameProcess(backend, previous)) {
      this.#pool?.retire();
      this.#pool = new BackendPool(
        backend.address,
        this.#options.dialect,
        this.#options.host.clock,
      );
      this.#unavailableUntil = 0;
    } else if (backend.renewedAt > previous.renewedAt) {
      this.#unavailableUntil = 0;
    }
    this.#admission.setSlots(backend.slots);
    if (backend.state === 'draining' && previous?.state !== 'draining') {
      this.#dropQueue('draining');
    }
  }

  /** Refuses new offers; those that run may end. */
  drain(): void {
    this.#isDraining = true;
    this.#dropQueue('draining');
  }

  tick(): void {
    const now = this.#options.host.clock();
    this.refreshBackendServer();
    this.#admission.tick(now);
    for (const served of this.#admission.takeExpired(now)) {
      this.#fail(served, 'full', false);
    }
    for (const served of this.#offers.values()) {
      this.#check(served, now);
    }
    this.#held.expire(now);
    this.#forgetEnded(now);
  }

  close(): void {
    this.#pool?.close();
  }

  #check(served: ServedOffer, now: Milliseconds): void {
    const {deadline, detachedAt} = served;
    if (detachedAt !== undefined && now - detachedAt > DETACHED_MILLISECONDS) {
      this.#cancel(served);
    } else if (now > deadline + OVERDUE_MILLISECONDS) {
      this.#admission.remove(served);
      served.abort?.();
      this.#fail(served, 'expired', served.state === 'running');
    }
  }

  #forgetEnded(now: Milliseconds): void {
    for (const [key, {endedAt}] of this.#ended) {
      if (now - endedAt <= ATTEMPT_RETENTION_MILLISECONDS) {
        return;
      }
      this.#ended.delete(key);
    }
  }

  #findRefusal(
    offer: OfferPacket,
    now: Milliseconds,
  ): FailureReason | undefined {
    const {host, quarantine} = this.#options;
    const backend = this.#backend;
    if (offer.daemonIncarnation !== host.incarnation) {
      return 'wrongProcess';
    }
    if (backend?.instance !== offer.instance || this.#pool === undefined) {
      return 'unavailable';
    }
    if (backend.state === 'draining' || this.#isDraining) {
      return 'draining';
    }
    if (now < this.#unavailableUntil) {
      return 'unavailable';
    }
    const isQuarantined =
      quarantine.decision.hasRecords() &&
      quarantine.decision.getSuspicion(fingerprintRequest(offer), now) ===
        'quarantined';
    return isQuarantined ? 'quarantined' : undefined;
  }

  #reattach(served: ServedOffer): void {
    served.detachedAt = undefined;
    if (served.state !== 'ended') {
      return;
    }
    const packets = this.#held.get(served.key);
    if (packets === undefined) {
      this.#send(served, this.#createFailure(served, 'cancelled', true));
      return;
    }
    for (const packet of packets) {
      this.#send(served, packet);
    }
  }

  #run(served: ServedOffer, now: Milliseconds): void {
    const {dialect, runningRequests} = this.#options;
    const {deadline, offer, shedRank} = served;
    const pool = this.#pool;
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
    served.runBeganAt = now;
    served.state = 'running';
    runningRequests.add(offer.requestIdentifier, run);
    const head =
      `${offer.method} ${offer.path} HTTP/1.1\r\n${offer.forwardedLines}` +
      dialect.createInstanceLines(offer.instance, remaining) +
      createLengthLine(offer) +
      '\r\n';
    served.abort = pool.send(
      {
        body: offer.body,
        head,
        method: offer.method,
        requestIdentifier: offer.requestIdentifier,
      },
      offer.isIdempotent,
      (outcome) => {
        this.#takeOutcome(served, outcome);
      },
    );
  }

  #takeOutcome(served: ServedOffer, outcome: BackendOutcome): void {
    if (served.state !== 'running') {
      return;
    }
    const now = this.#options.host.clock();
    switch (outcome.kind) {
      case 'answer':
        this.#clearSuspicion(served, now);
        this.#answer(served, outcome, now);
        break;
      case 'broken':
        this.#broken.push(fingerprintRequest(served.offer));
        this.#confirmCrash();
        this.#fail(served, 'broken', true);
        break;
      case 'notRun':
        this.#fail(served, 'refused', false);
        break;
      case 'unsent':
        this.#unavailableUntil = now + UNAVAILABLE_MILLISECONDS;
        this.#fail(served, 'unavailable', false);
        break;
    }
  }

  /** A broken connection may be one fault of many, or the end of the process. */
  #confirmCrash(): void {
    const pool = this.#pool;
    const backend = this.#backend;
    if (this.#isProbing || pool === undefined || backend === undefined) {
      return;
    }
    this.#isProbing = true;
    pool.probe((isRefused) => {
      this.#isProbing = false;
      const fingerprints = this.#broken;
      this.#broken = [];
      const now = this.#options.host.clock();
      if (!isRefused) {
        return;
      }
      this.#unavailableUntil = now + UNAVAILABLE_MILLISECONDS;
      const {decision, spread} = this.#options.quarantine;
      const {incarnation, instance, service} = backend;
      const effects = decision.recordCrash(
        {fingerprints, instance, instanceIncarnation: incarnation, service},
        now,
      );
      for (const {records} of effects) {
        spread(records);
      }
    });
  }

  #clearSuspicion({offer}: ServedOffer, now: Milliseconds): void {
    const {decision, spread} = this.#options.quarantine;
    if (!decision.hasRecords()) {
      return;
    }
    const fingerprint = fingerprintRequest(offer);
    for (const {records} of decision.recordCompletion(fingerprint, now)) {
      spread(records);
    }
  }

  #answer(
    served: ServedOffer,
    {body, lines, status}: Extract<BackendOutcome, {kind: 'answer'}>,
    now: Milliseconds,
  ): void {
    const {offer, run, runBeganAt} = served;
    this.#end(served, now);
    const load = this.#admission.getLoad();
    const below = Math.round(run?.getThreshold() ?? load.threshold);
    const first: AnswerPacket = {
      attempt: offer.attempt,
      body: body.subarray(0, ANSWER_PART_BYTES),
      failedCalls: run?.failedCalls ?? 0,
      forwardedLines: lines,
      isLast: body.length <= ANSWER_PART_BYTES,
      kind: 'answer',
      load: {...load, threshold: Math.min(load.threshold, below)},
      runMilliseconds: now - runBeganAt,
      status,
    };
    const packets = [first];
    for (
      let offset = ANSWER_PART_BYTES;
      offset < body.length;
      offset += ANSWER_PART_BYTES
    ) {
      const part = body.subarray(offset, offset + ANSWER_PART_BYTES);
      const isLast = offset + ANSWER_PART_BYTES >= body.length;
      packets.push({...first, body: part, forwardedLines: '', isLast});
    }
    this.#reply(served, packets, now);
    this.#runNext(now);
  }

  #fail(served: ServedOffer, reason: FailureReason, mayHaveRun: boolean): void {
    const now = this.#options.host.clock();
    const wasRunning = served.state === 'running';
    this.#end(served, now);
    const packet = this.#createFailure(served, reason, mayHaveRun);
    this.#reply(served, [packet], now);
    if (wasRunning) {
      this.#runNext(now);
    }
  }

  #createFailure(
    {offer}: ServedOffer,
    reason: FailureReason,
    mayHaveRun: boolean,
  ): RelayPacket {
    return {
      attempt: offer.attempt,
      kind: 'failure',
      load: this.#admission.getLoad(),
      mayHaveRun,
      reason,
    };
  }

  /** Marks an offer as ended and gives its slot back. */
  #end(served: ServedOffer, now: Milliseconds): void {
    if (served.state === 'ended') {
      return;
    }
    if (served.state === 'running') {
      this.#admission.release(now);
      if (served.run !== undefined) {
        this.#options.runningRequests.delete(
          served.offer.requestIdentifier,
          served.run,
        );
      }
    }
    served.state = 'ended';
    served.endedAt = now;
    this.#offers.delete(served.key);
    this.#ended.set(served.key, served);
  }

  #cancel(served: ServedOffer): void {
    if (served.state === 'queued') {
      this.#admission.remove(served);
      this.#fail(served, 'cancelled', false);
    } else if (served.state === 'running' && served.offer.isIdempotent) {
      served.abort?.();
      this.#fail(served, 'cancelled', true);
    }
    // A run that must not be repeated goes on, so that its work is not lost.
  }

  #reply(
    served: ServedOffer,
    packets: readonly RelayPacket[],
    now: Milliseconds,
  ): void {
    this.#held.add(served.key, packets, now);
    for (const packet of packets) {
      this.#send(served, packet);
    }
  }

  #send({source}: ServedOffer, packet: RelayPacket): void {
    // What cannot be sent is held until the caller's daemon asks again.
    this.#options.transport.send(source, packet);
  }

  #runNext(now: Milliseconds): void {
    for (;;) {
      const next = this.#admission.takeNext(now);
      if (next === undefined) {
        return;
      }
      this.#run(next, now);
    }
  }

  #dropQueue(reason: FailureReason): void {
    for (const served of this.#admission.takeAll()) {
      this.#fail(served, reason, false);
    }
  }
}

function createLengthLine({body, method}: OfferPacket): string {
  const isLengthStated =
    body.length > 0 || !['DELETE', 'GET', 'HEAD', 'OPTIONS'].includes(method);
  return isLengthStated ? `content-length: ${String(body.length)}\r\n` : '';
}

function isSameProcess(
  left: LocalBackendServer,
  right: LocalBackendServer,
): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.instance === right.instance &&
    formatAddress(left.address) === formatAddress(right.address)
  );
}
