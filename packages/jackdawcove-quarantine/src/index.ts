export type {
  ObservedCrash,
  QuarantineEffect,
  QuarantineListRow,
  Suspicion,
} from './CrashQuarantine.js';
export type {
  Crash,
  QuarantineMessage,
  SuspectRecord,
} from './QuarantineMessages.js';

export {CrashQuarantine} from './CrashQuarantine.js';
export {
  CRASH_RETENTION_MILLISECONDS,
  CRASHES_TO_QUARANTINE,
  MAXIMUM_RECORDS_PER_MESSAGE,
} from './QuarantineConstants.js';
export {
  crashSchema,
  quarantineMessageSchema,
  suspectRecordSchema,
} from './QuarantineMessages.js';
