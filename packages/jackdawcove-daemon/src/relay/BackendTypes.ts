/** Requests to the local backend server and how they end. */

import type {InstanceCondition} from 'jackdawcove-relay';

/** A request to the backend server, ready to be written. */
export type BackendRequest = {
  readonly body: Uint8Array;
  /** Start line, headers and the empty line. */
  readonly head: string;
  readonly method: string;
  readonly requestIdentifier: string;
};

/** How a request to the backend server ended. */
export type BackendOutcome =
  | {
      readonly body: Buffer;
      readonly condition: InstanceCondition;
      readonly kind: 'answer';
      readonly headerLines: string;
      readonly status: number;
    }
  /** The connection was closed early, or its bytes are not an HTTP answer. */
  | {readonly kind: 'broken'}
  /** The backend server reported that it did not run the request. */
  | {
      readonly condition: InstanceCondition;
      readonly kind: 'notRun';
      readonly status: number;
    }
  /** It may be the answer to another request, so it proves nothing about this one. */
  | {readonly kind: 'unidentified'}
  /** The connection was never established, so no part of the request was sent. */
  | {readonly kind: 'unsent'};

/**
 * What a backend server wrote that is not the answer to the request on its connection:
 * an answer to another request (`foreign`), one that does not identify its request
 * (`unidentified`), or bytes while there was no request (`idle`).
 */
export type StrayAnswerCause = 'foreign' | 'idle' | 'unidentified';

/** Bytes that belong to no answer; the fields are undefined where nothing is known. */
export type StrayAnswer = {
  readonly cause: StrayAnswerCause;
  /** Identifier of the request on the connection. */
  readonly requestIdentifier: string | undefined;
  readonly status: number | undefined;
};
