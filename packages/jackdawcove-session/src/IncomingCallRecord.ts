/** Server side of one call, kept when the session that carries it is lost. */

import type {AnswerOutcome} from './AnswerSource.js';
import type {CallNumber} from './SessionEffects.js';
import type {SessionLink} from './SessionLink.js';
import type {AnswerHead, CallHead} from './SessionSchemas.js';
import type {
  AnswerTrailer,
  IncomingCall,
  IncomingCallHandlers,
  MessageSource,
} from './SessionTypes.js';
import type {Failure, Milliseconds} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

import {AnswerSource} from './AnswerSource.js';
import {isAnswerHead} from './FrameChecks.js';
import {callRefusalSchema} from './SessionSchemas.js';

/** Callbacks to the owner of a record. */
export type IncomingCallOwner = {
  /** False if the attempt was rejected as a duplicate or as fenced. */
  readonly isRegistered: () => boolean;
  readonly onFinished: (record: IncomingCallRecord) => void;
};

type Attachment = {
  readonly callNumber: CallNumber;
  readonly link: SessionLink;
};

/** Forwards a call to its listener, and the answer to the attached session. */
export class IncomingCallRecord implements IncomingCall {
  readonly answer: AnswerSource;
  detachedAt: Milliseconds | undefined;
  readonly head: CallHead;
  readonly source: MessageSource;
  #attachment: Attachment | undefined;
  #pendingEvents: ((handlers: IncomingCallHandlers) => void)[] = [];
  #handlers: IncomingCallHandlers | undefined;
  #isCancelled = false;
  readonly #owner: IncomingCallOwner;

  constructor(
    head: CallHead,
    source: MessageSource,
    windowBytes: number,
    owner: IncomingCallOwner,
  ) {
    this.answer = new AnswerSource(windowBytes);
    this.head = head;
    this.source = source;
    this.#owner = owner;
  }

  /** Returns whether the attempt is registered under this record. */
  isRegistered(): boolean {
    return this.#owner.isRegistered();
  }

  /** Returns whether the answer has ended or the call was cancelled. */
  isFinished(): boolean {
    return this.#isCancelled || this.answer.getOutcome() !== undefined;
  }

  accept(handlers: IncomingCallHandlers): void {
    this.#handlers = handlers;
    const pendingEvents = this.#pendingEvents;
    this.#pendingEvents = [];
    for (const deliver of pendingEvents) {
      deliver(handlers);
    }
  }

  /** Attaches the record to a session, which carries the answer from now on. */
  attach(link: SessionLink, callNumber: CallNumber): void {
    this.#attachment = {callNumber, link};
    this.detachedAt = undefined;
  }

  /** Cancels the call and notifies its listener. */
  cancel(failure: Failure): void {
    if (this.isFinished()) {
      return;
    }
    this.#isCancelled = true;
    this.#attachment = undefined;
    this.answer.body.clear();
    this.deliver((handlers) => {
      handlers.onCancel(failure);
    });
  }

  /** Delivers an event, or queues it until the listener accepts the call. */
  deliver(event: (handlers: IncomingCallHandlers) => void): void {
    if (this.#handlers === undefined) {
      this.#pendingEvents.push(event);
    } else {
      event(this.#handlers);
    }
  }

  /** Detaches the session; the answer is held until its caller resumes it. */
  detach(now: Milliseconds): void {
    this.#attachment = undefined;
    this.detachedAt = now;
  }

  end(trailer: AnswerTrailer): void {
    this.#finish({kind: 'end', trailer});
  }

  fail(failure: Failure, trailer?: AnswerTrailer): void {
    const tokensReturned = trailer?.tokensReturned ?? 0;
    this.#finish({failure, kind: 'failure', tokensReturned});
  }

  grantCredit(byteCount: number): void {
    this.#attachment?.link.consumeRequest(
      this.#attachment.callNumber,
      byteCount,
    );
  }

  refuse(
    failure: Failure,
    load: unknown,
    retryAfterMilliseconds: number,
    tokensReturned = this.head.tokens,
  ): void {
    if (this.answer.getHead() !== undefined) {
      this.fail(failure);
      return;
    }
    this.#finish({
      kind: 'refusal',
      refusal: {failure, load, retryAfterMilliseconds, tokensReturned},
    });
  }

  sendHead(head: AnswerHead): void {
    if (isAnswerHead(head)) {
      this.answer.setHead(head);
      this.#notifyLink(0);
    } else {
      this.fail(createFailure('internalError', 'head of an answer'));
    }
  }

  write(bytes: Uint8Array): boolean {
    if (this.isFinished()) {
      return false;
    }
    this.answer.body.add(bytes);
    this.#notifyLink(bytes.length);
    return this.answer.body.isWritable();
  }

  #finish(outcome: AnswerOutcome): void {
    if (this.isFinished()) {
      return;
    }
    const fault = findFault(outcome, this.answer.getHead());
    this.answer.finish(
      fault === undefined
        ? outcome
        : {
            failure: createFailure('internalError', fault),
            kind: 'failure',
            tokensReturned: 0,
          },
    );
    this.#owner.onFinished(this);
    this.#notifyLink(0);
  }

  #notifyLink(byteCount: number): void {
    this.#attachment?.link.recordAnswerBytes(
      this.#attachment.callNumber,
      byteCount,
    );
  }
}

/** Returns why the peer would reject an outcome, or undefined. */
function findFault(
  outcome: AnswerOutcome,
  head: AnswerHead | undefined,
): string | undefined {
  if (outcome.kind === 'end') {
    const {tokensReturned} = outcome.trailer;
    const isComplete = head !== undefined && Number.isInteger(tokensReturned);
    return isComplete && tokensReturned >= 0 ? undefined : 'end of an answer';
  }
  if (outcome.kind === 'refusal') {
    const isValid = callRefusalSchema.safeParse(outcome.refusal).success;
    return isValid ? undefined : 'refusal';
  }
  return undefined;
}
