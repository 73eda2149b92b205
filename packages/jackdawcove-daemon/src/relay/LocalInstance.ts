/** State of the local backend server: announcements, connections and crashes. */

import type {DaemonHost} from '../DaemonHost.js';
import type {
  LocalBackendServer,
  MembershipService,
} from '../membership/MembershipService.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {AnswerMemory} from './BackendPool.js';
import type {StrayAnswer} from './BackendTypes.js';
import type {RelayDialect} from './RelayTypes.js';
import type {
  FailureReason,
  InstanceCondition,
  OfferPacket,
} from 'jackdawcove-relay';
import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

import {NORMAL_CONDITION} from 'jackdawcove-relay';
import {formatAddress} from 'jackdawcove-shared';

import {RateLimitedLog} from '../host/RateLimitedLog.js';
import {AnswerHeaderLog} from './AnswerHeaderLog.js';
import {BackendPool} from './BackendPool.js';
import {fingerprintRequest} from './fingerprintRequest.js';
import {BACKEND_UNAVAILABLE_MILLISECONDS} from './RelayConstants.js';

/** Dependencies of the local instance. */
export type LocalInstanceOptions = {
  /** Undefined: answers are limited by themselves alone. */
  readonly answerMemory?: AnswerMemory | undefined;
  readonly dialect: RelayDialect;
  readonly host: DaemonHost;
  readonly membership: MembershipService;
  readonly quarantine: QuarantineRegistration;
};

/** Effect of an announcement on the queued requests. */
export type InstanceChange = 'draining' | 'none' | 'withdrawn';

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

/** Tracks the local backend server and its connections. */
export class LocalInstance {
  #backend: LocalBackendServer | undefined;
  /** Fingerprints of the requests whose runs ended without an answer since the last probe. */
  #brokenRunFingerprints: string[] = [];
  #condition = NORMAL_CONDITION;
  readonly #rateLimitedLog: RateLimitedLog;
  readonly #headerLog: AnswerHeaderLog;
  #isProbing = false;
  readonly #options: LocalInstanceOptions;
  #pool: BackendPool | undefined;
  #unavailableUntil: Milliseconds = 0;

  constructor(options: LocalInstanceOptions) {
    const {clock, log} = options.host;
    this.#rateLimitedLog = new RateLimitedLog(log, clock);
    this.#headerLog = new AnswerHeaderLog(options.host);
    this.#options = options;
  }

  /** Connections to the backend server; undefined while it is not announced. */
  getPool(): BackendPool | undefined {
    return this.#pool;
  }

  /** Service of the backend server; undefined while it is not announced. */
  getService(): ServiceName | undefined {
    return this.#backend?.service;
  }

  /** Number of slots that the backend server announced; 0 while it is not announced. */
  getSlots(): number {
    return this.#backend?.slots ?? 0;
  }

  /** Returns the reason to refuse an offer, or undefined to accept it. */
  findRefusal(
    offer: OfferPacket,
    now: Milliseconds,
  ): FailureReason | undefined {
    const backend = this.#backend;
    if (backend?.instance !== offer.instance || this.#pool === undefined) {
      return 'unavailable';
    }
    if (backend.state === 'draining' || this.#condition.isLeaving) {
      return 'draining';
    }
    if (now < this.#unavailableUntil) {
      return 'unavailable';
    }
    const {crashQuarantine} = this.#options.quarantine;
    const isQuarantined =
      crashQuarantine.hasRecords() &&
      crashQuarantine.getSuspicion(fingerprintRequest(offer), now) ===
        'quarantined';
    return isQuarantined ? 'quarantined' : undefined;
  }

  /** Applies the newest announcement. */
  refresh(): InstanceChange {
    this.#pool?.resumeWaiting();
    const backend = this.#options.membership.getLocalBackendServer();
    const previous = this.#backend;
    this.#backend = backend;
    if (backend === undefined) {
      if (previous === undefined) {
        return 'none';
      }
      // A withdrawn backend server may still finish its running requests.
      this.#pool?.retire();
      this.#pool = undefined;
      this.#log('instance withdrawn', previous);
      return 'withdrawn';
    }
    this.#updatePool(backend, previous);
    if (backend.state === previous?.state) {
      return 'none';
    }
    this.#log(`instance ${backend.state}`, backend);
    return backend.state === 'draining' ? 'draining' : 'none';
  }

  /** Refuses offers for a while after the backend server could not be reached. */
  markUnavailable(now: Milliseconds): void {
    this.#unavailableUntil = now + BACKEND_UNAVAILABLE_MILLISECONDS;
  }

