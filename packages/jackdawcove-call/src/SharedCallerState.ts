/** State shared by all calls of a daemon: instances, routes, retry budgets. */

import type {CallerCall, OpenAttempt} from './CallerCall.js';
import type {ListInstances} from './CallTypes.js';
import type {
  CrashQuarantine,
  QuarantineEffect,
  Suspicion,
} from 'jackdawcove-quarantine';
import type {RetryBudgetOptions} from 'jackdawcove-retry';
import type {
  CallOutcome,
  Choice,
  InstanceCandidate,
  InstanceChooser,
  ReportedLoad,
} from 'jackdawcove-routing';
import type {
  InstanceName,
  Milliseconds,
  ResultName,
  ServiceName,
} from 'jackdawcove-shared';

import {RetryBudget} from 'jackdawcove-retry';
import {RouteCircuitBreakers, RouteThresholds} from 'jackdawcove-routing';

const FIRST_SERVER_ERROR = 500;

/**
 * Returns whether the circuit breaker of the route applies: urgent requests are always
 * sent, and nested calls follow the decision at their root.
 */
function isSheddableRoot({context, policy}: CallerCall): boolean {
  return (
    policy.usesLedger === false &&
    context.depth === 0 &&
    context.importance !== 'urgent'
  );
}

/** Mechanisms that measurements and baselines can switch off. */
export type CallerSwitches = {
  /** False: each hop derives its own cohort from the call identifier. */
  readonly isCohortInherited: boolean;
  /** False: each hop inherits the cohort but determines the importance itself. */
  readonly isImportanceInherited: boolean;
  readonly isQuarantining: boolean;
  readonly isRetryAllowanceEnforced: boolean;
  readonly isRetryBudgetEnforced: boolean;
  readonly isSheddingByRoute: boolean;
  /** False: a suspect may run on any instance, concurrently with others. */
  readonly isIsolatingSuspects: boolean;
};

/** Every mechanism switched on. */
export const DEFAULT_CALLER_SWITCHES: CallerSwitches = {
  isCohortInherited: true,
  isImportanceInherited: true,
  isIsolatingSuspects: true,
  isQuarantining: true,
  isRetryAllowanceEnforced: true,
  isRetryBudgetEnforced: true,
  isSheddingByRoute: true,
};

/** Dependencies of the shared caller state. */
export type SharedCallerStateOptions = {
  readonly chooser: InstanceChooser;
  readonly listInstances: ListInstances;
  readonly retryBudget?: RetryBudgetOptions | undefined;
  /** Shared with the server side and with the quarantine channel. */
  readonly quarantine: CrashQuarantine;
  readonly switches?: CallerSwitches;
};

/** State that all calls of a daemon share and update. */
export class SharedCallerState {
  readonly #chooser: InstanceChooser;
  readonly #routeCircuitBreakers = new RouteCircuitBreakers();
  readonly #listInstances: ListInstances;
  readonly #quarantine: CrashQuarantine;
  readonly #retryBudgetOptions: RetryBudgetOptions | undefined;
  readonly #retryBudgets = new Map<ServiceName, RetryBudget>();
  readonly #routeThresholds = new RouteThresholds();
  readonly #switches: CallerSwitches;

  constructor(options: SharedCallerStateOptions) {
    this.#chooser = options.chooser;
    this.#listInstances = options.listInstances;
    this.#quarantine = options.quarantine;
    this.#retryBudgetOptions = options.retryBudget;
    this.#switches = options.switches ?? DEFAULT_CALLER_SWITCHES;
  }

  /** Records that an attempt was sent. */
  recordSent(call: CallerCall, attempt: OpenAttempt): void {
    this.#chooser.recordSent(call.request.service, attempt.candidate);
  }

  /** Records how an attempt ended. */
  recordEnded(
    call: CallerCall,
    attempt: OpenAttempt,
    outcome: CallOutcome,
    now: Milliseconds,
  ): void {
    const {service} = call.request;
    this.#chooser.recordEnded(service, attempt.candidate, outcome, now);
    if (outcome === 'succeeded') {
      this.#getRetryBudget(service).recordSuccess();
    }
  }

  /** Records the load report of an instance. */
  recordLoad(
    call: CallerCall,
    attempt: OpenAttempt,
    load: ReportedLoad,
    now: Milliseconds,
  ): void {
    const {service} = call.request;
    this.#chooser.recordLoad(service, attempt.candidate, load, now);
  }

