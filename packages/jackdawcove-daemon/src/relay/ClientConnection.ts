/** One connection of a caller; answers are sent in the order of the requests. */

import type {ResultAnswer} from '../dataPlane/CallerExchange.js';
import type {AnswerText} from './encodeAnswer.js';
import type {TimeoutLimits} from './findTimeout.js';
import type {PendingAnswer} from './PendingAnswer.js';
import type {RelayDialect, RelayExchange} from './RelayTypes.js';
import type {
  UnansweredCause,
  UnansweredRequests,
} from './UnansweredRequests.js';
import type {
  BodyFraming,
  HeaderRules,
  HttpHead,
  MessageFault,
  MessageLimits,
} from 'jackdawcove-relay';
import type {
  Milliseconds,
  MonotonicClock,
  ResultName,
} from 'jackdawcove-shared';
import type {Socket} from 'node:net';

import {
  findRequestFraming,
  isConnectionClosed,
  LINE_END,
  MessageReader,
  parseHead,
} from 'jackdawcove-relay';

import {encodeAnswer} from './encodeAnswer.js';
import {findTimeout} from './findTimeout.js';
import {HeldBytes} from './HeldBytes.js';
import {
  MAXIMUM_PIPELINED_REQUESTS,
  MAXIMUM_UNREAD_ANSWER_BYTES,
} from './RelayConstants.js';

/** Options of a connection, set by its listener. */
export type ClientConnectionOptions = {
  readonly clock: MonotonicClock;
  readonly dialect: RelayDialect;
  readonly getRequestRules: () => HeaderRules;
  /** Whether the daemon drains; each connection then closes after its next answer. */
  readonly isDraining: () => boolean;
  readonly limits: MessageLimits;
  readonly onClosed: (connection: ClientConnection) => void;
  /** Called with a change of the bytes that the connection holds. */
  readonly onHeldBytes: (byteCount: number) => void;
  readonly onReceivedBytes: (byteCount: number) => void;
  readonly onRequest: (
    head: HttpHead,
    body: Buffer,
    exchange: RelayExchange,
  ) => void;
  readonly onUnanswered: (requests: UnansweredRequests) => void;
};

const FAULT_RESULTS: Readonly<Record<MessageFault, ResultName>> = {
  bodyTooLarge: 'bodyTooLarge',
  headersTooLarge: 'headersTooLarge',
  malformed: 'malformedRequest',
};
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const HTTP_1_0 = 'HTTP/1.0';
const NO_OPERATION = (): void => undefined;

/** Reads requests and writes their answers. */
export class ClientConnection {
  readonly #answers: PendingAnswer[] = [];
  #head: HttpHead | undefined;
  readonly #held: HeldBytes;
  #isEnding = false;
  #isDisconnected = false;
  #lastActiveAt: Milliseconds;
  readonly #options: ClientConnectionOptions;
  readonly #reader: MessageReader;
  readonly #socket: Socket;

