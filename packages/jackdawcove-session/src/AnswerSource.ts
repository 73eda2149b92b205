/** One answer on the server's side; it outlives the session it is sent on. */

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

/** Collects an answer and keeps what its caller has not consumed. */
export class AnswerSource {
  readonly body: BodySender;
  #head: AnswerHead | undefined;
  #outcome: AnswerOutcome | undefined;

  constructor(windowBytes: number) {
    this.body = new BodySender({isRetaining: true, windowBytes});
  }

  /** Returns the head, or undefined while there is none. */
  getHead(): AnswerHead | undefined {
    return this.#head;
  }

  /** Returns how the answer ended, or undefined while it goes on. */
  getOutcome(): AnswerOutcome | undefined {
    return this.#outcome;
  }

  /** Ends the answer; only the first outcome counts. */
  finish(outcome: AnswerOutcome): void {
    if (this.#outcome === undefined) {
      this.#outcome = outcome;
      this.body.end();
    }
  }

  /** Sets the head; only the first one counts. */
  setHead(head: AnswerHead): void {
    this.#head ??= head;
  }
}
