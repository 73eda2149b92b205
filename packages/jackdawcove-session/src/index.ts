export type {
  AnswerEnd,
  AnswerHead,
  CallHead,
  CallRefusal,
  Header,
} from './SessionSchemas.js';
export type {
  AnswerTrailer,
  AttemptIdentifier,
  AttemptResolution,
  CallFailure,
  CallFailureKind,
  ChannelName,
  DaemonIdentity,
  FleetKeys,
  IncomingCall,
  IncomingCallHandlers,
  MessageListener,
  MessageSource,
  OutgoingCall,
  OutgoingCallHandlers,
  PacketListener,
  PacketOptions,
  ResolutionHandlers,
  SessionEvent,
  SessionLimits,
  SessionPoolOptions,
  SessionStatistics,
  SessionSwitches,
} from './SessionTypes.js';

export {MAXIMUM_FRAME_BYTES} from './SessionConstants.js';
export {SessionPool} from './SessionPool.js';
export type {SentByteCount} from './SentBytes.js';
export {
  answerEndSchema,
  answerHeadSchema,
  callHeadSchema,
  callRefusalSchema,
  headersSchema,
} from './SessionSchemas.js';
