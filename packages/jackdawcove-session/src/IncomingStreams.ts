/** Server side of the calls of one session. */

import type {AnswerOutcome, AnswerSource} from './AnswerSource.js';
import type {BodyEnd} from './BodySender.js';
import type {Frame, FrameFields} from './FrameSchemas.js';
import type {CallNumber} from './SessionEffects.js';
import type {AnswerEnd} from './SessionSchemas.js';
import type {AnswerTrailer} from './SessionTypes.js';
import type {StreamHost} from './StreamHost.js';
import type {Failure, ResultName} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

import {BodyReceiver} from './BodyReceiver.js';
import {MAXIMUM_BODY_CHUNK_BYTES} from './SessionConstants.js';

type IncomingStream = {
  answer: AnswerSource | undefined;
  readonly callNumber: CallNumber;
  isBlocked: boolean;
  isHeadSent: boolean;
  readonly request: BodyReceiver;
};

/** Receives requests and sends their answers. */
export class IncomingStreams {
  readonly #host: StreamHost;
  #lastCallNumber: CallNumber = 0;
  readonly #onFinished: (callNumber: CallNumber) => void;
  readonly #streams = new Map<CallNumber, IncomingStream>();

  constructor(host: StreamHost, onFinished: (callNumber: CallNumber) => void) {
    this.#host = host;
    this.#onFinished = onFinished;
  }

  /** Returns the number of open calls. */
  getCount(): number {
    return this.#streams.size;
  }

  /** Returns whether the complete request body of a call was received. */
  isRequestEnded(callNumber: CallNumber): boolean {
    return this.#streams.get(callNumber)?.request.isEnded() ?? false;
  }

