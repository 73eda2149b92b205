/** Caller side of the calls of one session. */

import type {BodyProgress} from './BodyReceiver.js';
import type {Frame, FrameFields} from './FrameSchemas.js';
import type {CallNumber} from './SessionEffects.js';
import type {AnswerEnd, CallHead} from './SessionSchemas.js';
import type {StreamHost} from './StreamHost.js';
import type {Failure} from 'jackdawcove-shared';

import {BodyReceiver} from './BodyReceiver.js';
import {BodySender} from './BodySender.js';
import {MAXIMUM_BODY_CHUNK_BYTES} from './SessionConstants.js';

type OutgoingStream = {
  readonly answer: BodyReceiver;
  readonly callNumber: CallNumber;
  isBlocked: boolean;
  isRequestEndSent: boolean;
  readonly request: BodySender;
  unsentHead: CallHead | undefined;
};

const CALL_NUMBER_STEP = 2;

/** Sends requests and receives their answers. */
export class OutgoingStreams {
  readonly #host: StreamHost;
  #nextCallNumber: CallNumber;
  readonly #streams = new Map<CallNumber, OutgoingStream>();

  constructor(host: StreamHost, firstCallNumber: CallNumber) {
    this.#host = host;
    this.#nextCallNumber = firstCallNumber;
  }

  /** Returns the progress of an answer; undefined if the call is not open. */
  getAnswerProgress(callNumber: CallNumber): BodyProgress | undefined {
    return this.#streams.get(callNumber)?.answer.getProgress();
  }

  /** Returns the number of open calls. */
  getCount(): number {
    return this.#streams.size;
  }

  /** Returns the call number of the next call. */
  getNextCallNumber(): CallNumber {
    return this.#nextCallNumber;
  }

  /** Returns whether nothing of a call was sent yet. */
  isUnsent(callNumber: CallNumber): boolean {
    return this.#streams.get(callNumber)?.unsentHead !== undefined;
  }

  /** Returns whether the request body of a call accepts more bytes. */
  isWritable(callNumber: CallNumber): boolean {
    return this.#streams.get(callNumber)?.request.isWritable() ?? false;
  }

