export type {
  ClaimHistory,
  ClaimRun,
  ClaimSend,
  ClaimViolation,
  ClaimViolationKind,
  ToldOutcome,
} from './ClaimHistoryChecker.js';

export {ClaimHistoryChecker} from './ClaimHistoryChecker.js';
export {
  createConfigurationModel,
  findVersionViolation,
  isLinearizable,
} from './ConfigurationHistoryChecker.js';
export type {
  ConfigurationInput,
  ConfigurationModelState,
  ConfigurationOutput,
  Operation,
  SequentialModel,
  VersionObservation,
} from './ConfigurationHistoryChecker.js';
