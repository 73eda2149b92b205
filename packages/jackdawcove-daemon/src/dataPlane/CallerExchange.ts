/** HTTP request of a caller and the answer written to it. */

import type {AnswerDialect} from '../embedding/EmbeddingTypes.js';
import type {HeldAnswer} from 'jackdawcove-ledger';
import type {Header} from 'jackdawcove-session';
import type {Executed, ResultName} from 'jackdawcove-shared';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {DEFAULT_ANSWER_DIALECT} from '../embedding/defaultDialects.js';
import {KEY_HEADER} from './DataPlaneConstants.js';
import {selectRequestHeaders} from './HttpHeaders.js';

/** Answer that reports a result code of the daemon instead of a backend answer. */
export type ResultAnswer = {
  readonly executed: Executed;
  readonly result: ResultName;
  readonly retryAfterMilliseconds?: number | undefined;
};

/** Number of requests per connection whose answers are incomplete. */
const openExchanges = new WeakMap<Socket, number>();

function adjustOpenExchanges(socket: Socket, change: number): number {
  const count = (openExchanges.get(socket) ?? 0) + change;
  openExchanges.set(socket, count);
  return count;
}

/** Writes the answer to one request. */
export class CallerExchange {
  readonly incoming: IncomingMessage;
  readonly #dialect: AnswerDialect;
  readonly #shouldCloseConnection: () => boolean;
  readonly #outgoing: ServerResponse;
  #mintedKey: string | undefined;

  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    shouldCloseConnection: () => boolean,
    dialect: AnswerDialect = DEFAULT_ANSWER_DIALECT,
  ) {
    this.#dialect = dialect;
    this.incoming = incoming;
    this.#outgoing = outgoing;
    const {socket} = incoming;
    adjustOpenExchanges(socket, 1);
    outgoing.once('finish', () => {
      adjustOpenExchanges(socket, -1);
    });
    this.#shouldCloseConnection = shouldCloseConnection;
  }

  /** Whether the head of the answer was written. */
  isAnswerStarted(): boolean {
    return this.#outgoing.headersSent;
  }

  /** Request headers that are forwarded to the backend server. */
  getForwardedHeaders(): readonly Header[] {
    return selectRequestHeaders(this.incoming.headers);
  }

  /** Whether the caller is known to have closed its connection. */
  isDisconnected(): boolean {
    const {socket} = this.incoming;
    return socket.destroyed || socket.readableEnded;
  }

  /**
   * Calls the listener once if the caller disconnects before its answer is
   * complete. Answers of pipelined requests have no socket yet, so the
   * listeners are added to the request's socket.
   */
  onDisconnected(listener: () => void): void {
    const {socket} = this.incoming;
    const report = (): void => {
      remove();
      if (!this.#outgoing.writableFinished) {
        listener();
      }
    };
    const remove = (): void => {
      socket.off('close', report);
      socket.off('end', report);
      this.#outgoing.off('close', report);
    };
    socket.on('close', report);
    socket.on('end', report);
    this.#outgoing.on('close', report);
    this.#outgoing.on('finish', remove);
  }

  /** Calls the listener whenever the answer's write buffer has drained. */
  onWritable(listener: () => void): void {
    this.#outgoing.on('drain', listener);
  }

  /** Sets the minted idempotency key to return in the answer's headers. */
  setMintedKey(key: string): void {
    this.#mintedKey = key;
  }

  /** Writes the head of a forwarded answer. */
  writeHead(status: number, headers: readonly Header[]): void {
    this.#writeHead(status, this.#dialect.createForwardedHeaders(headers));
  }

  /** Writes a part of a forwarded body; false asks the sender to pause. */
  write(bytes: Uint8Array): boolean {
    return this.#outgoing.write(bytes);
  }

  /** Ends a forwarded answer. */
  end(): void {
    this.#outgoing.end();
  }

  /**
   * Destroys the connection, so that a partial answer does not look complete.
   */
  abort(): void {
    this.#outgoing.destroy();
  }

  /** Answers with the answer that the ledger holds for an idempotency key. */
  replayAnswer(answer: HeldAnswer): void {
    this.writeHead(answer.status, answer.headers);
    this.#outgoing.end(answer.body);
  }

  /**
   * Answers with a result code, or aborts an answer that was already started.
   */
  answer(answer: ResultAnswer): void {
    if (this.isAnswerStarted()) {
      this.abort();
      return;
    }
    const {body, headers, status} = this.#dialect.createResultAnswer(answer);
    const length = String(Buffer.byteLength(body));
    this.#writeHead(status, [...headers, ['content-length', length]]);
    this.#outgoing.end(body);
  }

  /**
   * Answers with a result code and closes the connection of an unfinished
   * request.
   */
  answerAndClose(answer: ResultAnswer): void {
    this.#outgoing.shouldKeepAlive = false;
    this.answer(answer);
    this.#outgoing.once('finish', () => {
      this.incoming.destroy();
    });
  }

  #writeHead(status: number, headers: readonly Header[]): void {
    // Closing earlier would truncate the answers of later pipelined requests.
    const isLast = adjustOpenExchanges(this.incoming.socket, 0) <= 1;
    if (this.#shouldCloseConnection() && isLast) {
      this.#outgoing.shouldKeepAlive = false;
    }
    const flat = headers.flat();
    if (this.#mintedKey !== undefined) {
      flat.push(KEY_HEADER, this.#mintedKey);
    }
    this.#outgoing.writeHead(status, flat);
  }
}
