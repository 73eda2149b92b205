/**
 * Server side of calls: admission, dispatch, cancellation, resolution.
 *
 * One object serves the local backend server. It performs no I/O: it takes
 * inputs and the current time and returns effects. The I/O layer answers each
 * `dispatch` with exactly one `backendAnswered`, `backendFailed` or
 * `backendCrashed`, also after an `abort`.
 */

import type {Attempt, AttemptIdentifier} from './AttemptMessages.js';
import type {
  HealthHint,
  ListInstances,
  LocalInstance,
  ServerSideEffect,
  ServerSideInput,
  ServerSideStatus,
} from './CallTypes.js';
import type {ServerAttemptsOptions} from './ServerAttempts.js';
import type {AdmissionController} from 'jackdawcove-admission';
import type {CrashQuarantine, Suspicion} from 'jackdawcove-quarantine';
import type {DaemonName, Milliseconds, ResultName} from 'jackdawcove-shared';

import {match} from 'ts-pattern';

import {ServerAttempts} from './ServerAttempts.js';

/** Dependencies of the server side. */
export type ServerSideOptions = ServerAttemptsOptions & {
  readonly listInstances: ListInstances;
  /** Shared with the caller side and with the quarantine channel. */
  readonly quarantine: CrashQuarantine;
};

/** Server side of the calls to the local backend server. */
export class ServerSide {
  readonly #admission: AdmissionController;
  readonly #attempts: ServerAttempts;
  #healthHint: HealthHint | undefined;
  #instance: LocalInstance | undefined;
  #isDraining = false;
  #isWithdrawn = false;
  readonly #options: ServerSideOptions;

  constructor(options: ServerSideOptions) {
    this.#admission = options.admission;
    this.#attempts = new ServerAttempts(options);
    this.#options = options;
  }

  /**
   * Handles an input and returns the effects to execute.
   *
   * @example
   * for (const effect of serverSide.handle({kind: 'tick'}, clock())) execute(effect);
   */
  handle(
    input: ServerSideInput,
    now: Milliseconds,
  ): readonly ServerSideEffect[] {
    const attempts = this.#attempts;
    switch (input.kind) {
      case 'announced':
        this.#onAnnounced(input.instance, now);
        break;
      case 'arrive':
        this.#onArrive(input.attempt, input.callerDaemon, now);
        break;
      case 'attemptCancelled':
        attempts.onCancelled(input.attemptIdentifier, now);
        break;
      case 'backendAnswered':
        this.#onAnswered(input.attemptIdentifier, now);
        break;
      case 'backendCrashed':
        this.#onCrashed(now);
        break;
      case 'backendFailed':
        attempts.onFailed(input, now);
        break;
      case 'drain':
        this.#isDraining = true;
        this.#refuseQueued('instanceDraining', now);
        break;
      case 'healthHint':
        this.#healthHint = input.hint;
        break;
      case 'resolve':
        attempts.onResolve(input.query, input.callerDaemon, now);
        break;
      case 'tick':
        attempts.applyAdmissionEffects(this.#admission.tick(now), now);
        attempts.abortExpired(now);
        break;
      case 'withdrawn':
        this.#isWithdrawn = true;
        this.#refuseQueued('noInstance', now);
        break;
    }
    return attempts.takeEffects();
  }

  /** Returns the last health hint of the platform. */
  getHealthHint(): HealthHint | undefined {
    return this.#healthHint;
  }

  /** Returns load and state, for the answer of an attempt or for a status. */
  getStatus(attemptIdentifier?: AttemptIdentifier): ServerSideStatus {
    const {inFlight, limit, queued} = this.#admission.getLoad();
    return {
      inFlight,
      isDraining: this.#isDraining,
      limit,
      load: this.#attempts.createLoadReport(attemptIdentifier),
      queued,
    };
  }

  #onAnnounced(instance: LocalInstance, now: Milliseconds): void {
    this.#isWithdrawn = false;
    if (this.#instance?.incarnation === instance.incarnation) {
      this.#instance = instance;
      const effects = this.#admission.resize(instance, now);
      this.#attempts.applyAdmissionEffects(effects, now);
      return;
    }
    // Requests that still run on the previous process are lost.
    this.#onCrashed(now);
    this.#instance = instance;
    this.#isDraining = false;
    this.#admission.start(instance);
  }

