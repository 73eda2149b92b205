/**
 * Calls that the local backend server is running.
 *
 * Shared by both sides of a daemon: the server side opens and closes them, the
 * caller side finds the parent of a call that the backend server makes.
 */

import type {AttemptIdentifier} from './AttemptMessages.js';
import type {RequestContext} from 'jackdawcove-context';
import type {Milliseconds} from 'jackdawcove-shared';

import {RetryAllowance} from 'jackdawcove-retry';

/** A call that the local backend server is running. */
export class CallInProgress {
  #childMilliseconds = 0;
  #openChildCount = 0;
  #childrenOpenSince = 0;
  #downstreamThreshold = 0;
  #isCancelled = false;
  readonly allowance: RetryAllowance;
  readonly deadline: Milliseconds;
  readonly startedAt: Milliseconds;

  constructor(tokens: number, deadline: Milliseconds, now: Milliseconds) {
    this.allowance = new RetryAllowance(tokens);
    this.deadline = deadline;
    this.startedAt = now;
  }

  /** Records that the backend server began a call of its own. */
  recordChildStarted(now: Milliseconds): void {
    if (this.#openChildCount === 0) {
      this.#childrenOpenSince = now;
    }
    this.#openChildCount += 1;
  }

  /** Records that a call of the backend server ended. */
  recordChildEnded(threshold: number, now: Milliseconds): void {
    this.#downstreamThreshold = Math.max(this.#downstreamThreshold, threshold);
    this.#openChildCount -= 1;
    if (this.#openChildCount === 0) {
      this.#childMilliseconds += now - this.#childrenOpenSince;
    }
  }

  /** Marks the call as cancelled: it may begin no further calls. */
  cancel(): void {
    this.#isCancelled = true;
  }

  /** Highest threshold met by the calls made so far. */
  getDownstreamThreshold(): number {
    return this.#downstreamThreshold;
  }

  /** Time spent in the backend server itself, without its own calls. */
  getOwnTime(now: Milliseconds): Milliseconds {
    const openMilliseconds =
      this.#openChildCount > 0 ? now - this.#childrenOpenSince : 0;
    return Math.max(
      0,
      now - this.startedAt - this.#childMilliseconds - openMilliseconds,
    );
  }

  /** Tells whether the call was cancelled. */
  isCancelled(): boolean {
    return this.#isCancelled;
  }
}

/** What a call made by a running request inherits. */
export type RunningRequest = {
  readonly context: RequestContext;
  readonly parentHandle: AttemptIdentifier;
};

/** Calls in progress by the handle that the context header carries. */
export class CallsInProgress {
  readonly #calls = new Map<AttemptIdentifier, CallInProgress>();
  readonly #requests = new Map<string, RunningRequest>();

  /** Opens a call with the tokens that it was lent. */
  open(
    handle: AttemptIdentifier,
    tokens: number,
    deadline: Milliseconds,
    now: Milliseconds,
  ): CallInProgress {
    const call = new CallInProgress(tokens, deadline, now);
    this.#calls.set(handle, call);
    return call;
  }

  /** Closes a call; tokens that come back later are lost. */
  close(handle: AttemptIdentifier): void {
    this.#calls.delete(handle);
  }

  /** Notes which request of a caller a call runs. */
  registerRequest(requestIdentifier: string, running: RunningRequest): void {
    this.#requests.set(requestIdentifier, running);
  }

  /** Forgets a request, unless another call runs it by now. */
  unregisterRequest(
    requestIdentifier: string,
    handle: AttemptIdentifier,
  ): void {
    if (this.#requests.get(requestIdentifier)?.parentHandle === handle) {
      this.#requests.delete(requestIdentifier);
    }
  }

  /** Returns the request that runs under an identifier of its caller. */
  findRequest(requestIdentifier: string): RunningRequest | undefined {
    return this.#requests.get(requestIdentifier);
  }

  /** Returns a call in progress, or undefined. */
  get(handle: AttemptIdentifier): CallInProgress | undefined {
    return this.#calls.get(handle);
  }
}
