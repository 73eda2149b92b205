/** State of one call on the caller side, as its sockets need it. */

import type {AnswerRecorder} from './AnswerRecorder.js';
import type {CallerExchange} from './CallerExchange.js';
import type {RequestBody} from './RequestBody.js';
import type {AttemptIdentifier, CallRequest} from 'jackdawcove-call';
import type {HeldAnswer} from 'jackdawcove-ledger';
import type {AnswerHead, OutgoingCall} from 'jackdawcove-session';
import type {DaemonName} from 'jackdawcove-shared';

/** One attempt under way. */
export type OpenAttempt = {
  answerHead: AnswerHead | undefined;
  readonly daemon: DaemonName;
  readonly identifier: AttemptIdentifier;
  pendingCreditBytes: number;
  stream: OutgoingCall | undefined;
};

/** One call of a caller. */
export type OpenCall = {
  readonly attempts: Map<AttemptIdentifier, OpenAttempt>;
  readonly body: RequestBody;
  /** The whole body; undefined for a streamed one. */
  readonly bodyBytes: Uint8Array | undefined;
  readonly exchange: CallerExchange;
  forwardedAttempt: OpenAttempt | undefined;
  replayedAnswer: HeldAnswer | undefined;
  readonly identifier: string;
  readonly recorder: AnswerRecorder | undefined;
  readonly request: CallRequest;
  readonly startedAt: number;
};
