/** What a program that embeds the daemon brings, and what it gets. */

import type {ConfigurationService} from '../control/ConfigurationService.js';
import type {OwnAnswer} from '../dataPlane/CallerExchange.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {RelayDialect} from '../relay/RelayTypes.js';
import type Logger from 'bunyan';
import type {ServerSideEffect} from 'jackdawcove-call';
import type {RetryBudgetOptions} from 'jackdawcove-relay';
import type {CallerLimits, RoutedConfiguration} from 'jackdawcove-routes';
import type {Header} from 'jackdawcove-session';
import type {Address, Failure, Teardown, WallClock} from 'jackdawcove-shared';
import type {Server} from 'node:net';
import type {Result} from 'true-myth/result';

/** Answer of the daemon itself, as it goes over HTTP. */
export type WrittenAnswer = {
  readonly body: string;
  readonly headers: readonly Header[];
  readonly status: number;
};

/** How answers are written to callers. */
export type AnswerDialect = {
  createForwardedHeaders(headers: readonly Header[]): readonly Header[];
  createOwnAnswer(answer: OwnAnswer): WrittenAnswer;
};

type DispatchEffect = Extract<ServerSideEffect, {kind: 'dispatch'}>;

/** An attempt that is about to be sent to the backend server. */
export type BackendRequestInput = {
  readonly address: Address;
  /** Holds the attempt, its remaining time and its context header. */
  readonly dispatch: DispatchEffect;
  /** Headers that travelled with the attempt. */
  readonly headers: readonly Header[];
};

/** Head of an answer of the backend server. */
export type BackendAnswerHead = {
  readonly headers: readonly Header[];
  /** False when only the end of the connection ends the answer. */
  readonly isFramed: boolean;
  readonly status: number;
};

/**
 * What the head of an answer says: it answers the request, it proves that the
 * request was not run, or it belongs to another request.
 */
export type BackendAnswerKind = 'answer' | 'foreign' | 'notRun';

/** How requests are sent to the backend server and its answers understood. */
export type BackendDialect = {
  createRequestHeaders(input: BackendRequestInput): Header[];
  classifyAnswer(
    requestHeaders: readonly Header[],
    answer: BackendAnswerHead,
  ): BackendAnswerKind;
};

/** Text format of the fleet configuration. */
export type DocumentFormat = {
  check(documentText: string): Result<unknown, Failure>;
  read(documentText: string): RoutedConfiguration;
};

/** What the embedding program may use while the daemon runs. */
export type DaemonEdge = {
  readonly configuration: ConfigurationService;
  /** Creates an HTTP server whose requests follow the routes. */
  createIngressServer(): Server;
  /** Closes the callers' connections without a request. */
  closeIdleConnections(): void;
  getLimits(): CallerLimits;
  /** Whether the daemon takes calls and knows a configuration. */
  isReady(): boolean;
  readonly log: Logger;
  readonly membership: Pick<MembershipService, 'announce' | 'withdraw'>;
  readonly wallClock: WallClock;
};

/** Running listeners of the embedding program. */
export type EdgeListeners = {
  /** Takes no further connections; those that are open may finish. */
  readonly closeListeners: () => void;
  readonly teardown: Teardown;
};

/** What a program that embeds the daemon puts in place of the daemon's own edge. */
export type Embedding = {
  readonly documentFormat: DocumentFormat;
  readonly relayDialect: RelayDialect;
  /** This daemon's part of the retries that the fleet may make. */
  readonly retryBudget: RetryBudgetOptions;
  /** Binds the program's listeners; called before the daemon takes calls. */
  registerEdge(edge: DaemonEdge): Promise<EdgeListeners>;
};
