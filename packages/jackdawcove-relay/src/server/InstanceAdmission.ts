/** Concurrency limit and queue of one instance. */

import type {ConditionReport, InstanceLoad} from '../packets/InstanceLoad.js';
import type {InstanceCondition} from './InstanceCondition.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  MAXIMUM_FULLY_USED_SLOTS,
  USABLE_SLOT_SHARE,
} from '../RelayConstants.js';
import {PressureThreshold} from './PressureThreshold.js';
import {RequestRateLimiter} from './RequestRateLimiter.js';

/** A request that waits for a slot. */
export type WaitingRequest = {
  readonly arrivedAt: Milliseconds;
  /** Time from which the request is no longer worth running. */
  readonly expiresAt: Milliseconds;
  /** Whether the caller's daemon knew the rate limit when it chose the instance. */
  readonly isRateLimitKnown: boolean;
  readonly shedRank: number;
};

/** Decision on an offer: run it now, queue it, or refuse it. */
export type AdmissionDecision = 'full' | 'queued' | 'run';

/** Weight of the newest interval between two completions in its moving average. */
const COMPLETION_INTERVAL_WEIGHT = 0.05;

/**
 * Decides which requests an instance runs and which it queues. When demand exceeds
 * the slots, or the rate that the instance takes, the queue is ordered by shed rank:
 * important requests and the calls of requests that already run elsewhere go first. A
 * request that would not get a slot in time is refused immediately.
 */
export class InstanceAdmission<Request extends WaitingRequest> {
  #completionInterval: Milliseconds = 0;
  /** Undefined until the process of the instance has answered. */
  #condition: InstanceCondition | undefined;
  #lastCompletionAt: Milliseconds | undefined;
  #limit = 0;
  readonly #pressure: PressureThreshold;
  #queue: Request[] = [];
  readonly #rateLimiter = new RequestRateLimiter();
  #running = 0;

  constructor(now: Milliseconds) {
    this.#pressure = new PressureThreshold(now);
  }

