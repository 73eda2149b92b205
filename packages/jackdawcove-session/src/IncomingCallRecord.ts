/** Server's side of one call; it outlives the session it came on. */

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

/** What a record tells its owner. */
export type IncomingCallOwner = {
  /** False for an arrival that was not accepted: its attempt is another's. */
  readonly isRegistered: () => boolean;
  readonly onFinished: (record: IncomingCallRecord) => void;
};

type Attachment = {
  readonly callNumber: CallNumber;
  readonly link: SessionLink;
};

/** Forwards a call to its listener and the answer to the session it has now. */
export class IncomingCallRecord implements IncomingCall {
  readonly answer: AnswerSource;
  detachedAt: Milliseconds | undefined;
  readonly head: CallHead;
  readonly source: MessageSource;
  #attachment: Attachment | undefined;
  #early: ((handlers: IncomingCallHandlers) => void)[] = [];
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

  /** Returns whether the answer is complete or not wanted any more. */
  isFinished(): boolean {
    return this.#isCancelled || this.answer.getOutcome() !== undefined;
  }

  accept(handlers: IncomingCallHandlers): void {
    this.#handlers = handlers;
    const early = this.#early;
    this.#early = [];
    for (const deliver of early) {
      deliver(handlers);
    }
  }

  /** Sends the answer on a session from now on. */
  attach(link: SessionLink, callNumber: CallNumber): void {
    this.#attachment = {callNumber, link};
    this.detachedAt = undefined;
  }

  /** Tells the listener that the call is not wanted any more. */
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

  /** Delivers an event, at once or when the listener accepts the call. */
  deliver(event: (handlers: IncomingCallHandlers) => void): void {
    if (this.#handlers === undefined) {
      this.#early.push(event);
    } else {
      event(this.#handlers);
    }
  }

  /** Holds the answer until its caller asks for it on another session. */
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
      this.#notify(0);
    } else {
      this.fail(createFailure('internalError', 'head of an answer'));
    }
  }

  write(bytes: Uint8Array): boolean {
    if (this.isFinished()) {
      return false;
    }
    this.answer.body.add(bytes);
    this.#notify(bytes.length);
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
    this.#notify(0);
  }

  #notify(byteCount: number): void {
    this.#attachment?.link.recordAnswerBytes(
      this.#attachment.callNumber,
      byteCount,
    );
  }
}

/** Finds why an outcome would not be accepted by the other end. */
function findFault(
  outcome: AnswerOutcome,
  head: AnswerHead | undefined,
): string | undefined {
  if (outcome.kind === 'end') {
    const {tokensReturned} = outcome.trailer;
    const isWhole = head !== undefined && Number.isInteger(tokensReturned);
    return isWhole && tokensReturned >= 0 ? undefined : 'end of an answer';
  }
  if (outcome.kind === 'refusal') {
    const isValid = callRefusalSchema.safeParse(outcome.refusal).success;
    return isValid ? undefined : 'refusal';
  }
  return undefined;
}
