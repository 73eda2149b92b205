export type {
  ClaimHistory,
  ClaimRun,
  ClaimSend,
  ClaimViolation,
  ClaimViolationKind,
  ReportedOutcome,
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
export type {
  FaultCase,
  FaultEvidence,
  FaultProof,
  FaultRow,
  FaultStep,
} from './FaultMatrix.js';
export {
  CALL_STEPS,
  CHANGE_STEPS,
  FAULT_ROWS,
  faultCaseSchema,
  PROMISES,
} from './FaultMatrix.js';
export {FAULT_CASES} from './FaultMatrixCases.js';
export {formatFaultMatrix} from './formatFaultMatrix.js';
