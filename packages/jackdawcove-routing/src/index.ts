export type {InstanceCandidate} from './InstanceCandidate.js';
export type {
  Choice,
  ChoiceRequest,
  InstanceChooserOptions,
  RoutingSwitches,
} from './InstanceChooser.js';
export type {CallOutcome, ReportedLoad} from './InstanceState.js';

export {DEFAULT_ROUTING_SWITCHES, InstanceChooser} from './InstanceChooser.js';
export {RouteThresholds} from './RouteThresholds.js';
export {
  CONSECUTIVE_FAILURES_TO_EJECT,
  NEVER_EJECTED_SHARE,
  SUBSET_SIZE,
} from './RoutingConstants.js';
export {decayThreshold, pickSubset} from './RoutingUtils.js';

export {RouteCircuitBreakers} from './RouteCircuitBreakers.js';
