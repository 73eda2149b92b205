/** One HTTP exchange with a caller: the request read, the answer written. */

import type {HeldAnswer} from 'jackdawcove-ledger';
import type {Header} from 'jackdawcove-session';
import type {Executed, ResultName} from 'jackdawcove-shared';
import type {IncomingMessage, ServerResponse} from 'node:http';

import {RESULT_CODES} from 'jackdawcove-shared';

import {
  EXECUTED_HEADER,
  KEY_HEADER,
  RESULT_HEADER,
} from './DataPlaneConstants.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A result that the daemon itself answers with. */
export type OwnAnswer = {
  readonly executed: Executed;
  readonly result: ResultName;
  readonly retryAfterMilliseconds?: number | undefined;
};

/** Writes the answer to one caller. */
export class CallerExchange {
  readonly incoming: IncomingMessage;
  readonly #isClosing: () => boolean;
  readonly #outgoing: ServerResponse;
  #mintedKey: string | undefined;

  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    isClosing: () => boolean,
  ) {
    this.incoming = incoming;
    this.#outgoing = outgoing;
    this.#isClosing = isClosing;
  }

  /** Whether the head of the answer was written. */
  isAnswerStarted(): boolean {
    return this.#outgoing.headersSent;
  }

  /** Calls back once when the caller closes before the answer ended. */
  onGone(listener: () => void): void {
    this.#outgoing.on('close', () => {
      if (!this.#outgoing.writableFinished) {
        listener();
      }
    });
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
    const ownHeaders: Header[] = [
      [RESULT_HEADER, String(RESULT_CODES.ok.number)],
      [EXECUTED_HEADER, RESULT_CODES.ok.executed],
    ];
    this.#writeHead(status, [...headers, ...ownHeaders]);
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
  cut(): void {
    this.#outgoing.destroy();
  }

  /** Answers with the answer held for a key. */
  answerHeld(answer: HeldAnswer): void {
    this.writeHead(answer.status, answer.headers);
    this.#outgoing.end(answer.body);
  }

  /** Answers with a numbered result. */
  answer({executed, result, retryAfterMilliseconds}: OwnAnswer): void {
    if (this.isAnswerStarted()) {
      this.cut();
      return;
    }
    const code = RESULT_CODES[result];
    const body = JSON.stringify({
      description: code.description,
      executed,
      name: code.name,
      number: code.number,
    });
    const headers: Header[] = [
      ['content-length', String(Buffer.byteLength(body))],
      ['content-type', 'application/json'],
      [RESULT_HEADER, String(code.number)],
      [EXECUTED_HEADER, executed],
    ];
    if (retryAfterMilliseconds !== undefined) {
      const seconds = retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
      headers.push(['retry-after', String(Math.max(1, Math.ceil(seconds)))]);
    }
    this.#writeHead(code.httpStatus, headers);
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
    if (this.#isClosing()) {
      this.#outgoing.shouldKeepAlive = false;
    }
    const flat = headers.flat();
    if (this.#mintedKey !== undefined) {
      flat.push(KEY_HEADER, this.#mintedKey);
    }
    this.#outgoing.writeHead(status, flat);
  }
}
