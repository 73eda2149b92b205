export type {AppliedConfiguration} from './control/ConfigurationService.js';
export type {DaemonOptions} from './Daemon.js';
export type {BoundAddresses} from './DaemonHost.js';
export type {ResultAnswer} from './dataPlane/CallerExchange.js';
export type {
  DaemonEdge,
  DocumentFormat,
  EdgeListeners,
  Embedding,
  HttpAnswer,
} from './embedding/EmbeddingTypes.js';
export type {
  AnswerClassification,
  AnswerFacts,
  RelayDialect,
  RequestFacts,
} from './relay/RelayTypes.js';

export {Daemon, startDaemon} from './Daemon.js';
export {listen} from './host/listen.js';
