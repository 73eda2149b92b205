/** Concurrency limit and queue of one instance. */

import type {InstanceLoad} from '../packets/RelayPackets.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  MAXIMUM_FULLY_USED_SLOTS,
  USABLE_SLOT_SHARE,
} from '../RelayConstants.js';
import {PressureThreshold} from './PressureThreshold.js';

/** A request that waits for a slot. */
export type WaitingRequest = {
  readonly arrivedAt: Milliseconds;
  /** Time from which the request is no longer worth running. */
  readonly expiresAt: Milliseconds;
  readonly shedRank: number;
};

/** Decision on an offer: run it now, queue it, or refuse it. */
export type AdmissionDecision = 'full' | 'queued' | 'run';

/** Weight of the newest interval between two completions in its moving average. */
const COMPLETION_INTERVAL_WEIGHT = 0.05;

/**
 * Decides which requests an instance runs and which it queues. When demand exceeds
 * the slots, the queue is ordered by shed rank: important requests and the calls of
 * requests that already run elsewhere go first. A request that would not get a slot
 * in time is refused immediately.
 */
export class InstanceAdmission<Request extends WaitingRequest> {
  #completionInterval: Milliseconds = 0;
  #lastCompletionAt: Milliseconds | undefined;
  #limit = 0;
  readonly #pressure: PressureThreshold;
  #queue: Request[] = [];
  #running = 0;

  constructor(now: Milliseconds) {
    this.#pressure = new PressureThreshold(now);
  }

  getLoad(): InstanceLoad {
    return {
      limit: this.#limit,
      queued: this.#queue.length,
      running: this.#running,
      threshold: Math.round(this.#pressure.getThreshold()),
    };
  }

  /** Sets how many concurrent requests the instance announced. */
  setSlots(slots: number): void {
    this.#limit =
      slots <= MAXIMUM_FULLY_USED_SLOTS
        ? slots
        : Math.floor(slots * USABLE_SLOT_SHARE);
  }

  /**
   * Decides on an offer. A request with the decision `run` occupies a slot from now on.
   *
   * @example
   * if (admission.offer(request, now) === 'run') send(request);
   */
  offer(request: Request, now: Milliseconds): AdmissionDecision {
    if (this.#running < this.#limit && this.#queue.length === 0) {
      this.#start(request, now);
      return 'run';
    }
    const position = this.#findQueuePosition(request.shedRank);
    const expectedWait = (position + 1) * this.#completionInterval;
    if (this.#limit === 0 || now + expectedWait > request.expiresAt) {
      this.#pressure.recordWait(request.shedRank, expectedWait);
      return 'full';
    }
    this.#queue.splice(position, 0, request);
    return 'queued';
  }

  /** Dequeues the next request that may run; it occupies a slot from now on. */
  takeNext(now: Milliseconds): Request | undefined {
    if (this.#running >= this.#limit) {
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
    this.#running -= 1;
    if (runTime !== undefined) {
      this.#pressure.recordRunTime(runTime);
    }
    if (this.#lastCompletionAt !== undefined && this.#queue.length > 0) {
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
