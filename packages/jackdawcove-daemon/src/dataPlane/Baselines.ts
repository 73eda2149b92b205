/**
 * Baselines for experiments: overload control with some of its parts disabled.
 */

import type {AdmissionControllerOptions} from 'jackdawcove-admission';
import type {CallerSwitches} from 'jackdawcove-call';
import type {RoutingSwitches} from 'jackdawcove-routing';

import {createFixedLimit} from 'jackdawcove-admission';
import {DEFAULT_CALLER_SWITCHES} from 'jackdawcove-call';
import {DEFAULT_ROUTING_SWITCHES} from 'jackdawcove-routing';
import {match} from 'ts-pattern';

/**
 * Name of a baseline; `none` means that all of the overload control is active.
 */
export type BaselineName =
  'callerThrottling' | 'fixedLimit' | 'none' | 'noControl';

/** Options of admission, caller and routing under one baseline. */
export type BaselineOptions = {
  readonly admission: AdmissionControllerOptions;
  readonly caller: CallerSwitches;
  readonly routing: RoutingSwitches;
};

const FULL_CONTROL: BaselineOptions = {
  admission: {},
  caller: DEFAULT_CALLER_SWITCHES,
  routing: DEFAULT_ROUTING_SWITCHES,
};

const NO_CONTROL: BaselineOptions = {
  admission: {
    switches: {
      isDroppingExpired: false,
      isLimiting: false,
      isOrderedByPriority: false,
      isRamping: false,
      isShedByThreshold: false,
    },
  },
  caller: {
    ...DEFAULT_CALLER_SWITCHES,
    isQuarantining: false,
    isRetryAllowanceEnforced: false,
    isRetryBudgetEnforced: false,
    isSheddingByRoute: false,
  },
  routing: {
    isEjecting: false,
    isSheddingBeforeSending: false,
    isZoneAware: true,
  },
};

const FIXED_LIMIT: BaselineOptions = {
  ...NO_CONTROL,
  admission: {
    createLimitStrategy: createFixedLimit,
    switches: {
      isDroppingExpired: false,
      isLimiting: true,
      isOrderedByPriority: false,
      isRamping: false,
      isShedByThreshold: false,
    },
  },
};

const CALLER_THROTTLING: BaselineOptions = {
  ...FULL_CONTROL,
  admission: FIXED_LIMIT.admission,
  routing: {...FULL_CONTROL.routing, isSheddingBeforeSending: true},
};

/**
 * Returns the options of a baseline.
 *
 * @example
 * new AdmissionController(getBaselineOptions('none').admission);
 */
export function getBaselineOptions(baseline: BaselineName): BaselineOptions {
  return match(baseline)
    .with('callerThrottling', () => CALLER_THROTTLING)
    .with('fixedLimit', () => FIXED_LIMIT)
    .with('none', () => FULL_CONTROL)
    .with('noControl', () => NO_CONTROL)
    .exhaustive();
}
