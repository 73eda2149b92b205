/** Caller side of one call, before and while it is attached to a session. */

import type {AttemptQuery} from './AttemptRegistry.js';
import type {BodyProgress} from './BodyReceiver.js';
import type {CallEffect, CallNumber} from './SessionEffects.js';
import type {SessionLink} from './SessionLink.js';
import type {CallHead} from './SessionSchemas.js';
import type {
  AttemptIdentifier,
  AttemptResolution,
  CallFailure,
  OutgoingCall,
  OutgoingCallHandlers,
  ResolutionHandlers,
} from './SessionTypes.js';
import type {Failure, Milliseconds} from 'jackdawcove-shared';

/** A call to open, or a lost attempt whose outcome is queried. */
export type OutgoingOperation =
  | {readonly head: CallHead; readonly kind: 'call'}
  | {
      readonly kind: 'resolve';
      readonly progress: BodyProgress;
      readonly query: Omit<AttemptQuery, 'ageMilliseconds'>;
      readonly sentAt: Milliseconds;
    };

/** Session of a call and its number there. */
type Attachment = {
  readonly callNumber: CallNumber;
  readonly link: SessionLink;
};

/** Forwards a call to its session, and effects of the session to its owner. */
export class OutgoingCallRecord implements OutgoingCall {
  readonly attemptIdentifier: AttemptIdentifier;
  readonly createdAt: Milliseconds;
  readonly expiresAt: Milliseconds;
  readonly operation: OutgoingOperation;
  #attachment: Attachment | undefined;
  #pendingChunks: Uint8Array[] = [];
  #pendingBytes = 0;
  readonly #handlers: OutgoingCallHandlers | ResolutionHandlers;
  #hasHead = false;
  #isEndPending = false;
  #isFinished = false;

  constructor(
    attemptIdentifier: AttemptIdentifier,
    operation: OutgoingOperation,
    handlers: OutgoingCallHandlers | ResolutionHandlers,
    times: {readonly createdAt: Milliseconds; readonly expiresAt: Milliseconds},
  ) {
    this.attemptIdentifier = attemptIdentifier;
    this.createdAt = times.createdAt;
    this.expiresAt = times.expiresAt;
    this.operation = operation;
    this.#handlers = handlers;
    this.#hasHead = operation.kind === 'resolve' && operation.query.hasHead;
  }

  /** Returns the earliest time at which the attempt may have been sent. */
  getSentAt(): Milliseconds {
    return this.operation.kind === 'call'
      ? this.createdAt
      : this.operation.sentAt;
  }

  /** Returns whether the head of the answer arrived. */
  hasHead(): boolean {
    return this.#hasHead;
  }

  /** Returns whether the call has ended for its owner. */
  isFinished(): boolean {
    return this.#isFinished;
  }

  /** Attaches the call to a session and sends what was written before. */
  attach(link: SessionLink, callNumber: CallNumber): void {
    this.#attachment = {callNumber, link};
    for (const bytes of this.#pendingChunks) {
      link.addRequestBytes(callNumber, bytes);
    }
    if (this.#isEndPending) {
      link.endRequest(callNumber);
    }
    const wasBlocked = this.#pendingBytes > 0 && !this.#isEndPending;
    this.#pendingChunks = [];
    this.#pendingBytes = 0;
    if (wasBlocked) {
      this.#handlers.onWritable?.();
    }
  }

  cancel(): void {
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    this.#pendingChunks = [];
    this.#attachment?.link.cancelCall(this.#attachment.callNumber);
  }

  end(): void {
    if (this.#attachment === undefined) {
      this.#isEndPending = true;
    } else {
      this.#attachment.link.endRequest(this.#attachment.callNumber);
    }
  }

  /** Ends the call with a failure; ignored if the call has ended. */
  fail(failure: Failure, kind: CallFailure['kind'], tokensReturned = 0): void {
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    this.#pendingChunks = [];
    if (this.operation.kind === 'resolve' && kind === 'notSent') {
      this.#reportResolution('unknown');
      return;
    }
    this.#handlers.onFailure({
      failure,
      kind,
      tokensReturned: kind === 'notSent' ? this.#getTokens() : tokensReturned,
    });
  }

  grantCredit(byteCount: number): void {
    this.#attachment?.link.consumeAnswer(
      this.#attachment.callNumber,
      byteCount,
    );
  }

  /** Handles an effect of the session. */
  handleEffect(effect: CallEffect): void {
    if (this.#isFinished) {
      return;
    }
    switch (effect.kind) {
      case 'answerBody':
        this.#handlers.onBody(effect.body);
        break;
      case 'answerEnd':
        this.#isFinished = true;
        this.#handlers.onEnd(effect.end);
        break;
      case 'answerHead':
        this.#hasHead = true;
        this.#handlers.onHead(effect.head);
        break;
      case 'failed':
        this.fail(effect.failure, 'failed', effect.tokensReturned);
        break;
      case 'refused':
        this.#isFinished = true;
        this.#handlers.onRefused(effect.refusal);
        break;
      case 'resolution':
        this.#handleResolution(effect.resolution);
        break;
      case 'writable':
        this.#handlers.onWritable?.();
        break;
      default:
        break;
    }
  }

  write(bytes: Uint8Array): boolean {
    if (this.#isFinished) {
      return false;
    }
    if (this.#attachment !== undefined) {
      const {callNumber, link} = this.#attachment;
      return link.addRequestBytes(callNumber, bytes);
    }
    this.#pendingChunks.push(bytes);
    this.#pendingBytes += bytes.length;
    return false;
  }

  #getTokens(): number {
    return this.operation.kind === 'call' ? this.operation.head.tokens : 0;
  }

  #handleResolution(resolution: AttemptResolution): void {
    this.#isFinished = resolution === 'neverSeen' || resolution === 'unknown';
    this.#reportResolution(resolution);
  }

  #reportResolution(resolution: AttemptResolution): void {
    if ('onResolution' in this.#handlers) {
      this.#handlers.onResolution(resolution);
    }
  }
}
