export type {Organisation} from './Organisation.js';
export type {
  CallerLimits,
  Route,
  RoutedConfiguration,
  RouteTarget,
} from './Route.js';

export {DEFAULT_CALLER_LIMITS, routedConfigurationSchema} from './Route.js';
export {organisationSchema} from './Organisation.js';
export {findOrganisationFaults} from './findOrganisationFaults.js';
export {findRouteFaults} from './findRouteFaults.js';
export {RouteTable} from './RouteTable.js';
export {TrafficSplitter} from './TrafficSplitter.js';
