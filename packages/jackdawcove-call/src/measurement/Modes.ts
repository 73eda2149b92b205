/** Modes of overload control: full control, its variants and the baselines. */

import type {CallerSwitches} from '../index.js';
import type {
  AdmissionSwitches,
  CreateLimitStrategy,
} from 'jackdawcove-admission';
import type {RoutingSwitches} from 'jackdawcove-routing';

import {
  createAimdLimit,
  createFixedLimit,
  createGradientLimit,
  createTrialLimit,
  DEFAULT_ADMISSION_SWITCHES,
} from 'jackdawcove-admission';
import {DEFAULT_ROUTING_SWITCHES} from 'jackdawcove-routing';

import {DEFAULT_CALLER_SWITCHES} from '../index.js';

/** Mechanisms that are enabled in a measurement. */
export type Mode = {
  readonly admission: AdmissionSwitches;
  readonly caller: CallerSwitches;
  readonly createLimitStrategy: CreateLimitStrategy;
  /** Whether backend servers stop work that was aborted. */
  readonly isCancelling: boolean;
  /** Whether callers throttle themselves by their success ratio. */
  readonly isThrottlingCallers: boolean;
  readonly name: string;
  readonly routing: RoutingSwitches;
};

const UNCONTROLLED_CALLER: CallerSwitches = {
  isCohortInherited: true,
  isImportanceInherited: true,
  isIsolatingSuspects: false,
  isQuarantining: false,
  isRetryAllowanceEnforced: false,
  isRetryBudgetEnforced: false,
  isSheddingByRoute: false,
};

const UNCONTROLLED_ROUTING: RoutingSwitches = {
  isEjecting: false,
  isSheddingBeforeSending: false,
  isZoneAware: true,
};

/** Every mechanism enabled. */
export const FULL_CONTROL: Mode = {
  admission: DEFAULT_ADMISSION_SWITCHES,
  caller: DEFAULT_CALLER_SWITCHES,
  createLimitStrategy: createFixedLimit,
  isCancelling: true,
  isThrottlingCallers: false,
  name: 'ours',
  routing: DEFAULT_ROUTING_SWITCHES,
};

/** Full control with a concurrency limit found by trials. */
export const FULL_CONTROL_WITH_TRIALS: Mode = {
  ...FULL_CONTROL,
  createLimitStrategy: createTrialLimit,
  name: 'ours, trials',
};

/** Full control with additive increase, multiplicative decrease of limits. */
export const FULL_CONTROL_WITH_AIMD: Mode = {
  ...FULL_CONTROL,
  createLimitStrategy: createAimdLimit,
  name: 'ours, AIMD',
};

/** Full control with a limit that follows the gradient of the latency. */
export const FULL_CONTROL_WITH_GRADIENT: Mode = {
  ...FULL_CONTROL,
  createLimitStrategy: createGradientLimit,
  name: 'ours, gradient',
};

/** Full control without the admission threshold: only a priority queue. */
export const FULL_CONTROL_WITHOUT_THRESHOLD: Mode = {
  ...FULL_CONTROL,
  admission: {...DEFAULT_ADMISSION_SWITCHES, isShedByThreshold: false},
  name: 'ours, no threshold',
};

/** Full control without shedding at the callers. */
export const FULL_CONTROL_WITHOUT_CALLER_SHEDDING: Mode = {
  ...FULL_CONTROL,
  caller: {...DEFAULT_CALLER_SWITCHES, isSheddingByRoute: false},
  name: 'ours, no caller shedding',
  routing: {...DEFAULT_ROUTING_SWITCHES, isSheddingBeforeSending: false},
};

/** Full control without shedding at the root by downstream thresholds. */
export const FULL_CONTROL_WITHOUT_ROUTE_SHEDDING: Mode = {
  ...FULL_CONTROL,
  caller: {...DEFAULT_CALLER_SWITCHES, isSheddingByRoute: false},
  name: 'ours, no route shedding',
};

/** Full control with a separate cohort at each hop. */
export const FULL_CONTROL_WITH_COHORT_PER_HOP: Mode = {
  ...FULL_CONTROL,
  caller: {...DEFAULT_CALLER_SWITCHES, isCohortInherited: false},
  name: 'ours, cohort per hop',
};

/** Full control while hops determine the importance by two revisions. */
export const FULL_CONTROL_WITH_MIXED_REVISIONS: Mode = {
  ...FULL_CONTROL,
  caller: {...DEFAULT_CALLER_SWITCHES, isImportanceInherited: false},
  name: 'ours, mixed revisions',
};

/** No limit, no queue in the daemon, no shedding. */
export const NO_CONTROL: Mode = {
  admission: {
    isDroppingExpired: false,
    isLimiting: false,
    isOrderedByPriority: false,
    isRamping: false,
    isShedByThreshold: false,
  },
  caller: UNCONTROLLED_CALLER,
  createLimitStrategy: createFixedLimit,
  isCancelling: false,
  isThrottlingCallers: false,
  name: 'no control',
  routing: UNCONTROLLED_ROUTING,
};

/** A limit equal to the announced slots and a bounded FIFO queue. */
export const FIXED_LIMIT: Mode = {
  ...NO_CONTROL,
  admission: {
    isDroppingExpired: true,
    isLimiting: true,
    isOrderedByPriority: false,
    isRamping: false,
    isShedByThreshold: false,
  },
  isCancelling: true,
  name: 'fixed limit',
};

/** Adaptive throttling at the callers, no control at the servers. */
export const CALLER_THROTTLING: Mode = {
  ...NO_CONTROL,
  isThrottlingCallers: true,
  name: 'caller throttling',
};

/** All modes, in the order in which the measurements print them. */
export const MODES: readonly Mode[] = [
  FULL_CONTROL,
  FULL_CONTROL_WITH_TRIALS,
  FULL_CONTROL_WITH_AIMD,
  FULL_CONTROL_WITH_GRADIENT,
  FULL_CONTROL_WITH_COHORT_PER_HOP,
  FULL_CONTROL_WITH_MIXED_REVISIONS,
  FULL_CONTROL_WITHOUT_THRESHOLD,
  FULL_CONTROL_WITHOUT_CALLER_SHEDDING,
  FULL_CONTROL_WITHOUT_ROUTE_SHEDDING,
  FIXED_LIMIT,
  CALLER_THROTTLING,
  NO_CONTROL,
];
