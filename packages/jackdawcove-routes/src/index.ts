export type {
  CallerLimits,
  Route,
  RoutedConfiguration,
  RouteTarget,
} from './Route.js';

export {DEFAULT_CALLER_LIMITS, routedConfigurationSchema} from './Route.js';
export {findRouteFaults} from './findRouteFaults.js';
export {RouteTable} from './RouteTable.js';
export {TrafficSplitter} from './TrafficSplitter.js';
