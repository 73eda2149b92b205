/**
 * Admission control of one backend server.
 *
 * The number of requests in flight stays within the limit. Further requests wait in a
 * short queue, ordered strictly by importance and then by cohort; when it is full, a
 * more important arrival displaces the least important entry. Pressure is derived from
 * the queue, not from health endpoints.
 */

import type {AdmissionRequest, QueueEntry} from './AdmissionQueue.js';
import type {
  AdmissionControllerOptions,
  AdmissionEffect,
  AdmissionLoad,
  AdmissionSwitches,
  AnnouncedCapacity,
  Completion,
} from './AdmissionTypes.js';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';

import {invariant} from 'jackdawcove-shared';

import {
  MAXIMUM_EXCLUSIVE_ENTRIES,
  MAXIMUM_QUEUEING_MILLISECONDS,
  MINIMUM_QUEUE_ENTRIES,
  QUEUE_ENTRIES_PER_SLOT,
  QUEUEING_DELAY_WEIGHT,
} from './AdmissionConstants.js';
import {AdmissionQueue} from './AdmissionQueue.js';
import {DEFAULT_ADMISSION_SWITCHES} from './AdmissionTypes.js';
import {
  getRetryAfter,
  isUrgent,
  LOWEST_URGENT_PRIORITY,
} from './AdmissionUtils.js';
import {ConcurrencyLimit} from './ConcurrencyLimit.js';
import {createFixedLimit} from './LimitStrategies.js';
import {MAXIMUM_THRESHOLD, ThresholdController} from './ThresholdController.js';

const UNKNOWN_REQUEST_INVARIANT = 10;

/** Decides which requests a backend server runs, and when. */
export class AdmissionController {
  #effects: AdmissionEffect[] = [];
  readonly #exclusiveQueue: AdmissionRequest[] = [];
  #isExclusiveRunning = false;
  readonly #limit: ConcurrencyLimit;
  #nonUrgentRunning = 0;
  readonly #queue = new AdmissionQueue();
  #queueingDelay = 0;
  readonly #running = new Map<string, AdmissionRequest>();
  readonly #switches: AdmissionSwitches;
  readonly #threshold = new ThresholdController();

