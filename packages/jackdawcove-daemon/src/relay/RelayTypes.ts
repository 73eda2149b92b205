/** Types shared by the parts of the relay. */

import type {ResultAnswer} from '../dataPlane/CallerExchange.js';
import type {HttpAnswer} from '../embedding/EmbeddingTypes.js';
import type {HeaderRules, HttpHead, InstanceCondition} from 'jackdawcove-relay';

/** Properties of a request, read from its head. */
export type RequestFacts = {
  readonly hostName: string;
  /** Key of an organisation; undefined if there is none, empty if it is malformed. */
  readonly key?: string | undefined;
  readonly method: string;
  /** Identifier of the request whose run made this call, if the head reveals it. */
  readonly parentRequestIdentifier: string | undefined;
  /** Path with its query string. */
  readonly path: string;
  /** Identifier that the caller assigned to the request. */
  readonly requestIdentifier: string;
  /** How long the caller waits, if the request states it. */
  readonly timeoutMilliseconds: number | undefined;
};

/** Properties of an answer of an instance, read from its head. */
export type AnswerFacts = {
  /** False when only the end of the connection delimits the answer. */
  readonly isFramed: boolean;
  /** Identifier of the request that was sent. */
  readonly requestIdentifier: string;
  readonly status: number;
  readonly values: ReadonlyMap<string, string>;
};

/**
 * Classification of an answer: `answer` is forwarded to the caller; `foreign` belongs
 * to another request and is skipped; `notRun` states that the request did not run;
 * `broken` cannot be used and fails the attempt; so does `unidentified`, which does not
 * state the identifier of its request.
 */
export type AnswerClassification =
  'answer' | 'broken' | 'foreign' | 'notRun' | 'unidentified';

/** Wire format of the requests and answers of an embedding program. */
export type RelayDialect = {
  readonly answerRules: HeaderRules;
  /** Header lines that the daemon of the caller adds to each request. */
  readonly callerLines: string;
  /** Rules of requests where the configuration holds organisations. */
  readonly keyedRequestRules: HeaderRules;
  /**
   * Statuses that promise a caller that its request has not run and never will. An
   * instance proves that by other means (`notRun`), so its answer cannot make the promise.
   */
  readonly notRunStatuses: ReadonlySet<number>;
  readonly requestRules: HeaderRules;
  createInstanceLines(instance: string, remainingMilliseconds: number): string;
  /** Header line that names the organisation of a request to the instance. */
  createOrganisationLine(organisation: string): string;
  createResultAnswer(answer: ResultAnswer): HttpAnswer;
  classifyAnswer(facts: AnswerFacts): AnswerClassification;
  /** Reads what the instance states about itself in the head of an answer. */
  readCondition(values: ReadonlyMap<string, string>): InstanceCondition;
  /** Reads the head of a request; returns undefined when it is not valid. */
  readRequest(head: HttpHead): RequestFacts | undefined;
};

/** One request of a caller that is not answered yet. */
export type RelayExchange = {
  answer(status: number, headerLines: string, body: Uint8Array): void;
  answerWithResult(answer: ResultAnswer): void;
  isDisconnected(): boolean;
  /** Called once when the caller disconnects before the answer. */
  onDisconnected: () => void;
};
