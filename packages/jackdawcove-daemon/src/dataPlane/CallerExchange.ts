/** One HTTP exchange with a caller: the request read, the answer written. */

import type {AnswerDialect} from '../embedding/EmbeddingTypes.js';
import type {HeldAnswer} from 'jackdawcove-ledger';
import type {Header} from 'jackdawcove-session';
import type {Executed, ResultName} from 'jackdawcove-shared';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {OWN_ANSWER_DIALECT} from '../embedding/ownDialects.js';
import {KEY_HEADER} from './DataPlaneConstants.js';
import {selectRequestHeaders} from './HttpHeaders.js';

/** A result that the daemon itself answers with. */
export type OwnAnswer = {
  readonly executed: Executed;
  readonly result: ResultName;
  readonly retryAfterMilliseconds?: number | undefined;
};

/** Requests of each connection that have not been answered whole. */
const openExchanges = new WeakMap<Socket, number>();

function adjustOpenExchanges(socket: Socket, change: number): number {
  const count = (openExchanges.get(socket) ?? 0) + change;
  openExchanges.set(socket, count);
  return count;
}

/** Writes the answer to one caller. */
export class CallerExchange {
  readonly incoming: IncomingMessage;
  readonly #dialect: AnswerDialect;
  readonly #isClosing: () => boolean;
  readonly #outgoing: ServerResponse;
  #mintedKey: string | undefined;

  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    isClosing: () => boolean,
    dialect: AnswerDialect = OWN_ANSWER_DIALECT,
  ) {
    this.#dialect = dialect;
    this.incoming = incoming;
    this.#outgoing = outgoing;
    const {socket} = incoming;
    adjustOpenExchanges(socket, 1);
    outgoing.once('finish', () => {
      adjustOpenExchanges(socket, -1);
    });
    this.#isClosing = isClosing;
  }

  /** Whether the head of the answer was written. */
  isAnswerStarted(): boolean {
    return this.#outgoing.headersSent;
  }

  /** Headers of the request that the backend server is to see. */
  getForwardedHeaders(): readonly Header[] {
    return selectRequestHeaders(this.incoming.headers);
  }

  /** Whether the caller has closed its connection, as far as it was read. */
  isDisconnected(): boolean {
    const {socket} = this.incoming;
    return socket.destroyed || socket.readableEnded;
  }

  /**
   * Calls back once when the caller closes before the answer ended. The answers
   * of pipelined requests have no socket yet, so that of the request is watched.
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

  /** Calls back whenever the caller has read what was written. */
  onWritable(listener: () => void): void {
    this.#outgoing.on('drain', listener);
  }

  /** Names the minted key in the answer. */
  setMintedKey(key: string): void {
    this.#mintedKey = key;
  }

  /** Writes the head of a forwarded answer. */
  writeHead(status: number, headers: readonly Header[]): void {
    this.#writeHead(status, this.#dialect.createForwardedHeaders(headers));
  }

  /** Writes a part of a forwarded body; false asks to wait. */
  write(bytes: Uint8Array): boolean {
    return this.#outgoing.write(bytes);
  }

  /** Ends a forwarded answer. */
  end(): void {
    this.#outgoing.end();
  }

  /** Cuts the connection: a caller must not take a part for the whole. */
  abort(): void {
    this.#outgoing.destroy();
  }

  /** Answers with the answer held for a key. */
  replayAnswer(answer: HeldAnswer): void {
    this.writeHead(answer.status, answer.headers);
    this.#outgoing.end(answer.body);
  }

  /** Answers with a numbered result. */
  answer(answer: OwnAnswer): void {
    if (this.isAnswerStarted()) {
      this.abort();
      return;
    }
    const {body, headers, status} = this.#dialect.createOwnAnswer(answer);
    const length = String(Buffer.byteLength(body));
    this.#writeHead(status, [...headers, ['content-length', length]]);
    this.#outgoing.end(body);
  }

  /** Answers with a numbered result and closes a connection that still sends. */
  answerAndClose(answer: OwnAnswer): void {
    this.#outgoing.shouldKeepAlive = false;
    this.answer(answer);
    this.#outgoing.once('finish', () => {
      this.incoming.destroy();
    });
  }

  #writeHead(status: number, headers: readonly Header[]): void {
    // A close would cut the answers of requests that were pipelined behind.
    const isLast = adjustOpenExchanges(this.incoming.socket, 0) <= 1;
    if (this.#isClosing() && isLast) {
      this.#outgoing.shouldKeepAlive = false;
    }
    const flat = headers.flat();
    if (this.#mintedKey !== undefined) {
      flat.push(KEY_HEADER, this.#mintedKey);
    }
    this.#outgoing.writeHead(status, flat);
  }
}
