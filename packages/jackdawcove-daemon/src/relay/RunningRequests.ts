/** Requests that the local backend server runs: the parents of its calls. */

import type {ServiceCost} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {RANK_COUNT, ServiceCostSum} from 'jackdawcove-relay';

import {RecentKeys} from './RecentKeys.js';

/** A request that the local backend server runs. */
export class RunningRequest {
  /** What the calls of the run used; undefined until one has reported it. */
  #costs: ServiceCostSum | undefined;
  readonly deadline: Milliseconds;
  failedCalls = 0;
  readonly isRepeat: boolean;
  readonly shedRank: number;
  #thresholdCount = 0;
  #thresholdSum = 0;

  constructor(deadline: Milliseconds, isRepeat: boolean, shedRank: number) {
    this.deadline = deadline;
    this.isRepeat = isRepeat;
    this.shedRank = shedRank;
  }

  /** Records the end of a call that the run made. */
  recordCall(threshold: number | undefined, isSuccess: boolean): void {
    if (threshold !== undefined) {
      this.#thresholdCount += 1;
      this.#thresholdSum += threshold;
    }
    this.failedCalls += isSuccess ? 0 : 1;
  }

  /** Adds what a call of the run used, also one that failed or was refused. */
  recordCosts(costs: readonly ServiceCost[]): void {
    this.#costs ??= new ServiceCostSum();
    this.#costs.addAll(costs);
  }

  /** Returns what the calls used so far; the caller may add to it. */
  getCosts(): ServiceCostSum {
    this.#costs ??= new ServiceCostSum();
    return this.#costs;
  }

  /** Mean threshold reported to the calls of the run; the highest if none was. */
  getDownstreamThreshold(): number {
    return this.#thresholdCount === 0
      ? RANK_COUNT
      : this.#thresholdSum / this.#thresholdCount;
  }
}

/** Finds the parent of a call by the identifier of its request. */
export class RunningRequests {
  /** Requests whose runs were cancelled. */
  readonly #cancelled = new RecentKeys();
  readonly #requests = new Map<string, RunningRequest>();

  add(requestIdentifier: string, request: RunningRequest): void {
    this.#cancelled.delete(requestIdentifier);
    this.#requests.set(requestIdentifier, request);
  }

  /** Records that a run was cancelled; its instance may not know that yet. */
  cancel(requestIdentifier: string, now: Milliseconds): void {
    this.#cancelled.add(requestIdentifier, now);
  }

  /** Whether the last run of a request was cancelled a short time ago. */
  isCancelled(requestIdentifier: string | undefined): boolean {
    return (
      requestIdentifier !== undefined && this.#cancelled.has(requestIdentifier)
    );
  }

  /** Forgets cancelled runs whose instances cannot make calls any more. */
  expireCancelled(now: Milliseconds): void {
    this.#cancelled.expire(now);
  }

  delete(requestIdentifier: string, request: RunningRequest): void {
    if (this.#requests.get(requestIdentifier) === request) {
      this.#requests.delete(requestIdentifier);
    }
  }

  find(requestIdentifier: string | undefined): RunningRequest | undefined {
    return requestIdentifier === undefined
      ? undefined
      : this.#requests.get(requestIdentifier);
  }
}
