export type {AccessDecision, AccessRequest} from './decideAccess.js';
export type {
  Confirmation,
  ConfirmedRevision,
  FreshnessOptions,
  Moment,
} from './ConfigurationFreshness.js';
export {ConfigurationFreshness} from './ConfigurationFreshness.js';
export {decideAccess} from './decideAccess.js';
export {OrganisationTable} from './OrganisationTable.js';
