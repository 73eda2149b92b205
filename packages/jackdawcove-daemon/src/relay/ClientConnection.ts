/** One connection of a caller; answers are sent in the order of the requests. */

import type {ResultAnswer} from '../dataPlane/CallerExchange.js';
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

import {STATUS_CODES} from 'node:http';

import {
  findRequestFraming,
  isBodiless,
  isConnectionClosed,
  LINE_END,
  MessageReader,
  parseHead,
} from 'jackdawcove-relay';

/** Options of a connection, set by its listener. */
export type ClientConnectionOptions = {
  readonly clock: MonotonicClock;
  readonly dialect: RelayDialect;
  readonly getRequestRules: () => HeaderRules;
  /** Whether the daemon drains; each connection then closes after its next answer. */
  readonly isDraining: () => boolean;
  readonly limits: MessageLimits;
  readonly onClosed: (connection: ClientConnection) => void;
  readonly onRequest: (
    head: HttpHead,
    body: Buffer,
    exchange: RelayExchange,
  ) => void;
  readonly onUnanswered: (requests: UnansweredRequests) => void;
};

type AnswerText = {
  readonly body: Uint8Array;
  readonly headerLines: string;
  readonly status: number;
};

type PendingAnswer = RelayExchange & {
  isEnded: boolean;
  readonly isLast: boolean;
  readonly method: string;
  readonly receivedAt: Milliseconds;
  text: AnswerText | undefined;
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
    this.#registerSocket();
  }

  /** Closes the connection unless a request is open or being received. */
  closeIfIdle(): void {
    if (this.#answers.length === 0 && this.#reader.getPosition() === 'start') {
      this.#closeIdle();
    }
  }

  /** Closes the connection when it has been idle, or has been sending a head, for too long. */
  checkTimeouts(
    now: Milliseconds,
    idleTimeoutMilliseconds: Milliseconds,
    headerTimeoutMilliseconds: Milliseconds,
  ): void {
    if (this.#answers.length > 0) {
      return;
    }
    const inactiveMilliseconds = now - this.#lastActiveAt;
    const position = this.#reader.getPosition();
    if (
      position === 'start' &&
      inactiveMilliseconds > idleTimeoutMilliseconds
    ) {
      this.#closeIdle();
    } else if (
      position === 'head' &&
      inactiveMilliseconds > headerTimeoutMilliseconds
    ) {
      this.#fail('callerTimeout');
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
    this.#socket.end();
  }

  #registerSocket(): void {
    const socket = this.#socket;
    socket.setNoDelay(true);
    socket.on('data', (bytes) => {
      this.#lastActiveAt = this.#options.clock();
      const fault = this.#reader.push(bytes);
      if (fault !== undefined) {
        this.#fail(FAULT_RESULTS[fault]);
      }
    });
    // The `close` event that follows ends the open requests.
    socket.on('error', NO_OPERATION);
    socket.on('end', () => {
      this.#handleDisconnect('callerClosed');
    });
    socket.on('close', () => {
      this.#handleDisconnect('connectionReset');
      this.#options.onClosed(this);
    });
  }

  #handleDisconnect(cause: UnansweredCause): void {
    if (this.#isDisconnected) {
      return;
    }
    this.#isDisconnected = true;
    this.#reader.stop();
    this.#abandonRequests(cause);
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
    const answer = this.#addAnswer(head);
    this.#options.onRequest(head, body, answer);
  }

  #addAnswer(head: HttpHead | undefined): PendingAnswer {
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
      text: undefined,
    };
    this.#answers.push(answer);
    return answer;
  }

  /** Rejects input that cannot be read, after the pending answers. */
  #fail(result: ResultName): void {
    this.#reader.stop();
    if (!this.#isEnding && !this.#isDisconnected) {
      this.#addAnswer(undefined).answerWithResult({executed: 'no', result});
    }
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
    this.#flush();
  }

  #flush(): void {
    for (;;) {
      const [first] = this.#answers;
      if (first?.text === undefined || this.#isDisconnected) {
        return;
      }
      this.#answers.shift();
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

function encodeAnswer(
  {body, headerLines, status}: AnswerText,
  method: string,
  isLast: boolean,
): Buffer {
  const hasBody = !isBodiless(method, status);
  const head =
    `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ''}${LINE_END}${headerLines}` +
    (hasBody ? `content-length: ${String(body.length)}${LINE_END}` : '') +
    (isLast ? `connection: close${LINE_END}${LINE_END}` : LINE_END);
  const bodyBytes = hasBody ? body.length : 0;
  const bytes = Buffer.allocUnsafe(head.length + bodyBytes);
  bytes.write(head, 0, 'latin1');
  if (bodyBytes > 0) {
    bytes.set(body, head.length);
  }
  return bytes;
}
