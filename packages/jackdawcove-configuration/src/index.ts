export type {
  ConfigurationDocument,
  DocumentEntry,
  DocumentSection,
} from './ConfigurationDocument.js';
export type {ConfigurationFault} from './ConfigurationFault.js';
export type {ConfigurationDifference} from './diffConfigurations.js';
export type {
  ConfigurationException,
  FleetConfiguration,
} from './FleetConfiguration.js';
export type {AcceptedConfiguration} from './parseFleetConfiguration.js';
export type {PolicyQuery, RequestPolicy} from './PolicyTable.js';
export type {PolicyKey, PolicyValues} from './PolicyValues.js';
export type {RequestMatcher} from './RequestMatcher.js';

export {
  MAXIMUM_DOCUMENT_BYTES,
  MAXIMUM_EXCEPTIONS,
} from './ConfigurationConstants.js';
export {digestConfiguration} from './ConfigurationDigest.js';
export {parseDocument} from './ConfigurationDocument.js';
export {formatConfigurationFault} from './ConfigurationFault.js';
export {diffConfigurations, formatDifference} from './diffConfigurations.js';
export {
  DEFAULT_CONFIGURATION_TEXT,
  formatConfiguration,
} from './formatConfiguration.js';
export {
  parseFleetConfiguration,
  readAcceptedConfiguration,
} from './parseFleetConfiguration.js';
export {compilePolicies, PolicyTable} from './PolicyTable.js';
export {
  APPLIED_POLICY_KEYS,
  DEFAULT_POLICY_VALUES,
  POLICY_KEYS,
  policyValuesSchema,
  toDocumentKey,
  UNAPPLIED_POLICY_KEYS,
} from './PolicyValues.js';