  /** Adds bytes to a request body. */
  addRequestBytes(callNumber: CallNumber, bytes: Uint8Array): void {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return;
    }
    stream.request.add(bytes);
    stream.isBlocked ||= !stream.request.isWritable();
    this.#host.addBufferedBytes(bytes.length);
    this.#host.markReady(callNumber);
  }

  /** Cancels a call. */
  cancel(callNumber: CallNumber): void {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return;
    }
    this.#remove(stream);
    if (stream.unsentHead === undefined) {
      this.#host.emit('cancel', {callNumber});
    }
  }

  /** Records consumed bytes of an answer and grants credit if it is due. */
  consume(callNumber: CallNumber, byteCount: number): void {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return;
    }
    const before = stream.answer.getUnconsumedBytes();
    const granted = stream.answer.consume(byteCount);
    this.#host.removeBufferedBytes(before - stream.answer.getUnconsumedBytes());
    if (granted > 0) {
      this.#host.emit('credit', {byteCount: granted, callNumber});
    }
  }

  /** Ends a request body. */
  endRequest(callNumber: CallNumber): void {
    this.#streams.get(callNumber)?.request.end();
    this.#host.markReady(callNumber);
  }

  /** Opens a call with the next call number. */
  open(head: CallHead): void {
    this.#add(head, undefined);
  }

  /** Queries an attempt of an earlier session with the next call number. */
  resolve(
    query: Omit<FrameFields['resolve'], 'callNumber'>,
    progress: BodyProgress,
  ): void {
    const callNumber = this.#nextCallNumber;
    this.#add(undefined, progress);
    this.#host.emit('resolve', {...query, callNumber});
  }

  /** Handles a frame about a call that this end opened. */
  handleFrame(frame: Frame): void {
    switch (frame.kind) {
      case 'answer':
        this.#handleAnswer(frame.fields, frame.body);
        break;
      case 'answerBody':
        this.#handleBody(frame.fields.callNumber, frame.body);
        break;
      case 'answerEnd':
        this.#handleEnd(frame.fields.callNumber, frame.fields.end);
        break;
      case 'credit':
        this.#handleCredit(frame.fields);
        break;
      case 'failure':
        this.#handleFailure(frame.fields);
        break;
      case 'refusal':
        this.#handleRefusal(frame.fields);
        break;
      case 'resolution':
        this.#handleResolution(frame.fields);
        break;
      default:
        this.#host.close('frameMalformed', frame.kind);
    }
  }

  /** Sends the next ready part of a request; true if more may be ready. */
  sendReady(callNumber: CallNumber): boolean {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      return false;
    }
    const body = stream.request.take(MAXIMUM_BODY_CHUNK_BYTES);
    this.#host.removeBufferedBytes(body?.length ?? 0);
    this.#sendPart(stream, body);
    if (stream.isBlocked && stream.request.isWritable()) {
      stream.isBlocked = false;
      this.#host.report({callNumber, kind: 'writable'});
    }
    return body !== undefined && !stream.request.isDrained();
  }

  #add(head: CallHead | undefined, progress: BodyProgress | undefined): void {
    const callNumber = this.#nextCallNumber;
    const {windowBytes} = this.#host;
    const stream: OutgoingStream = {
      answer: new BodyReceiver(windowBytes, progress),
      callNumber,
      isBlocked: false,
      isRequestEndSent: head === undefined,
      request: new BodySender({isRetaining: false, windowBytes}),
      unsentHead: head,
    };
    this.#nextCallNumber += CALL_NUMBER_STEP;
    this.#streams.set(callNumber, stream);
    if (head !== undefined) {
      this.#host.markReady(callNumber);
    }
  }

  #findOrCountDropped(callNumber: CallNumber): OutgoingStream | undefined {
    const stream = this.#streams.get(callNumber);
    if (stream === undefined) {
      this.#host.countDroppedFrame();
    }
    return stream;
  }

  #fail(stream: OutgoingStream, failure: Failure, tokensReturned = 0): void {
    this.#remove(stream);
    const {callNumber} = stream;
    this.#host.report({callNumber, failure, kind: 'failed', tokensReturned});
  }

  #handleAnswer(fields: FrameFields['answer'], body: Uint8Array): void {
    const {callNumber, end, head} = fields;
    if (this.#findOrCountDropped(callNumber) === undefined) {
      return;
    }
    this.#host.report({callNumber, head, kind: 'answerHead'});
    if (body.length > 0) {
      this.#handleBody(callNumber, body);
    }
    if (end !== undefined) {
      this.#handleEnd(callNumber, end);
    }
  }

  #handleBody(callNumber: CallNumber, body: Uint8Array): void {
    const stream = this.#findOrCountDropped(callNumber);
    if (stream === undefined) {
      return;
    }
    const violation = stream.answer.add(body);
    if (violation !== undefined) {
      this.#host.close(violation.result, violation.detail);
      return;
    }
    this.#host.addBufferedBytes(body.length);
    this.#host.report({body, callNumber, kind: 'answerBody'});
  }

  #handleCredit(fields: FrameFields['credit']): void {
    this.#streams.get(fields.callNumber)?.request.grant(fields.byteCount);
    this.#host.markReady(fields.callNumber);
  }

  #handleEnd(callNumber: CallNumber, end: AnswerEnd): void {
    const stream = this.#findOrCountDropped(callNumber);
    if (stream === undefined) {
      return;
    }
    const failure = stream.answer.finish(end);
    if (failure !== undefined && this.#host.checksBodies) {
      this.#fail(stream, failure);
      return;
    }
    this.#remove(stream);
    this.#host.report({callNumber, end, kind: 'answerEnd'});
  }

  #handleFailure(fields: FrameFields['failure']): void {
    const stream = this.#findOrCountDropped(fields.callNumber);
    if (stream !== undefined) {
      this.#fail(stream, fields.failure, fields.tokensReturned);
    }
  }

  #handleRefusal(fields: FrameFields['refusal']): void {
    const {callNumber, ...refusal} = fields;
    const stream = this.#findOrCountDropped(callNumber);
    if (stream !== undefined) {
      this.#remove(stream);
      this.#host.report({callNumber, kind: 'refused', refusal});
    }
  }

  #handleResolution(fields: FrameFields['resolution']): void {
    const {callNumber, resolution} = fields;
    const stream = this.#findOrCountDropped(callNumber);
    if (stream === undefined) {
      return;
    }
    if (resolution === 'neverSeen' || resolution === 'unknown') {
      this.#remove(stream);
    }
    this.#host.report({callNumber, kind: 'resolution', resolution});
  }

  #remove(stream: OutgoingStream): void {
    this.#streams.delete(stream.callNumber);
    const {answer, request} = stream;
    this.#host.removeBufferedBytes(
      request.getUnsentBytes() + answer.getUnconsumedBytes(),
    );
    request.clear();
  }

  #sendPart(stream: OutgoingStream, body: Uint8Array | undefined): void {
    const {callNumber, request, unsentHead: head} = stream;
    const isLast = request.isDrained();
    if (head !== undefined) {
      const end = isLast ? request.getEnd() : undefined;
      stream.unsentHead = undefined;
      stream.isRequestEndSent = isLast;
      this.#host.emit('call', {callNumber, end, head}, body);
      return;
    }
    if (body !== undefined) {
      this.#host.emit('callBody', {callNumber}, body);
    }
    if (isLast && !stream.isRequestEndSent) {
      stream.isRequestEndSent = true;
      this.#host.emit('callEnd', {callNumber, end: request.getEnd()});
    }
  }
}