  /** Attaches the answer of a call; a head already received is not resent. */
  attach(
    callNumber: CallNumber,
    answer: AnswerSource,
    isHeadSent: boolean,
  ): void {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return;
    }
    stream.answer = answer;
    stream.isBlocked = !answer.body.isWritable();
    stream.isHeadSent = isHeadSent;
    this.#host.addBufferedBytes(answer.body.getUnsentBytes());
    this.#host.markReady(callNumber);
  }

  /** Records consumed bytes of a request and grants credit if it is due. */
  consume(callNumber: CallNumber, byteCount: number): void {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return;
    }
    const before = stream.request.getUnconsumedBytes();
    const granted = stream.request.consume(byteCount);
    this.#host.removeBufferedBytes(
      before - stream.request.getUnconsumedBytes(),
    );
    if (granted > 0) {
      this.#host.emit('credit', {byteCount: granted, callNumber});
    }
  }

  /** Records bytes that were added to the answer of a call. */
  recordAnswerBytes(callNumber: CallNumber, byteCount: number): void {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return;
    }
    stream.isBlocked ||= stream.answer?.body.isWritable() === false;
    this.#host.addBufferedBytes(byteCount);
    this.#host.markReady(callNumber);
  }

  /** Answers a query about the outcome of an attempt. */
  sendResolution(fields: FrameFields['resolution']): void {
    this.#host.emit('resolution', fields);
    if (fields.resolution === 'neverSeen' || fields.resolution === 'unknown') {
      this.#streams.delete(fields.callNumber);
    }
  }

  /** Handles a frame about a call that the peer opened. */
  handleFrame(frame: Frame): void {
    switch (frame.kind) {
      case 'call':
        this.#handleCall(frame.fields, frame.body);
        break;
      case 'callBody':
        this.#handleBody(frame.fields.callNumber, frame.body);
        break;
      case 'callEnd':
        this.#handleEnd(frame.fields.callNumber, frame.fields.end);
        break;
      case 'cancel':
        this.#handleCancel(frame.fields.callNumber);
        break;
      case 'credit':
        this.#handleCredit(frame.fields);
        break;
      case 'resolve':
        this.#handleResolve(frame.fields);
        break;
      default:
        this.#host.close('frameMalformed', frame.kind);
    }
  }

  /** Sends the next ready part of an answer; true if more may be ready. */
  sendReady(callNumber: CallNumber): boolean {
    const stream = this.#streams.get(callNumber);
    const answer = stream?.answer;
    if (stream === undefined || answer === undefined) {
      return false;
    }
    const outcome = answer.getOutcome();
    if (outcome?.kind === 'failure' || outcome?.kind === 'refusal') {
      this.#sendOutcome(stream, outcome);
      return false;
    }
    if (answer.getHead() === undefined) {
      return false;
    }
    const body = answer.body.take(MAXIMUM_BODY_CHUNK_BYTES);
    this.#host.removeBufferedBytes(body?.length ?? 0);
    this.#sendPart(stream, answer, body);
    if (stream.isBlocked && answer.body.isWritable()) {
      stream.isBlocked = false;
      this.#host.report({callNumber, kind: 'writable'});
    }
    return body !== undefined && this.#streams.has(callNumber);
  }

  #add(callNumber: CallNumber): IncomingStream | undefined {
    if (callNumber <= this.#lastCallNumber) {
      this.#host.close('frameReplayed', `call ${String(callNumber)}`);
      return undefined;
    }
    this.#lastCallNumber = callNumber;
    const stream: IncomingStream = {
      answer: undefined,
      callNumber,
      isBlocked: false,
      isHeadSent: false,
      request: new BodyReceiver(this.#host.windowBytes),
    };
    this.#streams.set(callNumber, stream);
    return stream;
  }

  #cancel(stream: IncomingStream, failure: Failure): void {
    this.#remove(stream);
    const {callNumber} = stream;
    this.#host.report({callNumber, failure, kind: 'cancelled'});
  }

  #findOrCountDropped(callNumber: CallNumber): IncomingStream | undefined {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      this.#host.countDroppedFrame();
    }
    return stream;
  }

  #handleBody(callNumber: CallNumber, body: Uint8Array): void {
    const stream = this.#findOrCountDropped(callNumber);
    if (stream === undefined) {
      return;
    }
    const violation = stream.request.add(body);
    if (violation !== undefined) {
      this.#host.close(violation.result, violation.detail);
      return;
    }
    this.#host.addBufferedBytes(body.length);
    this.#host.report({body, callNumber, kind: 'requestBody'});
  }

  #handleCall(fields: FrameFields['call'], body: Uint8Array): void {
    const {callNumber, end, head} = fields;
    const stream = this.#add(callNumber);
    if (stream === undefined) {
      return;
    }
    if (this.#streams.size > this.#host.maximumCalls) {
      this.#refuse(stream, 'tooManyOpenCalls', head.tokens);
      return;
    }
    if (this.#host.isOverloaded()) {
      this.#refuse(stream, 'tooManyBufferedBytes', head.tokens);
      return;
    }
    this.#host.report({callNumber, head, kind: 'callReceived'});
    if (body.length > 0) {
      this.#handleBody(callNumber, body);
    }
    if (end !== undefined) {
      this.#handleEnd(callNumber, end);
    }
  }

  #handleCancel(callNumber: CallNumber): void {
    const stream = this.#streams.get(callNumber);
    if (stream !== undefined) {
      this.#cancel(stream, createFailure('cancelledWhileRunning'));
    }
  }

  #handleCredit(fields: FrameFields['credit']): void {
    const {byteCount, callNumber} = fields;
    this.#streams.get(callNumber)?.answer?.body.grant(byteCount);
    this.#host.markReady(callNumber);
  }

  #handleEnd(callNumber: CallNumber, end: BodyEnd): void {
    const stream = this.#findOrCountDropped(callNumber);
    if (stream === undefined) {
      return;
    }
    const failure = stream.request.finish(end);
    if (failure !== undefined && this.#host.checksBodies) {
      this.#host.emit('failure', {callNumber, failure, tokensReturned: 0});
      this.#cancel(stream, failure);
      return;
    }
    this.#host.report({callNumber, kind: 'requestEnd'});
  }

  #handleResolve(query: FrameFields['resolve']): void {
    const {callNumber} = query;
    if (this.#add(callNumber) !== undefined) {
      this.#host.report({callNumber, kind: 'resolveReceived', query});
    }
  }

  #refuse(
    stream: IncomingStream,
    result: ResultName,
    tokensReturned: number,
  ): void {
    this.#remove(stream);
    this.#host.emit('refusal', {
      callNumber: stream.callNumber,
      failure: createFailure(result),
      load: undefined,
      retryAfterMilliseconds: 0,
      tokensReturned,
    });
  }

  #remove(stream: IncomingStream): void {
    this.#streams.delete(stream.callNumber);
    const unsentBytes = stream.answer?.body.getUnsentBytes() ?? 0;
    this.#host.removeBufferedBytes(
      unsentBytes + stream.request.getUnconsumedBytes(),
    );
  }

  #sendOutcome(stream: IncomingStream, outcome: AnswerOutcome): void {
    const {callNumber} = stream;
    if (outcome.kind === 'refusal') {
      this.#host.emit('refusal', {...outcome.refusal, callNumber});
    } else if (outcome.kind === 'failure') {
      const {failure, tokensReturned} = outcome;
      this.#host.emit('failure', {callNumber, failure, tokensReturned});
    }
    this.#remove(stream);
    this.#onFinished(callNumber);
  }

  #sendPart(
    stream: IncomingStream,
    answer: AnswerSource,
    body: Uint8Array | undefined,
  ): void {
    const {callNumber, isHeadSent} = stream;
    const head = answer.getHead();
    const outcome = answer.getOutcome();
    const isLast = outcome?.kind === 'end' && answer.body.isDrained();
    const end = isLast ? createAnswerEnd(answer, outcome.trailer) : undefined;
    if (!isHeadSent && head !== undefined) {
      stream.isHeadSent = true;
      this.#host.emit('answer', {callNumber, end, head}, body);
    } else {
      if (body !== undefined) {
        this.#host.emit('answerBody', {callNumber}, body);
      }
      if (end !== undefined) {
        this.#host.emit('answerEnd', {callNumber, end});
      }
    }
    if (end !== undefined) {
      this.#remove(stream);
      this.#onFinished(callNumber);
    }
  }
}

function createAnswerEnd(
  answer: AnswerSource,
  trailer: AnswerTrailer,
): AnswerEnd {
  const {checksum, length} = answer.body.getEnd();
  const {load, tokensReturned} = trailer;
  return {checksum, length, load, tokensReturned};
}
