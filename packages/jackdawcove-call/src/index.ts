export type {
  AnswerEnd,
  AnswerHead,
  Attempt,
  AttemptIdentifier,
  AttemptRefusal,
  LoadReport,
  Resolution,
  ResolveAnswer,
  ResolveQuery,
} from './AttemptMessages.js';
export type {CallerSwitches} from './SharedCallerState.js';
export type {CallerSideOptions} from './CallerSide.js';
export type {
  CallerSideEffect,
  CallerSideInput,
  CallIdentifier,
  CallPolicy,
  CallRequest,
  ClaimOutcome,
  HealthHint,
  ListInstances,
  LocalInstance,
  ResolvePolicy,
  ServerSideEffect,
  ServerSideInput,
  ServerSideStatus,
  SpreadSuspectsEffect,
} from './CallTypes.js';
export type {ServerSwitches} from './ServerAttempts.js';
export type {ServerSideOptions} from './ServerSide.js';

export {
  answerEndSchema,
  answerHeadSchema,
  attemptIdentifierSchema,
  attemptRefusalSchema,
  attemptSchema,
  loadReportSchema,
  resolutionSchema,
  resolveAnswerSchema,
  resolveQuerySchema,
} from './AttemptMessages.js';
export {isLoadReport, parseAttempt} from './AttemptChecks.js';
export {
  MINIMUM_RETRY_AFTER_MILLISECONDS,
  TICK_INTERVAL_MILLISECONDS,
} from './CallConstants.js';
export {DEFAULT_CALLER_SWITCHES} from './SharedCallerState.js';
export {CallerSide} from './CallerSide.js';
export {CallsInProgress} from './CallsInProgress.js';
export {DEFAULT_SERVER_SWITCHES} from './ServerAttempts.js';
export {ServerSide} from './ServerSide.js';
export {getRefusalExecuted, needsClaim} from './CallUtils.js';