  getLoad(now: Milliseconds): InstanceLoad {
    const queued = this.#queue.length;
    return {
      condition: this.#getConditionReport(now),
      limit: this.#limit,
      queued,
      running: this.#running,
      threshold: Math.round(this.#pressure.getThreshold()),
    };
  }

  getThreshold(): number {
    return this.#pressure.getThreshold();
  }

  /** Sets how many concurrent requests the instance announced. */
  setSlots(slots: number): void {
    this.#limit =
      slots <= MAXIMUM_FULLY_USED_SLOTS
        ? slots
        : Math.floor(slots * USABLE_SLOT_SHARE);
  }

  /** Applies the condition that the instance stated. */
  setCondition(condition: InstanceCondition, now: Milliseconds): void {
    const {requestsPerSecond} = condition;
    this.#condition = condition;
    if (
      requestsPerSecond === undefined &&
      this.#rateLimiter.getRate() !== undefined
    ) {
      this.#pressure.reset();
    }
    this.#setRate(requestsPerSecond, now);
  }

  /**
   * Applies a rate limit that another daemon knows, until the instance itself states
   * its condition.
   */
  assumeRequestRate(requestsPerSecond: number, now: Milliseconds): void {
    if (this.#condition === undefined) {
      this.#setRate(requestsPerSecond, now);
    }
  }

  /** Forgets the condition; a new process of the instance has stated nothing yet. */
  resetCondition(now: Milliseconds): void {
    this.#condition = undefined;
    this.#setRate(undefined, now);
  }

  /**
   * Decides on an offer. A request with the decision `run` occupies a slot from now on.
   *
   * @example
   * if (admission.offer(request, now) === 'run') send(request);
   */
  offer(request: Request, now: Milliseconds): AdmissionDecision {
    if (
      this.#running < this.#limit &&
      this.#queue.length === 0 &&
      this.#rateLimiter.tryTake(now)
    ) {
      this.#start(request, now);
      return 'run';
    }
    const position = this.#findQueuePosition(request.shedRank);
    const expectedWait = Math.max(
      (position + 1) * this.#completionInterval,
      this.#rateLimiter.getWait(position, now),
    );
    if (
      this.#limit === 0 ||
      now + expectedWait > request.expiresAt ||
      this.#mustLearnRateLimit(request)
    ) {
      this.#pressure.recordWait(request.shedRank, expectedWait);
      return 'full';
    }
    this.#queue.splice(position, 0, request);
    return 'queued';
  }

  /** Dequeues the next request that may run; it occupies a slot from now on. */
  takeNext(now: Milliseconds): Request | undefined {
    if (
      this.#running >= this.#limit ||
      this.#queue.length === 0 ||
      !this.#rateLimiter.tryTake(now)
    ) {
      return undefined;
    }
    const request = this.#queue.shift();
    if (request !== undefined) {
      this.#start(request, now);
    }
    return request;
  }

  /** Removes and returns the queued requests that have expired. */
  takeExpired(now: Milliseconds): readonly Request[] {
    if (!this.#queue.some(({expiresAt}) => expiresAt <= now)) {
      return [];
    }
    const expired = this.#queue.filter(({expiresAt}) => expiresAt <= now);
    this.#queue = this.#queue.filter(({expiresAt}) => expiresAt > now);
    for (const {arrivedAt, shedRank} of expired) {
      this.#pressure.recordWait(shedRank, now - arrivedAt);
    }
    return expired;
  }

  /** Empties the queue and returns its requests. */
  takeAll(): readonly Request[] {
    const all = this.#queue;
    this.#queue = [];
    return all;
  }

  /** Frees the slot of a request; `runTime` is absent when the request did not run. */
  release(now: Milliseconds, runTime?: Milliseconds): void {
    const wasFull = this.#running >= this.#limit;
    this.#running -= 1;
    if (runTime !== undefined) {
      this.#pressure.recordRunTime(runTime);
    }
    // Only while all slots are in use do completions show how fast a queue moves.
    if (
      this.#lastCompletionAt !== undefined &&
      wasFull &&
      this.#queue.length > 0
    ) {
      const interval = now - this.#lastCompletionAt;
      this.#completionInterval +=
        COMPLETION_INTERVAL_WEIGHT * (interval - this.#completionInterval);
    }
    this.#lastCompletionAt = now;
  }

  /** Removes a request from the queue; returns false when it is not queued. */
  remove(request: Request): boolean {
    const index = this.#queue.indexOf(request);
    if (index >= 0) {
      this.#queue.splice(index, 1);
    }
    return index >= 0;
  }

  tick(now: Milliseconds): void {
    for (const {arrivedAt, shedRank} of this.#queue) {
      this.#pressure.recordWait(shedRank, now - arrivedAt);
    }
    this.#pressure.tick(now);
  }

  /** A caller that does not know the limit may have better choices than to wait. */
  #mustLearnRateLimit({isRateLimitKnown}: Request): boolean {
    return !isRateLimitKnown && this.#rateLimiter.getRate() !== undefined;
  }

  #setRate(requestsPerSecond: number | undefined, now: Milliseconds): void {
    this.#rateLimiter.setRate(requestsPerSecond, now);
    this.#pressure.setStartInterval(this.#rateLimiter.getStartInterval());
  }

  #getConditionReport(now: Milliseconds): ConditionReport | undefined {
    const requestsPerSecond = this.#rateLimiter.getRate();
    if (requestsPerSecond === undefined && this.#condition === undefined) {
      return undefined;
    }
    const startDelayMilliseconds = this.#rateLimiter.getWait(
      this.#queue.length,
      now,
    );
    const isLeaving = this.#condition?.isLeaving ?? false;
    return {isLeaving, requestsPerSecond, startDelayMilliseconds};
  }

  #start(request: Request, now: Milliseconds): void {
    this.#running += 1;
    this.#pressure.recordWait(request.shedRank, now - request.arrivedAt);
  }

  /** Finds the position behind the last request that is at least as important. */
  #findQueuePosition(shedRank: number): number {
    let position = this.#queue.length;
    while (
      position > 0 &&
      (this.#queue[position - 1]?.shedRank ?? 0) > shedRank
    ) {
      position -= 1;
    }
    return position;
  }
}
