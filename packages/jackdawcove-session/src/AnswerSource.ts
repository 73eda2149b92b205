/** Server side of one answer, kept when the session that carries it is lost. */

import type {AnswerHead, CallRefusal} from './SessionSchemas.js';
import type {AnswerTrailer} from './SessionTypes.js';
import type {Failure} from 'jackdawcove-shared';

import {BodySender} from './BodySender.js';

/** How an answer ended. */
export type AnswerOutcome =
  | {
      readonly failure: Failure;
      readonly kind: 'failure';
      readonly tokensReturned: number;
    }
  | {readonly kind: 'end'; readonly trailer: AnswerTrailer}
  | {readonly kind: 'refusal'; readonly refusal: CallRefusal};

/** Buffers an answer and holds the bytes that its caller has not consumed. */
export class AnswerSource {
  readonly body: BodySender;
  #head: AnswerHead | undefined;
  #outcome: AnswerOutcome | undefined;

  constructor(windowBytes: number) {
    this.body = new BodySender({isRetaining: true, windowBytes});
  }

  /** Returns the head, or undefined before it is set. */
  getHead(): AnswerHead | undefined {
    return this.#head;
  }

  /** Returns how the answer ended, or undefined while it is in progress. */
  getOutcome(): AnswerOutcome | undefined {
    return this.#outcome;
  }

  /** Ends the answer; later outcomes are ignored. */
  finish(outcome: AnswerOutcome): void {
    if (this.#outcome === undefined) {
      this.#outcome = outcome;
      this.body.end();
    }
  }

  /** Sets the head; later heads are ignored. */
  setHead(head: AnswerHead): void {
    this.#head ??= head;
  }
}
