/** One connection to the local backend server, with one request at a time. */

import type {
  BackendOutcome,
  BackendRequest,
  StrayAnswer,
  StrayAnswerCause,
} from './BackendTypes.js';
import type {AnswerClassification, RelayDialect} from './RelayTypes.js';
import type {BodyFraming, HttpHead, MessageFault} from 'jackdawcove-relay';
import type {Address} from 'jackdawcove-shared';
import type {Socket} from 'node:net';

import {connect} from 'node:net';

import {
  findAnswerFraming,
  isConnectionClosed,
  MessageReader,
  parseHead,
  parseStatus,
} from 'jackdawcove-relay';
import {FIRST_FINAL_STATUS, MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  BACKEND_CONNECT_TIMEOUT_MILLISECONDS,
  DEFAULT_MAXIMUM_IDLE_MILLISECONDS,
  FIRST_ERROR_STATUS,
  MAXIMUM_ANSWER_BODY_BYTES,
  MAXIMUM_ANSWER_HEAD_BYTES,
  MAXIMUM_FAILED_IDENTIFIERS,
  MAXIMUM_SKIPPED_ANSWERS,
  READ_BUFFER_BYTES,
  USABLE_IDLE_TIME_SHARE,
} from './RelayConstants.js';

/** Handlers of the events of a connection. */
export type BackendConnectionOwner = {
  readonly onClosed: (connection: BackendConnection) => void;
  readonly onIdle: (connection: BackendConnection) => void;
  /**
   * Called when the received part of a body has grown, or shrunk because it has ended.
   * Returns false if the connection must not read on until it is resumed.
   */
  readonly onReceived: (
    connection: BackendConnection,
    byteCount: number,
  ) => boolean;
  readonly onStrayAnswer: (stray: StrayAnswer) => void;
};

type Exchange = {
  readonly onEnd: (outcome: BackendOutcome) => void;
  readonly request: BackendRequest;
};

type AnswerHead = {
  readonly head: HttpHead;
  readonly isFramed: boolean;
  readonly status: number;
};

/** All connections read into this one buffer and copy what they received. */
const READ_BUFFER = Buffer.alloc(READ_BUFFER_BYTES);

const KEEP_ALIVE_PATTERN = /timeout=(\d+)/;

/** Writes requests to a connection and reads their answers. */
export class BackendConnection {
  /** Idle time after which the connection is not reused. */
  maximumIdleMilliseconds = DEFAULT_MAXIMUM_IDLE_MILLISECONDS;
  idleSince = 0;
  #answerHead: AnswerHead | undefined;
  readonly #dialect: RelayDialect;
  #exchange: Exchange | undefined;
  /** Identifiers of the requests that were refused or failed on this connection. */
  readonly #failedIdentifiers = new Set<string>();
  #isConnected = false;
  #isReusable = true;
  readonly #owner: BackendConnectionOwner;
  readonly #reader: MessageReader;
  #reportedBytes = 0;
  /** Answers before the one to the present request. */
  #skippedAnswers = 0;
  readonly #socket: Socket;

