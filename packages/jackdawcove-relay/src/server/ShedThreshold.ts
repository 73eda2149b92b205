/** Shed threshold of an instance. */

import type {Milliseconds} from 'jackdawcove-shared';

/** State of an instance's slots and queue. */
export type SlotUse = {
  /** Requests that the instance may run concurrently. */
  readonly limit: number;
  readonly queued: number;
};

/** Derives the rank from which requests are refused at their root. */
export type ShedThreshold = {
  /**
   * Rank that orders the queue; requests of equal rank run in order of arrival. It may
   * change with the threshold alone.
   */
  getQueueRank(shedRank: number): number;
  getThreshold(): number;
  recordArrival(shedRank: number): void;
  recordRunTime(runTime: Milliseconds): void;
  /** Records how long a request waited for its slot, or has waited so far. */
  recordWait(shedRank: number, wait: Milliseconds): void;
  /** Refuses nothing from now on; the cause of the waits so far has ended. */
  reset(): void;
  /** Sets the time between two requests that a rate limit imposes; 0: no limit. */
  setStartInterval(interval: Milliseconds): void;
  tick(now: Milliseconds, use: SlotUse): void;
};
