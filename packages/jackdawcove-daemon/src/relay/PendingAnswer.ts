/** Requests of one connection whose answers are not written yet. */

import type {AnswerText} from './encodeAnswer.js';
import type {RelayExchange} from './RelayTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** A request, and its answer once it has ended. */
export type PendingAnswer = RelayExchange & {
  isEnded: boolean;
  readonly isLast: boolean;
  readonly method: string;
  readonly receivedAt: Milliseconds;
  /** Size of the request body, which is kept until the answer. */
  readonly requestBytes: number;
  text: AnswerText | undefined;
};
