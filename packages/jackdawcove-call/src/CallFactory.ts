/** Creation of calls: parent, context, retry allowance and deadline. */

import type {CallerCall} from './CallerCall.js';
import type {CallInProgress, CallsInProgress} from './CallsInProgress.js';
import type {
  CallIdentifier,
  CallPolicy,
  CallRequest,
  ResolvePolicy,
} from './CallTypes.js';
import type {CallerSwitches} from './SharedCallerState.js';
import type {PropagatedContext, RequestContext} from 'jackdawcove-context';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';

import {
  createChildContext,
  createDeadline,
  createRootContext,
  decodeContextHeader,
  getCohort,
  getRemainingMilliseconds,
} from 'jackdawcove-context';
import {RetryAllowance} from 'jackdawcove-retry';
import {Result} from 'true-myth/result';

import {
  getFingerprint,
  getPriority,
  hasCallerKey,
  needsClaim,
} from './CallUtils.js';
import {DEFAULT_CALLER_SWITCHES} from './SharedCallerState.js';

/** Dependencies of the call factory. */
export type CallFactoryOptions = {
  readonly callsInProgress: CallsInProgress;
  readonly resolvePolicy: ResolvePolicy;
  readonly switches?: CallerSwitches;
};

/** Creates calls from requests. */
export class CallFactory {
  readonly #options: CallFactoryOptions;

  constructor(options: CallFactoryOptions) {
    this.#options = options;
  }

  /** Creates a call, or returns the result that refuses the request. */
  create(
    callIdentifier: CallIdentifier,
    request: CallRequest,
    now: Milliseconds,
  ): Result<CallerCall, ResultName> {
    const policy = this.#options.resolvePolicy(request);
    const received =
      this.#decodeContextHeader(request) ??
      this.#findContextOfRunningRequest(request, now);
    const parent = this.#findParent(received);
    if (parent?.isCancelled() === true) {
      return Result.err('cancelledBeforeDispatch');
    }
    const switches = this.#options.switches ?? DEFAULT_CALLER_SWITCHES;
    const context = createContext(callIdentifier, policy, received, switches);
    if (context.depth > policy.maximumDepth) {
      return Result.err('chainTooDeep');
    }
    const allowance = createAllowance(request, policy, received, parent);
    const deadline = createDeadline(now, [
      policy.timeoutMilliseconds,
      request.timeoutMilliseconds,
      received?.remainingMilliseconds,
      parent && getRemainingMilliseconds(parent.deadline, now),
    ]);
    return Result.ok({
      allowance,
      answerStatus: undefined,
      attempts: 0,
      callIdentifier,
      context,
      deadline,
      excluded: new Set(),
      fingerprint: getFingerprint(request),
      hasReachedBackend: false,
      isCallerDisconnected: false,
      isClaimed: false,
      isSuspect: false,
      lastRefusal: undefined,
      mayEarlierRequestHaveRun: needsClaim(policy) && hasCallerKey(request),
      mayHaveRun: false,
      openAttempt: undefined,
      parent,
      policy,
      priority: getPriority(context),
      redirects: 0,
      request,
    });
  }

  /**
   * Trusts the header only from the local backend server: other callers could
   * raise their own importance with it.
   */
  #decodeContextHeader(request: CallRequest): PropagatedContext | undefined {
    return request.isFromLoopback
      ? decodeContextHeader(request.contextHeader).unwrapOr(undefined)
      : undefined;
  }

  #findContextOfRunningRequest(
    {parentRequestIdentifier}: CallRequest,
    now: Milliseconds,
  ): PropagatedContext | undefined {
    const {callsInProgress} = this.#options;
    const running =
      parentRequestIdentifier === undefined
        ? undefined
        : callsInProgress.findRequest(parentRequestIdentifier);
    const parent = running && callsInProgress.get(running.parentHandle);
    return (
      running &&
      parent && {
        ...running,
        remainingMilliseconds: getRemainingMilliseconds(parent.deadline, now),
      }
    );
  }

  #findParent(
    received: PropagatedContext | undefined,
  ): CallInProgress | undefined {
    return received && this.#options.callsInProgress.get(received.parentHandle);
  }
}

function createContext(
  callIdentifier: CallIdentifier,
  policy: CallPolicy,
  received: PropagatedContext | undefined,
  switches: CallerSwitches,
): RequestContext {
  if (received !== undefined) {
    const child = createChildContext(received.context);
    const {isCohortInherited, isImportanceInherited} = switches;
    return {
      ...child,
      cohort: isCohortInherited ? child.cohort : getCohort(callIdentifier),
      importance: isImportanceInherited ? child.importance : policy.importance,
    };
  }
  return createRootContext({
    importance: policy.importance,
    revision: policy.revision,
    rootIdentifier: callIdentifier,
  });
}

/**
 * A root request gets the retry tokens of its policy, a child shares those of
 * its parent, and any other call gets none.
 */
function createAllowance(
  request: CallRequest,
  policy: CallPolicy,
  received: PropagatedContext | undefined,
  parent: CallInProgress | undefined,
): RetryAllowance {
  if (parent !== undefined) {
    return parent.allowance;
  }
  const isRoot = received === undefined && !request.isFromLoopback;
  return new RetryAllowance(isRoot ? policy.retryAllowance : 0);
}
