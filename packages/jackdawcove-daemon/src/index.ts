export type {AppliedConfiguration} from './control/ConfigurationService.js';
export type {DaemonOptions} from './Daemon.js';
export type {BoundAddresses} from './DaemonHost.js';
export type {OwnAnswer} from './dataPlane/CallerExchange.js';
export type {
  BackendDialect,
  DaemonEdge,
  DocumentFormat,
  EdgeListeners,
  Embedding,
  IngressDialect,
  IngressHead,
} from './embedding/EmbeddingTypes.js';

export {Daemon, startDaemon} from './Daemon.js';
export {
  selectAnswerHeaders,
  selectRequestHeaders,
} from './dataPlane/HttpHeaders.js';
export {listen} from './host/listen.js';
