/** Body of a caller's request: buffered when small, streamed when large. */

import type {IncomingMessage} from 'node:http';

import {REPLAY_BODY_BYTES} from './DataPlaneConstants.js';

/** Outcome of reading the first part of a body. */
export type BodyStart = 'incomplete' | 'small' | 'streamed' | 'tooLarge';

/** Receives the parts of a body. */
export type BodySink = {
  readonly end: () => void;
  /** Returns false to pause until `resume` is called on the body. */
  readonly write: (bytes: Uint8Array) => boolean;
};

/**
 * Receives the change of the number of buffered bytes; negative for a decrease.
 */
export type OnBufferedBytes = (byteCount: number) => void;

/** Reads the body of one request. */
export class RequestBody {
  #bufferedBytes = 0;
  readonly #incoming: IncomingMessage;
  readonly #limitBytes: number;
  readonly #onBufferedBytes: OnBufferedBytes;
  readonly #parts: Buffer[] = [];
  #consumedBytes = 0;
  #isEnded = false;
  #onIncomplete: (() => void) | undefined;
  #sink: BodySink | undefined;

  constructor(
    incoming: IncomingMessage,
    limitBytes: number,
    onBufferedBytes: OnBufferedBytes,
  ) {
    this.#incoming = incoming;
    this.#limitBytes = limitBytes;
    this.#onBufferedBytes = onBufferedBytes;
  }

  /** Returns the buffered part, which is the complete body if it is small. */
  getBufferedBody(): Buffer {
    const [first] = this.#parts;
    return this.#parts.length === 1 && first !== undefined
      ? first
      : Buffer.concat(this.#parts);
  }

  /** Whether the body has been read to its end. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Reads until the body ends or exceeds the buffering limit.
   *
   * @example
   * if ((await body.readStart()) === 'small') { hash(body.getBufferedBody()); }
   */
  async readStart(): Promise<BodyStart> {
    const declared = Number(this.#incoming.headers['content-length'] ?? 0);
    if (declared > this.#limitBytes) {
      return 'tooLarge';
    }
    return new Promise<BodyStart>((resolve) => {
      this.#registerListeners(resolve);
    });
  }

  /**
   * Sends the buffered part and the rest of the body to a sink. `onIncomplete`
   * is called if the caller disconnects before the end of its body, or if the
   * body exceeds its limit.
   */
  stream(sink: BodySink, onIncomplete: () => void): void {
    this.#onIncomplete = onIncomplete;
    this.#sink = sink;
    let isWritable = true;
    for (const part of this.#parts) {
      isWritable = sink.write(part);
    }
    this.release();
    if (this.#isEnded) {
      sink.end();
      return;
    }
    if (isWritable) {
      this.resume();
    }
  }

  /** Discards the body of a request that should have none. */
  skip(): void {
    this.#isEnded = true;
    this.#incoming.resume();
  }

  /** Frees the buffered part. */
  release(): void {
    this.#parts.length = 0;
    this.#onBufferedBytes(-this.#bufferedBytes);
    this.#bufferedBytes = 0;
  }

  /** Continues reading after a sink asked to pause. */
  resume(): void {
    this.#incoming.resume();
  }

  #registerListeners(resolve: (start: BodyStart) => void): void {
    const incoming = this.#incoming;
    incoming.on('data', (bytes: Buffer) => {
      this.#consumedBytes += bytes.length;
      if (this.#consumedBytes > this.#limitBytes) {
        incoming.pause();
        resolve('tooLarge');
        this.#onIncomplete?.();
        return;
      }
      this.#handleBytes(bytes, resolve);
    });
    incoming.on('end', () => {
      this.#isEnded = true;
      this.#sink?.end();
      resolve('small');
    });
    incoming.on('close', () => {
      if (!this.#isEnded) {
        resolve('incomplete');
        this.#onIncomplete?.();
      }
    });
    incoming.on('error', () => undefined);
  }

  #handleBytes(bytes: Buffer, resolve: (start: BodyStart) => void): void {
    if (this.#sink !== undefined) {
      if (!this.#sink.write(bytes)) {
        this.#incoming.pause();
      }
      return;
    }
    this.#parts.push(bytes);
    this.#bufferedBytes += bytes.length;
    this.#onBufferedBytes(bytes.length);
    if (this.#consumedBytes > REPLAY_BODY_BYTES) {
      this.#incoming.pause();
      resolve('streamed');
    }
  }
}
