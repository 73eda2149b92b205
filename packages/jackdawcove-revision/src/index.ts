export type {
  ConfigurationChange,
  ConfigurationRecord,
  HistoryRecord,
  VoterChange,
} from './ConfigurationChange.js';

export {
  ALLOWED_VOTER_COUNTS,
  configurationChangeSchema,
  configurationRecordSchema,
  historyRecordSchema,
  MAXIMUM_DOCUMENT_LENGTH,
  revisionSchema,
  voterChangeSchema,
} from './ConfigurationChange.js';
