/** State of a call that its HTTP exchange and its sessions need. */

import type {AnswerRecorder} from './AnswerRecorder.js';
import type {CallerExchange} from './CallerExchange.js';
import type {RequestBody} from './RequestBody.js';
import type {AttemptIdentifier, CallRequest} from 'jackdawcove-call';
import type {HeldAnswer} from 'jackdawcove-ledger';
import type {AnswerHead, OutgoingCall} from 'jackdawcove-session';
import type {DaemonName} from 'jackdawcove-shared';

/** An attempt in flight. */
export type OpenAttempt = {
  answerHead: AnswerHead | undefined;
  readonly daemon: DaemonName;
  readonly identifier: AttemptIdentifier;
  /**
   * Bytes that the caller has not read yet, so no credit is granted for them.
   */
  pendingCreditBytes: number;
  stream: OutgoingCall | undefined;
};

/** A call in flight. */
export type OpenCall = {
  readonly attempts: Map<AttemptIdentifier, OpenAttempt>;
  readonly body: RequestBody;
  /** The complete body; undefined if it is streamed. */
  readonly bodyBytes: Uint8Array | undefined;
  readonly exchange: CallerExchange;
  forwardedAttempt: OpenAttempt | undefined;
  /** Answer that the ledger holds for the call's idempotency key. */
  replayedAnswer: HeldAnswer | undefined;
  readonly identifier: string;
  readonly recorder: AnswerRecorder | undefined;
  readonly request: CallRequest;
  readonly startedAt: number;
};
