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
} from './CallTypes.js';

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
export {
  MINIMUM_RETRY_AFTER_MILLISECONDS,
  TICK_INTERVAL_MILLISECONDS,
} from './CallConstants.js';
