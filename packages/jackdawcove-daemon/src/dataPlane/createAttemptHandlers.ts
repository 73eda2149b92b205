/** Converts the session events of an attempt into inputs of the caller side. */

import type {CallerSideInput, LoadReport} from 'jackdawcove-call';
import type {AnswerHead, OutgoingCallHandlers} from 'jackdawcove-session';

import {isLoadReport} from 'jackdawcove-call';
import {createFailure, isFinalStatus} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

/** Receives the answer and the events of one attempt. */
export type AttemptSink = {
  readonly attemptIdentifier: string;
  readonly onBody: (bytes: Uint8Array) => void;
  readonly onHead: (head: AnswerHead) => void;
  readonly onSessionLost: () => void;
  readonly onWritable: () => void;
  readonly handleInput: (input: CallerSideInput) => void;
};

const UNKNOWN_LOAD: LoadReport = {
  downstreamThreshold: 0,
  inFlight: 0,
  limit: 0,
  queueingDelayMilliseconds: 0,
  threshold: 0,
};

function parseLoad(load: unknown): LoadReport {
  return isLoadReport(load) ? load : UNKNOWN_LOAD;
}

/** Fails attempts whose answer has a status that HTTP does not define. */
function checkStatus(handlers: OutgoingCallHandlers): OutgoingCallHandlers {
  let isUsable = true;
  return {
    ...handlers,
    onBody: (bytes) => {
      if (isUsable) {
        handlers.onBody(bytes);
      }
    },
    onEnd: (end) => {
      if (isUsable) {
        handlers.onEnd(end);
        return;
      }
      const {tokensReturned} = end;
      const failure = createFailure('outcomeUnknown', 'unusable status');
      handlers.onFailure({failure, kind: 'failed', tokensReturned});
    },
    onHead: (head) => {
      isUsable = isFinalStatus(head.status);
      if (isUsable) {
        handlers.onHead(head);
      }
    },
  };
}

/**
 * Creates the session handlers of one attempt. An answer of an earlier version may have
 * a status that HTTP does not define; its attempt fails.
 *
 * @example
 * sessions.openCall(daemon, head, createAttemptHandlers(sink));
 */
export function createAttemptHandlers(sink: AttemptSink): OutgoingCallHandlers {
  return checkStatus(createUncheckedHandlers(sink));
}

function createUncheckedHandlers(sink: AttemptSink): OutgoingCallHandlers {
  const {attemptIdentifier, handleInput} = sink;
  return {
    onBody: sink.onBody,
    onEnd: ({load, tokensReturned}) => {
      handleInput({
        end: {
          attemptIdentifier,
          load: parseLoad(load),
          result: 'ok',
          tokensReturned,
        },
        kind: 'answerEnd',
      });
    },
    onFailure: ({failure, kind, tokensReturned}) => {
      match(kind)
        .with('notSent', () => {
          handleInput({attemptIdentifier, kind: 'sendFailed'});
        })
        .with('lost', () => {
          sink.onSessionLost();
        })
        .with('failed', () => {
          const {result} = failure;
          const load = UNKNOWN_LOAD;
          handleInput({
            end: {attemptIdentifier, load, result, tokensReturned},
            kind: 'answerEnd',
          });
        })
        .exhaustive();
    },
    onHead: (head) => {
      sink.onHead(head);
      handleInput({
        head: {
          attemptIdentifier,
          load: parseLoad(head.load),
          status: head.status,
        },
        kind: 'answerHead',
      });
    },
    onRefused: ({failure, load, retryAfterMilliseconds, tokensReturned}) => {
      handleInput({
        kind: 'attemptRefused',
        refusal: {
          attemptIdentifier,
          load: parseLoad(load),
          result: failure.result,
          retryAfterMilliseconds,
          tokensReturned,
        },
      });
    },
    onWritable: sink.onWritable,
  };
}
