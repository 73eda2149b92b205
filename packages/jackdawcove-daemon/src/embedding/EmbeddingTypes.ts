/** Interfaces between the daemon and a program that embeds it. */

import type {ConfigurationService} from '../control/ConfigurationService.js';
import type {ResultAnswer} from '../dataPlane/CallerExchange.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {RelayDialect} from '../relay/RelayTypes.js';
import type Logger from 'bunyan';
import type {ServerSideEffect} from 'jackdawcove-call';
import type {QuotaRule} from 'jackdawcove-quota';
import type {RetryBudgetOptions} from 'jackdawcove-relay';
import type {CallerLimits, RoutedConfiguration} from 'jackdawcove-routes';
import type {Header} from 'jackdawcove-session';
import type {
  Address,
  Failure,
  Milliseconds,
  Teardown,
  WallClock,
} from 'jackdawcove-shared';
import type {Server} from 'node:net';
import type {Result} from 'true-myth/result';

/** HTTP form of an answer that reports a result code. */
export type HttpAnswer = {
  readonly body: string;
  readonly headers: readonly Header[];
  readonly status: number;
};

/** Formats answers to callers. */
export type AnswerDialect = {
  createForwardedHeaders(headers: readonly Header[]): readonly Header[];
  createResultAnswer(answer: ResultAnswer): HttpAnswer;
};

type DispatchEffect = Extract<ServerSideEffect, {kind: 'dispatch'}>;

/** An attempt that is about to be sent to the backend server. */
export type BackendRequestInput = {
  readonly address: Address;
  /** Holds the attempt, its remaining time and its context header. */
  readonly dispatch: DispatchEffect;
  /** Request headers that were forwarded with the attempt. */
  readonly headers: readonly Header[];
};

/** Head of an answer of the backend server. */
export type BackendAnswerHead = {
  readonly headers: readonly Header[];
  /** False if only the end of the connection marks the end of the body. */
  readonly isFramed: boolean;
  readonly status: number;
};

/**
 * Meaning of an answer's head: it answers the request (`answer`), proves that
 * the request was not executed (`notRun`), or belongs to another request
 * (`foreign`).
 */
export type BackendAnswerClassification = 'answer' | 'foreign' | 'notRun';

/** Formats requests to the backend server and classifies its answers. */
export type BackendDialect = {
  createRequestHeaders(input: BackendRequestInput): Header[];
  classifyAnswer(
    requestHeaders: readonly Header[],
    answer: BackendAnswerHead,
  ): BackendAnswerClassification;
};

/** Text format of the fleet configuration. */
export type DocumentFormat = {
  check(documentText: string): Result<unknown, Failure>;
  read(documentText: string): RoutedConfiguration;
};

/** Services of a running daemon that the embedding program may use. */
export type DaemonEdge = {
  readonly configuration: ConfigurationService;
  /** Creates an HTTP server whose requests follow the routes. */
  createIngressServer(): Server;
  /** Closes connections of callers that have no open request. */
  closeIdleConnections(): void;
  getLimits(): CallerLimits;
  /** Whether the daemon accepts calls and has a configuration. */
  isReady(): boolean;
  readonly log: Logger;
  readonly membership: Pick<
    MembershipService,
    'announce' | 'recordRefusal' | 'withdraw'
  >;
  readonly wallClock: WallClock;
};

/** Running listeners of the embedding program. */
export type EdgeListeners = {
  /**
   * Accepts no further connections; open connections may finish their requests.
   */
  readonly closeListeners: () => void;
  readonly teardown: Teardown;
};

/** Parts with which an embedding program replaces the daemon's own edge. */
export type Embedding = {
  readonly documentFormat: DocumentFormat;
  readonly relayDialect: RelayDialect;
  /** Tolerance of quotas; without it they are not applied. */
  readonly quotaRule?: QuotaRule | undefined;
  /** This daemon's share of the fleet's retry budget. */
  readonly retryBudget: RetryBudgetOptions;
  /**
   * Time after an acknowledged change by which a key that it removes must not work
   * anywhere; undefined if daemons that are cut off may serve removed keys.
   */
  readonly revocationMilliseconds?: Milliseconds | undefined;
  /** Binds the program's listeners; called before the daemon accepts calls. */
  registerEdge(edge: DaemonEdge): Promise<EdgeListeners>;
};
