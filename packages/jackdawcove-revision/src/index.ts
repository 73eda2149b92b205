export type {
  ConfigurationChange,
  ConfigurationRecord,
  HistoryRecord,
  VoterChange,
} from './ConfigurationChange.js';
export type {ConfigurationCommand} from './ConfigurationCommand.js';
export type {ChangeOutcome, ConfigurationState} from './ConfigurationState.js';
export type {ChangedPart} from './ConfigurationStateMachine.js';
export type {ReplicaSetStepInput} from './planReplicaSetStep.js';
export type {
  BootstrapInput,
  ReplicaAnnouncement,
} from './ReplicaAnnouncements.js';
export type {SpreadEffect, SpreadOptions} from './RevisionSpread.js';
export type {
  RecordVersion,
  SpreadMessage,
  SpreadRecord,
  SpreadTopic,
} from './SpreadMessages.js';
export type {Confirmation} from './StartUpGate.js';
export type {
  VoterCandidate,
  VoterPlacementInput,
  VoterTargetChange,
  VoterTargetReason,
} from './VoterPlacement.js';

export {
  ALLOWED_VOTER_COUNTS,
  configurationChangeSchema,
  configurationRecordSchema,
  historyRecordSchema,
  MAXIMUM_DOCUMENT_LENGTH,
  revisionSchema,
  voterChangeSchema,
} from './ConfigurationChange.js';
export {configurationCommandSchema} from './ConfigurationCommand.js';
export {INITIAL_CONFIGURATION_STATE} from './ConfigurationState.js';
export {ConfigurationStateMachine} from './ConfigurationStateMachine.js';
export {
  createConfigurationSpreadRecord,
  createLeaderSpreadRecord,
  createLedgerSpreadRecord,
  createVotersSpreadRecord,
  leaderRecordSchema,
  votersRecordSchema,
} from './createSpreadRecords.js';
export {planReplicaSetStep} from './planReplicaSetStep.js';
export {
  ReplicaAnnouncements,
  replicaAnnouncementSchema,
} from './ReplicaAnnouncements.js';
export {
  ANNOUNCEMENT_INTERVAL_MILLISECONDS,
  ENTRIES_PER_SNAPSHOT,
  MINIMUM_ZONES_FOR_MAJORITY_RULE,
  PLACEMENT_INTERVAL_MILLISECONDS,
  VOTER_GROWTH_TIMEOUT_MILLISECONDS,
} from './RevisionConstants.js';
export {isNewerVersion, RevisionSpread} from './RevisionSpread.js';
export {spreadMessageSchema, spreadRecordSchema} from './SpreadMessages.js';
export {getVoterCount, VoterPlacement} from './VoterPlacement.js';
