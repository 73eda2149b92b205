/** Settings, effects and load of admission. */

import type {CreateLimitStrategy} from './ConcurrencyLimit.js';
import type {Milliseconds, ResultName} from 'jackdawcove-shared';

/** Mechanisms that can be switched off, for measurement and as baselines. */
export type AdmissionSwitches = {
  readonly isDroppingExpired: boolean;
  /** False: no limit and no queue, everything is admitted. */
  readonly isLimiting: boolean;
  /** False: a queue in order of arrival, the newest is refused when it is full. */
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

/** What a backend server announced. */
export type AnnouncedCapacity = {
  readonly connections: number;
  readonly slots: number;
};

/** How an admitted request ended. */
export type Completion = {
  readonly isSuccess: boolean;
  /** Time spent in the backend server itself, without its own calls. */
  readonly ownMilliseconds: Milliseconds;
};

/** Effects of admission. */
export type AdmissionEffect =
  | {readonly kind: 'admit'; readonly identifier: string}
  | {
      readonly kind: 'refuse';
      readonly identifier: string;
      readonly result: ResultName;
      readonly retryAfterMilliseconds: Milliseconds;
    };

/** Load of the backend server as admission sees it. */
export type AdmissionLoad = {
  readonly inFlight: number;
  readonly limit: number;
  readonly queued: number;
  readonly queueingDelayMilliseconds: Milliseconds;
  readonly threshold: number;
};
