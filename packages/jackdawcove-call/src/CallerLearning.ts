/** What a daemon's calls have taught it: instances, routes, retry budgets. */

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

/** Urgent requests are always tried, and calls go the way of their root. */
function isSheddableRoot({context, policy}: CallerCall): boolean {
  return (
    policy.usesLedger === false &&
    context.depth === 0 &&
    context.importance !== 'urgent'
  );
}

/** Mechanisms that can be switched off, for measurement and as baselines. */
export type CallerSwitches = {
  /** False: each hop draws a cohort of its own. */
  readonly isCohortOfRoot: boolean;
  /** False: each hop keeps the cohort, but decides the importance anew. */
  readonly isImportanceOfRoot: boolean;
  readonly isQuarantining: boolean;
  readonly isRetryAllowanceConserved: boolean;
  readonly isRetryBudgetUsed: boolean;
  readonly isSheddingByRoute: boolean;
  /** False: a crash suspect may run beside other requests, on any instance. */
  readonly isTryingSuspectsAlone: boolean;
};

/** Every mechanism switched on. */
export const DEFAULT_CALLER_SWITCHES: CallerSwitches = {
  isCohortOfRoot: true,
  isImportanceOfRoot: true,
  isQuarantining: true,
  isRetryAllowanceConserved: true,
  isRetryBudgetUsed: true,
  isSheddingByRoute: true,
  isTryingSuspectsAlone: true,
};

/** What the learning needs from its daemon. */
export type CallerLearningOptions = {
  readonly chooser: InstanceChooser;
  readonly listInstances: ListInstances;
  readonly retryBudget?: RetryBudgetOptions | undefined;
  /** Shared with the server side and with the quarantine channel. */
  readonly quarantine: CrashQuarantine;
  readonly switches?: CallerSwitches;
};

/** Learned state that all calls of a daemon share. */
export class CallerLearning {
  readonly #chooser: InstanceChooser;
  readonly #futileRoutes = new RouteCircuitBreakers();
  readonly #listInstances: ListInstances;
  readonly #quarantine: CrashQuarantine;
  readonly #retryBudgetOptions: RetryBudgetOptions | undefined;
  readonly #retryBudgets = new Map<ServiceName, RetryBudget>();
  readonly #routeThresholds = new RouteThresholds();
  readonly #switches: CallerSwitches;

  constructor(options: CallerLearningOptions) {
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

  /** Records the load of an instance. */
  recordLoad(
    call: CallerCall,
    attempt: OpenAttempt,
    load: ReportedLoad,
    now: Milliseconds,
  ): void {
    const {service} = call.request;
    this.#chooser.recordLoad(service, attempt.candidate, load, now);
  }

  /** Records the threshold that the calls below a route met. */
  recordDownstream(
    call: CallerCall,
    threshold: number,
    now: Milliseconds,
  ): void {
    const {service} = call.request;
    this.#routeThresholds.observe(service, call.policy.route, threshold, now);
  }

  /** Takes an instance that serves nothing out of the choice for a time. */
  recordUnavailable(
    call: CallerCall,
    attempt: OpenAttempt,
    now: Milliseconds,
  ): void {
    this.#chooser.eject(call.request.service, attempt.candidate, now);
  }

  /** A retry takes a token of the request and a share of the service's budget. */
  spendRetry(call: CallerCall): boolean {
    const budget = this.#getRetryBudget(call.request.service);
    if (this.#switches.isRetryBudgetUsed && !budget.spend()) {
      return false;
    }
    if (call.allowance.spend() || !this.#switches.isRetryAllowanceConserved) {
      return true;
    }
    budget.refund();
    return false;
  }

  /** Records that the process that ran an attempt is gone. */
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

  /** Tells whether a request is a crash suspect. */
  getSuspicion(call: CallerCall, now: Milliseconds): Suspicion {
    return this.#switches.isQuarantining
      ? this.#quarantine.getSuspicion(call.fingerprint, now)
      : 'clear';
  }

  /** Chooses an instance; undefined when the service is unknown. */
  choose(call: CallerCall, now: Milliseconds): Choice | undefined {
    const {service} = call.request;
    const candidates = this.#listInstances(service);
    if (candidates === undefined) {
      return undefined;
    }
    const {excluded, priority} = call;
    const isSuspect =
      this.#switches.isTryingSuspectsAlone &&
      this.getSuspicion(call, now) === 'suspect';
    const only = isSuspect ? this.#pickForSuspect(call, candidates) : undefined;
    return this.#chooser.choose(
      {candidates, excluded, priority, requiredInstance: only, service},
      now,
    );
  }

  /** Tells whether the calls below the route would be refused or fail. */
  isShedByRoute(call: CallerCall, now: Milliseconds): boolean {
    if (!this.#switches.isSheddingByRoute) {
      return false;
    }
    return (
      this.#getRouteThreshold(call, now) > call.priority ||
      (isSheddableRoot(call) &&
        this.#futileRoutes.isRefused(
          call.policy.route,
          call.context.cohort,
          now,
        ))
    );
  }

  /** Records how a root request ended that was sent to an instance. */
  recordOutcome(call: CallerCall, result: ResultName, now: Milliseconds): void {
    if (call.attempts > 0 && !call.isCallerGone && isSheddableRoot(call)) {
      const isServed =
        result === 'ok' && (call.answerStatus ?? 0) < FIRST_SERVER_ERROR;
      this.#futileRoutes.recordOutcome(call.policy.route, isServed, now);
    }
  }

  /** Highest threshold that a call meets: its service's and those below it. */
  getCallThreshold(call: CallerCall, now: Milliseconds): number {
    const {service} = call.request;
    const candidates = this.#listInstances(service) ?? [];
    return Math.max(
      this.#chooser.getServiceThreshold(service, candidates, now),
      this.#getRouteThreshold(call, now),
    );
  }

  /** A suspect may be retried by one instance only. */
  #pickForSuspect(
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
