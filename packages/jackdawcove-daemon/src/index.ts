export type {AppliedConfiguration} from './control/ConfigurationService.js';
export type {DaemonOptions} from './Daemon.js';
export type {BoundAddresses} from './DaemonHost.js';
export type {OwnAnswer} from './dataPlane/CallerExchange.js';
export type {
  DaemonEdge,
  DocumentFormat,
  EdgeListeners,
  Embedding,
  WrittenAnswer,
} from './embedding/EmbeddingTypes.js';
export type {
  AnswerClassification,
  AnswerFacts,
  RelayDialect,
  RequestFacts,
} from './relay/RelayTypes.js';

export {Daemon, startDaemon} from './Daemon.js';
export {listen} from './host/listen.js';
