/** Creation of a call: who its parent is, what binds it and until when. */

import type {CallerCall} from './CallerCall.js';
import type {CallerSwitches} from './CallerLearning.js';
import type {CallInProgress, CallsInProgress} from './CallsInProgress.js';
import type {
  CallIdentifier,
  CallPolicy,
  CallRequest,
  ResolvePolicy,
} from './CallTypes.js';
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

import {DEFAULT_CALLER_SWITCHES} from './CallerLearning.js';
import {
  getFingerprint,
  getPriority,
  isKeyBrought,
  needsClaim,
} from './CallUtils.js';

/** What the factory looks up. */
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

  /** Creates a call, or says why the request is refused. */
  create(
    callIdentifier: CallIdentifier,
    request: CallRequest,
    now: Milliseconds,
  ): Result<CallerCall, ResultName> {
    const policy = this.#options.resolvePolicy(request);
    const handed =
      this.#readContext(request) ?? this.#findRunningParent(request, now);
    const parent = this.#findParent(handed);
    if (parent?.isCancelled() === true) {
      return Result.err('cancelledBeforeDispatch');
    }
    const switches = this.#options.switches ?? DEFAULT_CALLER_SWITCHES;
    const context = createContext(callIdentifier, policy, handed, switches);
    if (context.depth > policy.maximumDepth) {
      return Result.err('chainTooDeep');
    }
    const allowance = createAllowance(request, policy, handed, parent);
    const deadline = createDeadline(now, [
      policy.timeoutMilliseconds,
      request.timeoutMilliseconds,
      handed?.remainingMilliseconds,
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
      isCallerGone: false,
      isClaimed: false,
      isSuspect: false,
      lastRefusal: undefined,
      mayHaveRun: false,
      mayKeyHaveRun: needsClaim(policy) && isKeyBrought(request),
      openAttempt: undefined,
      parent,
      policy,
      priority: getPriority(context),
      redirects: 0,
      request,
    });
  }

  /** Only the local backend server is believed: others could raise their own importance. */
  #readContext(request: CallRequest): PropagatedContext | undefined {
    return request.isFromLoopback
      ? decodeContextHeader(request.contextHeader).unwrapOr(undefined)
      : undefined;
  }

  #findRunningParent(
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
    handed: PropagatedContext | undefined,
  ): CallInProgress | undefined {
    return handed && this.#options.callsInProgress.get(handed.parentHandle);
  }
}

function createContext(
  callIdentifier: CallIdentifier,
  policy: CallPolicy,
  handed: PropagatedContext | undefined,
  switches: CallerSwitches,
): RequestContext {
  if (handed !== undefined) {
    const child = createChildContext(handed.context);
    const {isCohortOfRoot, isImportanceOfRoot} = switches;
    return {
      ...child,
      cohort: isCohortOfRoot ? child.cohort : getCohort(callIdentifier),
      importance: isImportanceOfRoot ? child.importance : policy.importance,
    };
  }
  return createRootContext({
    importance: policy.importance,
    revision: policy.revision,
    rootIdentifier: callIdentifier,
  });
}

/** A root gets R tokens; a child shares its parent's; any other call gets none. */
function createAllowance(
  request: CallRequest,
  policy: CallPolicy,
  handed: PropagatedContext | undefined,
  parent: CallInProgress | undefined,
): RetryAllowance {
  if (parent !== undefined) {
    return parent.allowance;
  }
  const isRoot = handed === undefined && !request.isFromLoopback;
  return new RetryAllowance(isRoot ? policy.retryAllowance : 0);
}