  constructor(socket: Socket, options: ClientConnectionOptions) {
    this.#lastActiveAt = options.clock();
    this.#options = options;
    this.#socket = socket;
    this.#reader = new MessageReader(
      {
        onHead: (text) => this.#handleHead(text),
        onMessage: (body) => {
          this.#handleRequest(body);
        },
      },
      options.limits,
    );
    this.#held = new HeldBytes(socket, this.#reader, options);
    this.#registerSocket();
  }

  /** Closes the connection unless a request is open or being received. */
  closeIfIdle(): void {
    if (this.#answers.length === 0 && this.#reader.getPosition() === 'start') {
      this.#closeIdle();
    }
  }

  /**
   * Closes the connection when it has been idle, has been sending a head, or has neither
   * sent its body nor read its answers, for too long.
   */
  checkTimeouts(now: Milliseconds, limits: TimeoutLimits): void {
    const timeout = findTimeout(
      {
        hasOpenRequests: this.#answers.length > 0,
        hasUnreadAnswers: this.#socket.writableLength > 0,
        inactiveMilliseconds: now - this.#lastActiveAt,
        isEnding: this.#isEnding,
        position: this.#reader.getPosition(),
        stalledMilliseconds: this.#held.getStalledMilliseconds(now),
      },
      limits,
    );
    if (timeout === 'idle') {
      this.#closeIdle();
    } else if (timeout === 'request') {
      this.#fail('callerTimeout');
    } else if (timeout === 'unread') {
      this.#socket.destroy();
    }
  }

  /** What the connection holds and for how long neither end has made progress. */
  getHeldBytes(): HeldBytes {
    return this.#held;
  }

  /** Whether the connection is not read at present. */
  isPaused(): boolean {
    return this.#socket.isPaused();
  }

  /** Whether no request is open; its caller sees the close and sends the next elsewhere. */
  isIdle(): boolean {
    return this.#answers.length === 0 && !this.#isEnding;
  }

  /**
   * Frees memory: refuses the request that is being received, or else closes the
   * connection, whose caller does not read its answers.
   */
  release(): void {
    if (this.#reader.getHeldBytes() > this.#held.getUnreadBytes()) {
      this.#fail('tooManyBufferedBytes');
    } else {
      this.#handleDisconnect('unread');
      this.#socket.destroy();
    }
  }

  /** Whether a request is being received, is open, or has an answer that is not written. */
  isBusy(): boolean {
    return (
      this.#socket.writableLength > 0 ||
      (!this.#isDisconnected &&
        (this.#answers.length > 0 ||
          (!this.#isEnding && this.#reader.getPosition() !== 'start')))
    );
  }

  destroy(): void {
    this.#handleDisconnect('shutdown');
    this.#socket.destroy();
  }

  #closeIdle(): void {
    this.#isEnding = true;
    this.#lastActiveAt = this.#options.clock();
    this.#socket.end();
  }

  #registerSocket(): void {
    const socket = this.#socket;
    socket.setNoDelay(true);
    socket.on('data', (bytes) => {
      this.#lastActiveAt = this.#options.clock();
      this.#handleFault(this.#reader.push(bytes));
      this.#held.report();
      this.#options.onReceivedBytes(bytes.length);
    });
    socket.on('drain', () => {
      this.#resumeReading();
      this.#held.report();
    });
    // The `close` event that follows ends the open requests.
    socket.on('error', NO_OPERATION);
    socket.on('end', () => this.#handleDisconnect('callerClosed'));
    socket.on('close', () => {
      this.#handleDisconnect('connectionReset');
      this.#held.clear();
      this.#options.onClosed(this);
    });
  }

  #handleFault(fault: MessageFault | undefined): void {
    if (fault !== undefined) {
      this.#fail(FAULT_RESULTS[fault]);
    }
  }

  #isBackpressured(): boolean {
    return (
      this.#answers.length >= MAXIMUM_PIPELINED_REQUESTS ||
      this.#held.getUnreadBytes() > MAXIMUM_UNREAD_ANSWER_BYTES
    );
  }

  /** Stops reading while a caller has too many requests open, or reads no answers. */
  #pauseReading(): void {
    if (this.#isBackpressured() && !this.#socket.isPaused()) {
      this.#reader.pause();
      this.#socket.pause();
    }
  }

  #resumeReading(): void {
    const canRead = !this.#reader.isStopped() && !this.#isBackpressured();
    if (canRead && this.#socket.isPaused()) {
      this.#socket.resume();
      this.#handleFault(this.#reader.resume());
    }
  }

  #handleDisconnect(cause: UnansweredCause): void {
    if (this.#isDisconnected) {
      return;
    }
    this.#isDisconnected = true;
    this.#reader.stop();
    this.#abandonRequests(cause);
    this.#held.abandonRequests();
  }

  #abandonRequests(cause: UnansweredCause): void {
    this.#reportUnanswered(cause);
    for (const answer of this.#answers) {
      if (!answer.isEnded) {
        answer.isEnded = true;
        answer.onDisconnected();
      }
    }
  }

  #reportUnanswered(cause: UnansweredCause): void {
    const openCount = this.#answers.filter(({isEnded}) => !isEnded).length;
    const waitingCount = this.#answers.length - openCount;
    const isPartlyWritten =
      cause === 'shutdown' && this.#socket.writableLength > 0;
    const readyCount = waitingCount + Number(isPartlyWritten);
    if (openCount + readyCount > 0) {
      const since = this.#answers[0]?.receivedAt ?? this.#lastActiveAt;
      this.#options.onUnanswered({
        ageMilliseconds: this.#options.clock() - since,
        cause,
        openCount,
        readyCount,
      });
    }
  }

  #handleHead(text: string): BodyFraming | MessageFault {
    const head = parseHead(text, this.#options.getRequestRules());
    if (head === undefined) {
      return 'malformed';
    }
    const framing = findRequestFraming(head.values);
    this.#head = head;
    const isContinueExpected =
      head.values.get('expect')?.toLowerCase() === '100-continue';
    if (isContinueExpected && this.#answers.length === 0 && !this.#isEnding) {
      this.#socket.write(CONTINUE);
    }
    return framing;
  }

  #handleRequest(body: Buffer): void {
    const head = this.#head;
    this.#head = undefined;
    if (head === undefined) {
      return;
    }
    if (this.#isEnding) {
      // Nothing can be written any more. Its caller sees the close and sends it again.
      this.#options.onUnanswered({
        ageMilliseconds: 0,
        cause: 'closedWhileIdle',
        openCount: 1,
        readyCount: 0,
      });
      return;
    }
    const answer = this.#addAnswer(head, body.length);
    this.#options.onRequest(head, body, answer);
    this.#pauseReading();
  }

  #addAnswer(head: HttpHead | undefined, requestBytes: number): PendingAnswer {
    const startLine = head?.startLine ?? '';
    const answer: PendingAnswer = {
      answer: (status, headerLines, body) => {
        this.#end(answer, {body, headerLines, status});
      },
      answerWithResult: (resultAnswer) => {
        this.#endWithResult(answer, resultAnswer);
      },
      isDisconnected: () => this.#isDisconnected,
      isEnded: false,
      isLast:
        head === undefined ||
        isConnectionClosed(head.values) ||
        startLine.endsWith(HTTP_1_0),
      method: startLine.slice(0, startLine.indexOf(' ')),
      onDisconnected: NO_OPERATION,
      receivedAt: this.#lastActiveAt,
      requestBytes,
      text: undefined,
    };
    this.#answers.push(answer);
    this.#held.addRequest(requestBytes);
    return answer;
  }

  /** Rejects input, after the pending answers; what else arrives is not read. */
  #fail(result: ResultName): void {
    this.#reader.stop();
    if (!this.#isEnding && !this.#isDisconnected) {
      this.#addAnswer(undefined, 0).answerWithResult({executed: 'no', result});
      this.#socket.pause();
    }
    this.#held.report();
  }

  #endWithResult(answer: PendingAnswer, resultAnswer: ResultAnswer): void {
    const {body, headers, status} =
      this.#options.dialect.createResultAnswer(resultAnswer);
    const headerLines = headers
      .map(([name, value]) => `${name}: ${value}${LINE_END}`)
      .join('');
    this.#end(answer, {body: Buffer.from(body), headerLines, status});
  }

  #end(answer: PendingAnswer, text: AnswerText): void {
    if (answer.isEnded) {
      return;
    }
    answer.isEnded = true;
    answer.text = text;
    this.#held.replaceRequest(answer.requestBytes, text.body.length);
    this.#flush();
    this.#resumeReading();
    this.#held.report();
  }

  #flush(): void {
    for (;;) {
      const [first] = this.#answers;
      if (first?.text === undefined || this.#isDisconnected) {
        return;
      }
      this.#answers.shift();
      this.#held.removeAnswer(first.text.body.length);
      this.#lastActiveAt = this.#options.clock();
      const isLast = first.isLast || this.#isDrained();
      const bytes = encodeAnswer(first.text, first.method, isLast);
      if (isLast) {
        this.#writeLast(bytes);
        return;
      }
      this.#socket.write(bytes);
    }
  }

  /** Whether the daemon drains and no further request is open or being received. */
  #isDrained(): boolean {
    return (
      this.#answers.length === 0 &&
      this.#options.isDraining() &&
      this.#reader.getPosition() === 'start'
    );
  }

  /** Writes the last answer; requests pipelined after it are discarded. */
  #writeLast(bytes: Buffer): void {
    this.#isEnding = true;
    this.#reader.stop();
    this.#socket.end(bytes);
    this.#abandonRequests('behindLastAnswer');
  }
}
