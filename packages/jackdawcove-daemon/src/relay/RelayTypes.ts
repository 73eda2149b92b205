/** What the relay of routed requests shares between its parts. */

import type {OwnAnswer} from '../dataPlane/CallerExchange.js';
import type {WrittenAnswer} from '../embedding/EmbeddingTypes.js';
import type {HeaderRules, HttpHead} from 'jackdawcove-relay';

/** What a request says of itself, apart from its body. */
export type RequestFacts = {
  readonly hostName: string;
  readonly method: string;
  /** Identifier of the request whose run made this one, as far as it shows. */
  readonly parentRequestIdentifier: string | undefined;
  /** Path with its query string. */
  readonly path: string;
  /** Identifier that the caller gave the request. */
  readonly requestIdentifier: string;
  /** How long the caller waits, when it says so. */
  readonly timeoutMilliseconds: number | undefined;
};

/** Head of an answer of an instance. */
export type AnswerFacts = {
  /** False when only the end of the connection ends the answer. */
  readonly isFramed: boolean;
  /** Identifier of the request that is to be answered. */
  readonly requestIdentifier: string;
  readonly status: number;
  readonly values: ReadonlyMap<string, string>;
};

/**
 * What an answer means: `answer` goes back to the caller; `foreign` belongs to
 * another request and is skipped; `notRun` states that the request did not run;
 * `broken` is nobody's answer.
 */
export type AnswerClassification = 'answer' | 'broken' | 'foreign' | 'notRun';

/** How requests and answers are spelled on the wire of an embedding program. */
export type RelayDialect = {
  readonly answerRules: HeaderRules;
  /** Header lines that each request gets where it begins. */
  readonly callerLines: string;
  readonly requestRules: HeaderRules;
  createInstanceLines(instance: string, remainingMilliseconds: number): string;
  createOwnAnswer(answer: OwnAnswer): WrittenAnswer;
  classifyAnswer(facts: AnswerFacts): AnswerClassification;
  /** Reads a head; undefined when it is no request. */
  readRequest(head: HttpHead): RequestFacts | undefined;
};

/** One request of a caller, until it is answered. */
export type RelayExchange = {
  answer(status: number, headerLines: string, body: Uint8Array): void;
  answerWithResult(answer: OwnAnswer): void;
  isDisconnected(): boolean;
  /** Called once when the caller leaves before the answer. */
  onDisconnected: () => void;
};