  /** Records the highest threshold of the calls downstream of a route. */
  recordDownstreamThreshold(
    call: CallerCall,
    threshold: number,
    now: Milliseconds,
  ): void {
    const {service} = call.request;
    this.#routeThresholds.observe(service, call.policy.route, threshold, now);
  }

  /** Temporarily ejects an instance that accepts no requests. */
  recordUnavailable(
    call: CallerCall,
    attempt: OpenAttempt,
    now: Milliseconds,
  ): void {
    this.#chooser.eject(call.request.service, attempt.candidate, now);
  }

  /** Spends a retry token of the request and one of the service's budget. */
  tryAcquireRetry(call: CallerCall): boolean {
    const budget = this.#getRetryBudget(call.request.service);
    if (this.#switches.isRetryBudgetEnforced && !budget.spend()) {
      return false;
    }
    if (call.allowance.spend() || !this.#switches.isRetryAllowanceEnforced) {
      return true;
    }
    budget.refund();
    return false;
  }

  /** Records that the process that ran an attempt crashed. */
  recordCrash(
    call: CallerCall,
    attempt: OpenAttempt,
    now: Milliseconds,
  ): readonly QuarantineEffect[] {
    const {instance, instanceIncarnation} = attempt.candidate;
    const observed = {
      fingerprints: [call.fingerprint],
      instance,
      instanceIncarnation,
      service: call.request.service,
    };
    return this.#quarantine.recordCrash(observed, now);
  }

  /** Returns whether a request is a crash suspect or quarantined. */
  getSuspicion(call: CallerCall, now: Milliseconds): Suspicion {
    return this.#switches.isQuarantining
      ? this.#quarantine.getSuspicion(call.fingerprint, now)
      : 'clear';
  }

  /** Chooses an instance; returns undefined if the service is unknown. */
  choose(call: CallerCall, now: Milliseconds): Choice | undefined {
    const {service} = call.request;
    const candidates = this.#listInstances(service);
    if (candidates === undefined) {
      return undefined;
    }
    const {excluded, priority} = call;
    const isSuspect =
      this.#switches.isIsolatingSuspects &&
      this.getSuspicion(call, now) === 'suspect';
    const requiredInstance = isSuspect
      ? this.#pickInstanceForSuspect(call, candidates)
      : undefined;
    return this.#chooser.choose(
      {candidates, excluded, priority, requiredInstance, service},
      now,
    );
  }

  /** Returns whether calls downstream of the route would be refused or fail. */
  isShedByRoute(call: CallerCall, now: Milliseconds): boolean {
    if (!this.#switches.isSheddingByRoute) {
      return false;
    }
    return (
      this.#getRouteThreshold(call, now) > call.priority ||
      (isSheddableRoot(call) &&
        this.#routeCircuitBreakers.isRefused(
          call.policy.route,
          call.context.cohort,
          now,
        ))
    );
  }

  /** Records the result of a root request that was sent to an instance. */
  recordOutcome(call: CallerCall, result: ResultName, now: Milliseconds): void {
    if (
      call.attempts > 0 &&
      !call.isCallerDisconnected &&
      isSheddableRoot(call)
    ) {
      const isSuccess =
        result === 'ok' && (call.answerStatus ?? 0) < FIRST_SERVER_ERROR;
      this.#routeCircuitBreakers.recordOutcome(
        call.policy.route,
        isSuccess,
        now,
      );
    }
  }

  /** Returns the highest threshold of a call: of its service and downstream. */
  getCallThreshold(call: CallerCall, now: Milliseconds): number {
    const {service} = call.request;
    const candidates = this.#listInstances(service) ?? [];
    return Math.max(
      this.#chooser.getServiceThreshold(service, candidates, now),
      this.#getRouteThreshold(call, now),
    );
  }

  /** Picks the only instance that may retry a suspect. */
  #pickInstanceForSuspect(
    call: CallerCall,
    candidates: readonly InstanceCandidate[],
  ): InstanceName | undefined {
    const names = candidates
      .filter(({isDraining, isReachable}) => isReachable && !isDraining)
      .map(({instance}) => instance);
    return this.#quarantine.pickRetryInstance(call.fingerprint, names);
  }

  #getRouteThreshold(call: CallerCall, now: Milliseconds): number {
    const {service} = call.request;
    return this.#routeThresholds.getThreshold(service, call.policy.route, now);
  }

  #getRetryBudget(service: ServiceName): RetryBudget {
    const known = this.#retryBudgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const budget = new RetryBudget(this.#retryBudgetOptions);
    this.#retryBudgets.set(service, budget);
    return budget;
  }
}
