/** Body of a caller's request: kept whole when small, streamed when large. */

import type {IncomingMessage} from 'node:http';

import {REPLAY_BODY_BYTES} from './DataPlaneConstants.js';

/** How the reading of the first part of a body ended. */
export type BodyStart = 'cut' | 'small' | 'streamed' | 'tooLarge';

/** Receives the parts of a body. */
export type BodySink = {
  readonly end: () => void;
  /** Returns false to pause until `resume` is called. */
  readonly write: (bytes: Uint8Array) => boolean;
};

/** Is told how many more (or, negative, fewer) bytes are held. */
export type OnHeldBytes = (byteCount: number) => void;

/** Reads the body of one request. */
export class RequestBody {
  #heldBytes = 0;
  readonly #incoming: IncomingMessage;
  readonly #limitBytes: number;
  readonly #onHeldBytes: OnHeldBytes;
  readonly #parts: Buffer[] = [];
  #consumedBytes = 0;
  #isEnded = false;
  #onCut: (() => void) | undefined;
  #sink: BodySink | undefined;

  constructor(
    incoming: IncomingMessage,
    limitBytes: number,
    onHeldBytes: OnHeldBytes,
  ) {
    this.#incoming = incoming;
    this.#limitBytes = limitBytes;
    this.#onHeldBytes = onHeldBytes;
  }

  /** The kept part: the whole body when small. */
  getKeptBytes(): Buffer {
    const [first] = this.#parts;
    return this.#parts.length === 1 && first !== undefined
      ? first
      : Buffer.concat(this.#parts);
  }

  /** Whether the whole body has been read. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Reads until the body ends or exceeds what is kept.
   *
   * @example
   * if ((await body.readStart()) === 'small') { hash(body.getKeptBytes()); }
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
   * Sends the kept part and all that follows to a sink.
   * `onCut` is called when the caller stops before the end of its body.
   */
  stream(sink: BodySink, onCut: () => void): void {
    this.#onCut = onCut;
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

  /** Reads past the body of a request that has none. */
  skip(): void {
    this.#isEnded = true;
    this.#incoming.resume();
  }

  /** Gives up the kept part. */
  release(): void {
    this.#parts.length = 0;
    this.#onHeldBytes(-this.#heldBytes);
    this.#heldBytes = 0;
  }

  /** Reads on after a sink asked to pause. */
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
        this.#onCut?.();
        return;
      }
      this.#takeBytes(bytes, resolve);
    });
    incoming.on('end', () => {
      this.#isEnded = true;
      this.#sink?.end();
      resolve('small');
    });
    incoming.on('close', () => {
      if (!this.#isEnded) {
        resolve('cut');
        this.#onCut?.();
      }
    });
    incoming.on('error', () => undefined);
  }

  #takeBytes(bytes: Buffer, resolve: (start: BodyStart) => void): void {
    if (this.#sink !== undefined) {
      if (!this.#sink.write(bytes)) {
        this.#incoming.pause();
      }
      return;
    }
    this.#parts.push(bytes);
    this.#heldBytes += bytes.length;
    this.#onHeldBytes(bytes.length);
    if (this.#consumedBytes > REPLAY_BODY_BYTES) {
      this.#incoming.pause();
      resolve('streamed');
    }
  }
}