  /** Records a run that ended without an answer, and probes whether the process has crashed. */
  recordBrokenRun(offer: OfferPacket): void {
    this.#brokenRunFingerprints.push(fingerprintRequest(offer));
    const pool = this.#pool;
    const backend = this.#backend;
    if (this.#isProbing || pool === undefined || backend === undefined) {
      return;
    }
    this.#isProbing = true;
    pool.probe((isRefused) => {
      this.#isProbing = false;
      const fingerprints = this.#brokenRunFingerprints;
      this.#brokenRunFingerprints = [];
      if (isRefused) {
        this.#recordCrash(backend, fingerprints);
      }
    });
  }

  /** Records an answer: evidence that the request does not cause crashes. */
  recordAnswer(
    offer: OfferPacket,
    {headerLines}: {readonly headerLines: string},
    now: Milliseconds,
  ): void {
    this.#headerLog.observe(headerLines, offer.instance);
    const {crashQuarantine, spread} = this.#options.quarantine;
    if (!crashQuarantine.hasRecords()) {
      return;
    }
    const fingerprint = fingerprintRequest(offer);
    for (const {records} of crashQuarantine.recordCompletion(
      fingerprint,
      now,
    )) {
      spread(records);
    }
  }

  /**
   * Records what the backend server stated about itself in its newest answer; returns
   * whether it has just begun to leave. Only the next process takes requests again.
   */
  recordCondition(condition: InstanceCondition): boolean {
    const previous = this.#condition;
    const {requestsPerSecond} = condition;
    const isLeaving = previous.isLeaving || condition.isLeaving;
    this.#condition = {isLeaving, requestsPerSecond};
    if (isLeaving && !previous.isLeaving && this.#backend !== undefined) {
      this.#options.membership.drainBackendServer(this.#backend.incarnation);
    }
    this.#logCondition(previous);
    return isLeaving && !previous.isLeaving;
  }

  #logCondition(previous: InstanceCondition): void {
    const {isLeaving, requestsPerSecond} = this.#condition;
    if (
      isLeaving === previous.isLeaving &&
      requestsPerSecond === previous.requestsPerSecond
    ) {
      return;
    }
    this.#rateLimitedLog.write(
      'instance.condition',
      {
        instance: this.#backend?.instance,
        isLeaving,
        previousRequestsPerSecond: previous.requestsPerSecond,
        requestsPerSecond,
        service: this.#backend?.service,
      },
      'instance condition changed',
    );
  }

  close(): void {
    this.#pool?.close();
  }

  #updatePool(
    backend: LocalBackendServer,
    previous: LocalBackendServer | undefined,
  ): void {
    if (previous === undefined || !isSameProcess(backend, previous)) {
      const {dialect, host} = this.#options;
      this.#pool?.retire();
      this.#pool = new BackendPool(
        backend.address,
        dialect,
        host.clock,
        (stray) => {
          this.#recordStrayAnswer(backend, stray);
        },
        this.#options.answerMemory,
      );
      this.#condition = NORMAL_CONDITION;
      this.#unavailableUntil = 0;
    } else if (backend.renewedAt > previous.renewedAt) {
      this.#unavailableUntil = 0;
    }
  }

  #recordStrayAnswer(
    {instance, service}: LocalBackendServer,
    {cause, requestIdentifier, status}: StrayAnswer,
  ): void {
    this.#options.host.metrics.increment(`relay.strayAnswer.${cause}`);
    this.#rateLimitedLog.write(
      `strayAnswer.${cause}`,
      {cause, instance, request: requestIdentifier, service, status},
      'stray answer of an instance',
    );
  }

  #recordCrash(
    {incarnation, instance, service}: LocalBackendServer,
    fingerprints: readonly string[],
  ): void {
    const {host, quarantine} = this.#options;
    const now = host.clock();
    this.markUnavailable(now);
    host.log.warn(
      {instance, service, suspects: fingerprints.length},
      'instance crashed',
    );
    const effects = quarantine.crashQuarantine.recordCrash(
      {fingerprints, instance, instanceIncarnation: incarnation, service},
      now,
    );
    for (const {records} of effects) {
      quarantine.spread(records);
    }
  }

  #log(message: string, backend: LocalBackendServer): void {
    const {incarnation, instance, service, slots} = backend;
    this.#options.host.log.info(
      {incarnation, instance, service, slots},
      message,
    );
  }
}
