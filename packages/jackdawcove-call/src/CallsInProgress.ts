/**
 * Calls that the local backend server is running.
 *
 * Both sides of a daemon share them: the server side opens and closes them, the
 * caller side looks up the parent of a call that the backend server makes.
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

  /** Records that the backend server started a nested call. */
  recordChildStarted(now: Milliseconds): void {
    if (this.#openChildCount === 0) {
      this.#childrenOpenSince = now;
    }
    this.#openChildCount += 1;
  }

  /** Records that a nested call ended, and the highest threshold on its path. */
  recordChildEnded(threshold: number, now: Milliseconds): void {
    this.#downstreamThreshold = Math.max(this.#downstreamThreshold, threshold);
    this.#openChildCount -= 1;
    if (this.#openChildCount === 0) {
      this.#childMilliseconds += now - this.#childrenOpenSince;
    }
  }

  /** Marks the call as cancelled: it may start no more nested calls. */
  cancel(): void {
    this.#isCancelled = true;
  }

  /** Returns the highest threshold on the paths of the ended nested calls. */
  getDownstreamThreshold(): number {
    return this.#downstreamThreshold;
  }

  /** Returns the time spent in the backend server, without nested calls. */
  getOwnTime(now: Milliseconds): Milliseconds {
    const openMilliseconds =
      this.#openChildCount > 0 ? now - this.#childrenOpenSince : 0;
    return Math.max(
      0,
      now - this.startedAt - this.#childMilliseconds - openMilliseconds,
    );
  }

  /** Returns whether the call was cancelled. */
  isCancelled(): boolean {
    return this.#isCancelled;
  }
}

/** Data that a call inherits from the running request that makes it. */
export type RunningRequest = {
  readonly context: RequestContext;
  readonly parentHandle: AttemptIdentifier;
};

/** Calls in progress by the handle in their context header. */
export class CallsInProgress {
  readonly #calls = new Map<AttemptIdentifier, CallInProgress>();
  readonly #requests = new Map<string, RunningRequest>();

  /** Opens a call with the retry tokens lent to it. */
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

  /** Closes a call; tokens returned after that are lost. */
  close(handle: AttemptIdentifier): void {
    this.#calls.delete(handle);
  }

  /** Registers a running request under the identifier given by its caller. */
  registerRequest(requestIdentifier: string, running: RunningRequest): void {
    this.#requests.set(requestIdentifier, running);
  }

  /** Removes a request unless another call has registered it since. */
  unregisterRequest(
    requestIdentifier: string,
    handle: AttemptIdentifier,
  ): void {
    if (this.#requests.get(requestIdentifier)?.parentHandle === handle) {
      this.#requests.delete(requestIdentifier);
    }
  }

  /** Returns the running request with the identifier given by its caller. */
  findRequest(requestIdentifier: string): RunningRequest | undefined {
    return this.#requests.get(requestIdentifier);
  }

  /** Returns a call in progress, or undefined if there is none. */
  get(handle: AttemptIdentifier): CallInProgress | undefined {
    return this.#calls.get(handle);
  }
}
