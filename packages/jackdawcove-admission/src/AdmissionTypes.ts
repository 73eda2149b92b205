/** Settings, effects and load of admission control. */

import type {CreateLimitStrategy} from './ConcurrencyLimit.js';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';

/** Mechanisms that can be switched off for measurements and baselines. */
export type AdmissionSwitches = {
  readonly isDroppingExpired: boolean;
  /** When false, there is no limit and no queue: every request is admitted. */
  readonly isLimiting: boolean;
  /** When false, the queue is first in, first out, and a full queue refuses arrivals. */
  readonly isOrderedByPriority: boolean;
  readonly isRamping: boolean;
  readonly isShedByThreshold: boolean;
};

/** Every mechanism switched on. */
export const DEFAULT_ADMISSION_SWITCHES: AdmissionSwitches = {
  isDroppingExpired: true,
  isLimiting: true,
  isOrderedByPriority: true,
  isRamping: true,
  isShedByThreshold: true,
};

/** Settings of an admission controller. */
export type AdmissionControllerOptions = {
  readonly createLimitStrategy?: CreateLimitStrategy;
  readonly switches?: AdmissionSwitches;
};

/** Capacity that a backend server announced. */
export type AnnouncedCapacity = {
  readonly connections: number;
  readonly slots: number;
};

/** How an admitted request ended. */
export type Completion = {
  readonly isSuccess: boolean;
  /** Time spent in the backend server itself, without the calls that it made. */
  readonly ownMilliseconds: Milliseconds;
};

/** Effects of admission decisions. */
export type AdmissionEffect =
  | {readonly kind: 'admit'; readonly identifier: string}
  | {
      readonly kind: 'refuse';
      readonly identifier: string;
      readonly result: ResultName;
      readonly retryAfterMilliseconds: Milliseconds;
    };

/** Load of a backend server as seen by admission control. */
export type AdmissionLoad = {
  readonly inFlight: number;
  readonly limit: number;
  readonly queued: number;
  readonly queueingDelayMilliseconds: Milliseconds;
  readonly threshold: number;
};
