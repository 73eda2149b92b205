/** State of one call on the caller side. */

import type {AttemptIdentifier} from './AttemptMessages.js';
import type {CallInProgress} from './CallsInProgress.js';
import type {CallIdentifier, CallPolicy, CallRequest} from './CallTypes.js';
import type {RequestContext} from 'jackdawcove-context';
import type {RetryAllowance} from 'jackdawcove-retry';
import type {CallOutcome, InstanceCandidate} from 'jackdawcove-routing';
import type {InstanceName, Milliseconds, ResultName} from 'jackdawcove-shared';

/** An attempt that was sent and has not ended. */
export type OpenAttempt = {
  readonly attemptIdentifier: AttemptIdentifier;
  readonly candidate: InstanceCandidate;
  isForwarded: boolean;
  /** Time at which the pending resolve query was sent, if there is one. */
  resolvingSince: Milliseconds | undefined;
  readonly sentAt: Milliseconds;
  readonly tokensLent: number;
};

/** Why an attempt was not run, or why its outcome is not known. */
export type Refusal = {
  readonly result: ResultName;
  readonly retryAfterMilliseconds?: Milliseconds;
};

/** Why an attempt is cancelled. */
export type CancelReason = {
  readonly outcome: CallOutcome;
  readonly result: ResultName;
};

/** A call that has not ended. */
export type CallerCall = {
  readonly allowance: RetryAllowance;
  /** HTTP status of the forwarded answer. */
  answerStatus: number | undefined;
  attempts: number;
  readonly callIdentifier: CallIdentifier;
  readonly context: RequestContext;
  readonly deadline: Milliseconds;
  readonly excluded: Set<InstanceName>;
  readonly fingerprint: string;
  /** True if the last attempt may have reached its backend server. */
  hasReachedBackend: boolean;
  isCallerDisconnected: boolean;
  isClaimed: boolean;
  /**
   * True until the ledger has answered the claim of a key that the caller
   * supplied: an earlier request may have run under that key.
   */
  mayEarlierRequestHaveRun: boolean;
  /** True if the request is a crash suspect. */
  isSuspect: boolean;
  lastRefusal: Refusal | undefined;
  /** True after an attempt ended without proof that it did not run. */
  mayHaveRun: boolean;
  openAttempt: OpenAttempt | undefined;
  readonly parent: CallInProgress | undefined;
  readonly policy: CallPolicy;
  readonly priority: number;
  /** Number of redirects so far that cost no retry token. */
  redirects: number;
  readonly request: CallRequest;
};