  constructor(options: AdmissionControllerOptions = {}) {
    this.#switches = options.switches ?? DEFAULT_ADMISSION_SWITCHES;
    this.#limit = new ConcurrencyLimit({
      createStrategy: options.createLimitStrategy ?? createFixedLimit,
      isRamping: this.#switches.isRamping,
    });
  }

  /** Handles the start of a backend server: the limit ramps up from a few slots. */
  start(capacity: AnnouncedCapacity): void {
    this.#limit.start(getMaximumLimit(capacity));
  }

  /** Handles a change of the capacity that the backend server announced. */
  resize(
    capacity: AnnouncedCapacity,
    now: Milliseconds,
  ): readonly AdmissionEffect[] {
    this.#limit.setMaximum(getMaximumLimit(capacity));
    this.#dispatch(now);
    return this.#takeEffects();
  }

  /** Admits, queues or refuses a request. */
  offer(
    request: AdmissionRequest,
    now: Milliseconds,
  ): readonly AdmissionEffect[] {
    this.#advance(now);
    this.#threshold.recordArrival(request.priority);
    if (this.#isExpired(request, now)) {
      this.#refuse(request, 'deadlineExceededBeforeDispatch');
    } else if (request.isExclusive) {
      this.#offerExclusive(request, now);
    } else if (this.#canAdmitImmediately()) {
      this.#admitToFreeSlot(request);
    } else {
      this.#enqueue(request, now);
    }
    return this.#takeEffects();
  }

  /** Handles the end of an admitted request: its slot goes to the next request. */
  complete(
    identifier: string,
    completion: Completion,
    now: Milliseconds,
  ): readonly AdmissionEffect[] {
    const request = this.#running.get(identifier);
    invariant(request !== undefined, UNKNOWN_REQUEST_INVARIANT, identifier);
    const inFlight = this.#running.size;
    this.#running.delete(identifier);
    this.#nonUrgentRunning -= isUrgent(request.importance) ? 0 : 1;
    this.#isExclusiveRunning &&= !request.isExclusive;
    this.#threshold.recordCompletion();
    this.#limit.record({...completion, inFlight}, now);
    this.#advance(now);
    this.#dispatch(now);
    return this.#takeEffects();
  }

  /** Removes a request from the queue, without an effect that refuses it. */
  withdraw(identifier: string): boolean {
    const isMatch = (request: AdmissionRequest): boolean =>
      request.identifier === identifier;
    const index = this.#exclusiveQueue.findIndex(isMatch);
    if (index >= 0) {
      this.#exclusiveQueue.splice(index, 1);
      return true;
    }
    return this.#queue.takeWhere(({request}) => isMatch(request)).length > 0;
  }

  /** Refuses all queued requests. */
  refuseQueued(result: ResultName): readonly AdmissionEffect[] {
    const queued = this.#queue.takeWhere(() => true);
    const waiting = [
      ...queued.map(({request}) => request),
      ...this.#exclusiveQueue,
    ];
    this.#exclusiveQueue.length = 0;
    for (const request of waiting) {
      this.#refuse(request, result);
    }
    return this.#takeEffects();
  }

  /** Refuses the requests that expired in the queue; ends the window when it is over. */
  tick(now: Milliseconds): readonly AdmissionEffect[] {
    this.#advance(now);
    for (const entry of this.#queue.takeWhere((entry) =>
      this.#isOverdue(entry, now),
    )) {
      this.#refuseOverdue(entry, now);
    }
    this.#refuseExpiredExclusive(now);
    this.#dispatch(now);
    return this.#takeEffects();
  }

  /** Load of the backend server. */
  getLoad(): AdmissionLoad {
    return {
      inFlight: this.#running.size,
      limit: this.#limit.getLimit(),
      queued: this.#queue.getLength() + this.#exclusiveQueue.length,
      queueingDelayMilliseconds: this.#getQueueingDelay(),
      threshold: this.#getThreshold(),
    };
  }

  #offerExclusive(request: AdmissionRequest, now: Milliseconds): void {
    if (this.#exclusiveQueue.length >= MAXIMUM_EXCLUSIVE_ENTRIES) {
      this.#refuse(request, 'suspectWaiting');
      return;
    }
    this.#exclusiveQueue.push(request);
    this.#dispatch(now);
  }

  #refuseExpiredExclusive(now: Milliseconds): void {
    const waiting = this.#exclusiveQueue.splice(0);
    for (const request of waiting) {
      if (this.#isExpired(request, now)) {
        this.#refuse(request, 'deadlineExceededBeforeDispatch');
      } else {
        this.#exclusiveQueue.push(request);
      }
    }
  }

  #admitToFreeSlot(request: AdmissionRequest): void {
    this.#threshold.recordQueueShare(0);
    this.#recordWait(0);
    this.#admit(request);
  }

  #enqueue(request: AdmissionRequest, now: Milliseconds): void {
    const isBelowThreshold = request.priority < this.#getThreshold();
    if (isBelowThreshold && !this.#isProtected(request)) {
      this.#refuse(request, 'shedByAdmission');
      return;
    }
    this.#queue.add({
      enqueuedAt: now,
      request: this.#switches.isOrderedByPriority
        ? request
        : {...request, priority: 0},
    });
    if (this.#queue.getLength() > this.#getMaximumQueueLength()) {
      this.#refuseLast();
    }
  }

  /** Refuses the least important queued request, unless it is protected. */
  #refuseLast(): void {
    const last = this.#queue.getLast();
    if (last === undefined || this.#isProtected(last.request)) {
      return;
    }
    this.#queue.takeLast();
    this.#refuse(last.request, 'shedByAdmission');
  }

  #dispatch(now: Milliseconds): void {
    while (this.#exclusiveQueue.length > 0 && this.#running.size === 0) {
      const request = this.#exclusiveQueue.shift() as AdmissionRequest;
      if (this.#isExpired(request, now)) {
        this.#refuse(request, 'deadlineExceededBeforeDispatch');
      } else {
        this.#isExclusiveRunning = true;
        this.#admit(request);
      }
    }
    while (this.#canDispatch()) {
      const entry = this.#queue.takeFirst();
      if (entry === undefined) {
        this.#threshold.recordQueueShare(0);
        return;
      }
      this.#dispatchEntry(entry, now);
    }
  }

  #dispatchEntry(entry: QueueEntry, now: Milliseconds): void {
    if (this.#isExpired(entry.request, now)) {
      this.#refuseOverdue(entry, now);
      return;
    }
    this.#recordWait(now - entry.enqueuedAt);
    this.#threshold.recordQueueShare(this.#getQueueShare());
    this.#admit(entry.request);
  }

  #refuseOverdue(entry: QueueEntry, now: Milliseconds): void {
    this.#recordWait(now - entry.enqueuedAt);
    const isExpired = this.#isExpired(entry.request, now);
    this.#refuse(
      entry.request,
      isExpired ? 'deadlineExceededBeforeDispatch' : 'shedByAdmission',
    );
  }

  #admit(request: AdmissionRequest): void {
    this.#running.set(request.identifier, request);
    this.#nonUrgentRunning += isUrgent(request.importance) ? 0 : 1;
    this.#effects.push({identifier: request.identifier, kind: 'admit'});
  }

  #refuse(request: AdmissionRequest, result: ResultName): void {
    const threshold = this.#getThreshold();
    this.#effects.push({
      identifier: request.identifier,
      kind: 'refuse',
      result,
      retryAfterMilliseconds: getRetryAfter(request.priority, threshold),
    });
  }

  #advance(now: Milliseconds): void {
    const maximum = this.#hasNonUrgent()
      ? LOWEST_URGENT_PRIORITY
      : MAXIMUM_THRESHOLD;
    this.#threshold.advance(now, this.#getQueueShare(), maximum);
  }

  #recordWait(milliseconds: Milliseconds): void {
    this.#queueingDelay +=
      (milliseconds - this.#queueingDelay) * QUEUEING_DELAY_WEIGHT;
  }

  #takeEffects(): readonly AdmissionEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #getThreshold(): number {
    return this.#switches.isShedByThreshold
      ? this.#threshold.getThreshold()
      : 0;
  }

  #getMaximumQueueLength(): number {
    const entries = this.#limit.getLimit() * QUEUE_ENTRIES_PER_SLOT;
    return Math.max(MINIMUM_QUEUE_ENTRIES, Math.ceil(entries));
  }

  /** The delay is 0 while the queue is empty, regardless of earlier waits. */
  #getQueueingDelay(): Milliseconds {
    return this.#queue.getLength() === 0 ? 0 : this.#queueingDelay;
  }

  #getQueueShare(): number {
    return this.#queue.getLength() / this.#getMaximumQueueLength();
  }

  #canAdmitImmediately(): boolean {
    return this.#canDispatch() && this.#queue.getLength() === 0;
  }

  #canDispatch(): boolean {
    if (!this.#switches.isLimiting) {
      return true;
    }
    const isReserved =
      this.#exclusiveQueue.length > 0 || this.#isExclusiveRunning;
    return !isReserved && this.#running.size < this.#limit.getLimit();
  }

  #isExpired(request: AdmissionRequest, now: Milliseconds): boolean {
    return this.#switches.isDroppingExpired && now >= request.deadline;
  }

  #isOverdue(entry: QueueEntry, now: Milliseconds): boolean {
    const isTooOld = now - entry.enqueuedAt > MAXIMUM_QUEUEING_MILLISECONDS;
    return (
      this.#isExpired(entry.request, now) ||
      (isTooOld && !this.#isProtected(entry.request))
    );
  }

  /** Urgent requests are shed only when no less important request waits or runs. */
  #isProtected(request: AdmissionRequest): boolean {
    return (
      this.#switches.isOrderedByPriority &&
      isUrgent(request.importance) &&
      this.#hasNonUrgent()
    );
  }

  #hasNonUrgent(): boolean {
    const lastImportance = this.#queue.getLast()?.request.importance;
    const isNonUrgentQueued =
      lastImportance !== undefined && !isUrgent(lastImportance);
    return this.#nonUrgentRunning > 0 || isNonUrgentQueued;
  }
}

function getMaximumLimit(capacity: AnnouncedCapacity): number {
  return Math.min(capacity.slots, capacity.connections);
}