  #onArrive(
    attempt: Attempt,
    callerDaemon: DaemonName,
    now: Milliseconds,
  ): void {
    const {attemptIdentifier, fingerprint} = attempt;
    const endedKind = this.#attempts.getEndedKind(attemptIdentifier);
    if (this.#attempts.isOpen(attemptIdentifier) || endedKind === 'done') {
      return;
    }
    const refusal =
      endedKind === undefined ? this.#findRefusal(attempt, now) : 'fenced';
    if (refusal !== undefined) {
      this.#attempts.refuse(attempt, callerDaemon, refusal);
      return;
    }
    const isSuspect = this.#getSuspicion(fingerprint, now) === 'suspect';
    const isExclusive =
      this.#isIsolatingSuspects() && (isSuspect || attempt.isSuspectRetry);
    this.#attempts.offer(attempt, callerDaemon, isExclusive, now);
  }

  #findRefusal(attempt: Attempt, now: Milliseconds): ResultName | undefined {
    if (this.#isDraining) {
      return 'instanceDraining';
    }
    const instance = this.#instance;
    const isAddressed =
      !this.#isWithdrawn &&
      attempt.daemonIncarnation === this.#options.daemonIncarnation &&
      attempt.instance === instance?.instance &&
      attempt.instanceIncarnation === instance.incarnation;
    if (!isAddressed) {
      return 'noInstance';
    }
    return match(this.#getSuspicion(attempt.fingerprint, now))
      .with('clear', () => undefined)
      .with('quarantined', () => 'quarantined' as const)
      .with('suspect', () =>
        this.#isIsolatingSuspects()
          ? this.#findSuspectRefusal(attempt, instance)
          : undefined,
      )
      .exhaustive();
  }

  /** Only one instance may retry a suspect, one retry at a time. */
  #findSuspectRefusal(
    attempt: Attempt,
    instance: LocalInstance,
  ): ResultName | undefined {
    const candidates = this.#options.listInstances(instance.service) ?? [];
    const names = candidates
      .filter(({isDraining, isReachable}) => isReachable && !isDraining)
      .map((candidate) => candidate.instance);
    const picked = this.#options.quarantine.pickRetryInstance(
      attempt.fingerprint,
      names,
    );
    const isPickedInstance = picked === instance.instance;
    const isAlreadyOpen = this.#attempts.hasFingerprint(attempt.fingerprint);
    return isPickedInstance && !isAlreadyOpen ? undefined : 'suspectWaiting';
  }

  #onAnswered(attemptIdentifier: AttemptIdentifier, now: Milliseconds): void {
    const attempt = this.#attempts.onAnswered(attemptIdentifier, now);
    if (attempt === undefined) {
      return;
    }
    const {quarantine} = this.#options;
    this.#pushSuspects(quarantine.recordCompletion(attempt.fingerprint, now));
  }

  #onCrashed(now: Milliseconds): void {
    const instance = this.#instance;
    this.#refuseQueued('noInstance', now);
    this.#instance = undefined;
    const crashedAttempts = this.#attempts.endRunning(
      'backendServerCrashed',
      now,
    );
    if (crashedAttempts.length === 0 || instance === undefined) {
      return;
    }
    const observed = {
      fingerprints: crashedAttempts.map(({fingerprint}) => fingerprint),
      instance: instance.instance,
      instanceIncarnation: instance.incarnation,
      service: instance.service,
    };
    this.#pushSuspects(this.#options.quarantine.recordCrash(observed, now));
  }

  #getSuspicion(fingerprint: string, now: Milliseconds): Suspicion {
    const {quarantine, switches} = this.#options;
    return switches?.isQuarantining === false
      ? 'clear'
      : quarantine.getSuspicion(fingerprint, now);
  }

  #isIsolatingSuspects(): boolean {
    return this.#options.switches?.isIsolatingSuspects ?? true;
  }

  #refuseQueued(result: ResultName, now: Milliseconds): void {
    this.#attempts.applyAdmissionEffects(
      this.#admission.refuseQueued(result),
      now,
    );
  }

  #pushSuspects(effects: ReturnType<CrashQuarantine['merge']>): void {
    for (const {records} of effects) {
      this.#attempts.push({kind: 'spreadSuspects', records});
    }
  }
}