  constructor(
    address: Address,
    dialect: RelayDialect,
    owner: BackendConnectionOwner,
  ) {
    this.#dialect = dialect;
    this.#owner = owner;
    this.#reader = new MessageReader(
      {
        onHead: (text) => this.#handleHead(text),
        onMessage: (body) => {
          this.#handleMessage(body);
        },
      },
      {
        bodyBytes: MAXIMUM_ANSWER_BODY_BYTES,
        headBytes: MAXIMUM_ANSWER_HEAD_BYTES,
      },
    );
    this.#socket = this.#open(address);
  }

  /** Writes a request; `onEnd` is called once, unless the request is aborted. */
  send(
    request: BackendRequest,
    onEnd: (outcome: BackendOutcome) => void,
  ): void {
    this.#exchange = {onEnd, request};
    this.#skippedAnswers = 0;
    const {body, head} = request;
    if (body.length === 0) {
      this.#socket.write(head, 'latin1');
      return;
    }
    this.#socket.cork();
    this.#socket.write(head, 'latin1');
    this.#socket.write(body);
    this.#socket.uncork();
  }

  /** Whether a request can be written; false before the owner gets `onClosed`, too. */
  isOpen(): boolean {
    return this.#socket.writable;
  }

  /**
   * Whether a request with this identifier was refused or failed here. If the backend
   * server repeated that answer, it could not be told from the answer to the next attempt.
   */
  hasFailed(requestIdentifier: string): boolean {
    return this.#failedIdentifiers.has(requestIdentifier);
  }

  /** Number of bytes received so far of the body of an answer. */
  getReceivedBodyBytes(): number {
    return this.#socket.destroyed
      ? 0
      : (this.#reader.getBody()?.getByteCount() ?? 0);
  }

  /** Whether the answer that is being received does not state its length. */
  isAnswerUnbounded(): boolean {
    return this.#reader.getBody()?.isUnbounded() ?? false;
  }

  /** Reads on after `onReceived` returned false. */
  resume(): void {
    this.#socket.resume();
  }

  /** Closes the connection and fails the request whose answer it receives. */
  cutAnswer(): void {
    this.#close();
    this.#reportReceived();
    this.#endExchange({kind: 'broken'});
  }

  /** Closes the connection; the outcome of a running request is not reported. */
  abort(): void {
    this.#exchange = undefined;
    this.#socket.destroy();
  }

  #open(address: Address): Socket {
    const socket = connect({
      ...address,
      noDelay: true,
      onread: {
        buffer: READ_BUFFER,
        callback: (byteCount, buffer) => {
          this.#receive(Buffer.from(buffer.subarray(0, byteCount)));
          return this.#reportReceived();
        },
      },
    });
    socket.setTimeout(BACKEND_CONNECT_TIMEOUT_MILLISECONDS, () => {
      socket.destroy();
    });
    socket.on('connect', () => {
      this.#isConnected = true;
      socket.setTimeout(0);
    });
    // The `close` event that follows reports the outcome.
    socket.on('error', () => undefined);
    socket.on('end', () => {
      this.#receiveEnd();
    });
    socket.on('close', () => {
      this.#owner.onClosed(this);
      this.#reportReceived();
      this.#endExchange({kind: this.#isConnected ? 'broken' : 'unsent'});
    });
    return socket;
  }

  #close(): void {
    this.#isReusable = false;
    this.#reader.stop();
    this.#socket.destroy();
  }

  /** Bytes after a complete answer do not belong to any request. */
  #closeIdle(status: number | undefined): void {
    this.#reportStray('idle', status);
    this.#close();
  }

  #receive(bytes: Buffer): void {
    if (this.#exchange === undefined) {
      this.#closeIdle(undefined);
      return;
    }
    const fault = this.#reader.push(bytes);
    if (this.#hasSurplus(fault)) {
      this.#closeIdle(undefined);
    } else if (fault !== undefined) {
      this.cutAnswer();
    }
  }

  /** Reports the change since the last report; returns whether to read on. */
  #reportReceived(): boolean {
    const byteCount = this.getReceivedBodyBytes();
    const change = byteCount - this.#reportedBytes;
    this.#reportedBytes = byteCount;
    return change === 0 || this.#owner.onReceived(this, change);
  }

  /** Whether a part of another message follows the complete answer. */
  #hasSurplus(fault: MessageFault | undefined): boolean {
    return (
      this.#exchange === undefined &&
      (fault !== undefined || this.#reader.getPosition() !== 'start')
    );
  }

  /** An answer that only ends here may be truncated; its `isFramed` is false. */
  #receiveEnd(): void {
    this.#isReusable = false;
    this.#reader.end();
    this.#close();
  }

  #handleHead(text: string): BodyFraming | MessageFault {
    const head = parseHead(text, this.#dialect.answerRules);
    const status = head && parseStatus(head.startLine);
    if (head === undefined || status === undefined) {
      return 'malformed';
    }
    const method = this.#exchange?.request.method ?? 'GET';
    const framing = findAnswerFraming(method, status, head.values);
    if (framing === 'malformed') {
      return 'malformed';
    }
    const isFramed = framing.kind !== 'untilClose';
    this.#answerHead = {head, isFramed, status};
    this.#isReusable &&= isFramed && !isConnectionClosed(head.values);
    this.#applyKeepAlive(head.values.get('keep-alive'));
    return framing;
  }

  #applyKeepAlive(keepAlive: string | undefined): void {
    const seconds =
      keepAlive === undefined
        ? undefined
        : KEEP_ALIVE_PATTERN.exec(keepAlive)?.[1];
    if (seconds !== undefined) {
      this.maximumIdleMilliseconds =
        Number(seconds) * MILLISECONDS_PER_SECOND * USABLE_IDLE_TIME_SHARE;
    }
  }

  #handleMessage(body: Buffer): void {
    const answerHead = this.#answerHead;
    const exchange = this.#exchange;
    if (answerHead === undefined || exchange === undefined) {
      this.#closeIdle(answerHead?.status);
      return;
    }
    const {head, isFramed, status} = answerHead;
    if (status < FIRST_FINAL_STATUS) {
      this.#skipAnswer();
      return;
    }
    const classification = this.#dialect.classifyAnswer({
      isFramed,
      requestIdentifier: exchange.request.requestIdentifier,
      status,
      values: head.values,
    });
    if (classification === 'foreign') {
      // A late answer to an earlier request precedes the expected one.
      this.#isReusable = false;
      this.#reportStray('foreign', status);
      this.#skipAnswer();
      return;
    }
    if (classification === 'unidentified') {
      this.#reportStray(classification, status);
    }
    if (classification === 'notRun' || status >= FIRST_ERROR_STATUS) {
      this.#recordFailed(exchange.request);
    }
    this.#completeAnswer(classification, answerHead, body);
  }

  #recordFailed({requestIdentifier}: BackendRequest): void {
    this.#failedIdentifiers.add(requestIdentifier);
    this.#isReusable &&=
      this.#failedIdentifiers.size < MAXIMUM_FAILED_IDENTIFIERS;
  }

  #reportStray(cause: StrayAnswerCause, status: number | undefined): void {
    const requestIdentifier = this.#exchange?.request.requestIdentifier;
    this.#owner.onStrayAnswer({cause, requestIdentifier, status});
  }

  #skipAnswer(): void {
    this.#skippedAnswers += 1;
    if (this.#skippedAnswers > MAXIMUM_SKIPPED_ANSWERS) {
      this.cutAnswer();
    }
  }

  #completeAnswer(
    classification: Exclude<AnswerClassification, 'foreign'>,
    {head, status}: AnswerHead,
    body: Buffer,
  ): void {
    const isFailed =
      classification === 'broken' || classification === 'unidentified';
    if (isFailed || !this.#isReusable || this.#socket.writableLength > 0) {
      this.#close();
    }
    if (isFailed) {
      this.#endExchange({kind: classification});
      return;
    }
    const condition = this.#dialect.readCondition(head.values);
    this.#endExchange(
      classification === 'notRun'
        ? {condition, kind: 'notRun', status}
        : {
            body,
            condition,
            headerLines: head.forwardedLines,
            kind: 'answer',
            status,
          },
    );
    if (this.#isReusable) {
      this.#owner.onIdle(this);
    }
  }

  #endExchange(outcome: BackendOutcome): void {
    const exchange = this.#exchange;
    this.#exchange = undefined;
    exchange?.onEnd(outcome);
  }
}
