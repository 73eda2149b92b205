/** Splits the byte stream of an HTTP/1.1 connection into messages. */

import type {BodyFraming} from './BodyReader.js';

import {BodyReader} from './BodyReader.js';

/** Why reading a connection stopped. */
export type MessageFault = 'bodyTooLarge' | 'headersTooLarge' | 'malformed';

/** Handlers of the messages of a connection. */
export type MessageHandlers = {
  /** Handles the text of a head; returns the framing of its body, or a fault. */
  readonly onHead: (text: string) => BodyFraming | MessageFault;
  /** Handles the body of the message whose head was handled last. */
  readonly onMessage: (body: Buffer) => void;
};

/** Limits of one message, in bytes. */
export type MessageLimits = {
  readonly bodyBytes: number;
  readonly headBytes: number;
};

/** What the next byte belongs to; `start` is the point between two messages. */
export type MessagePosition = 'body' | 'head' | 'start';

const HEAD_END = '\r\n\r\n';
const HEAD_END_LENGTH = 4;
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
const NO_BYTES = Buffer.alloc(0);

/** Reads the messages of one connection. */
export class MessageReader {
  #body: BodyReader | undefined;
  /** Bytes of empty lines before the next head. */
  #emptyLineBytes = 0;
  readonly #handlers: MessageHandlers;
  #isPaused = false;
  #isStopped = false;
  readonly #limits: MessageLimits;
  #unparsed: Buffer | undefined;

  constructor(handlers: MessageHandlers, limits: MessageLimits) {
    this.#handlers = handlers;
    this.#limits = limits;
  }

  /** Body of the message that is being read, unless it has none. */
  getBody(): BodyReader | undefined {
    return this.#body;
  }

  /** Number of bytes of the message that is being read, and behind it, that are buffered. */
  getHeldBytes(): number {
    return (this.#unparsed?.length ?? 0) + (this.#body?.getByteCount() ?? 0);
  }

  getPosition(): MessagePosition {
    if (this.#body !== undefined) {
      return 'body';
    }
    return this.#unparsed === undefined ? 'start' : 'head';
  }

  /** Stops reading; what is buffered is discarded, and all further bytes are ignored. */
  stop(): void {
    this.#isStopped = true;
    this.#unparsed = undefined;
    this.#body = undefined;
  }

  isStopped(): boolean {
    return this.#isStopped;
  }

  /** Buffers further bytes until `resume`, after the message that is being handled. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Reads on after `pause`. */
  resume(): MessageFault | undefined {
    this.#isPaused = false;
    return this.push(NO_BYTES);
  }

  /** Reads bytes; returns a fault when they cannot be read. */
  push(bytes: Buffer): MessageFault | undefined {
    let rest = join(this.#unparsed, bytes);
    this.#unparsed = undefined;
    while (rest.length > 0 && !this.#isStopped) {
      if (this.#isPaused) {
        this.#keep(rest);
        return undefined;
      }
      const consumed =
        this.#body === undefined ? this.#pushHead(rest) : this.#pushBody(rest);
      if (typeof consumed === 'string') {
        this.stop();
        return consumed;
      }
      if (consumed < 0) {
        this.#keep(rest);
        return undefined;
      }
      rest = rest.subarray(consumed);
    }
    return undefined;
  }

  /** Handles the end of the connection; returns false when a message is incomplete. */
  end(): boolean {
    const body = this.#body;
    if (body === undefined) {
      return this.#unparsed === undefined;
    }
    this.#body = undefined;
    if (!body.end()) {
      return false;
    }
    this.#handlers.onMessage(body.takeBody());
    return true;
  }

  /** Copies the rest of a larger read, which would else stay in memory as a whole. */
  #keep(rest: Buffer): void {
    const isSmallPart = rest.length < rest.buffer.byteLength / 2;
    this.#unparsed = isSmallPart ? Buffer.from(rest) : rest;
  }

  /** Returns the number of bytes consumed; negative while the head is incomplete. */
  #pushHead(bytes: Buffer): MessageFault | number {
    const start = skipLineEnds(bytes);
    if (start > 0) {
      this.#emptyLineBytes += start;
      return this.#emptyLineBytes > this.#limits.headBytes
        ? 'headersTooLarge'
        : start;
    }
    const end = bytes.indexOf(HEAD_END);
    if (end > this.#limits.headBytes) {
      return 'headersTooLarge';
    }
    if (end < 0) {
      return bytes.length > this.#limits.headBytes ? 'headersTooLarge' : -1;
    }
    this.#emptyLineBytes = 0;
    const framing = this.#handlers.onHead(bytes.toString('latin1', 0, end));
    if (typeof framing === 'string') {
      return framing;
    }
    const body = new BodyReader(framing, this.#limits.bodyBytes);
    this.#body = body;
    return this.#advance(body) ?? end + HEAD_END_LENGTH;
  }

  #pushBody(bytes: Buffer): MessageFault | number {
    const body = this.#body;
    if (body === undefined) {
      return 0;
    }
    const consumed = body.push(bytes, 0);
    return this.#advance(body) ?? consumed;
  }

  #advance(body: BodyReader): MessageFault | undefined {
    switch (body.getState()) {
      case 'done':
        this.#body = undefined;
        this.#handlers.onMessage(body.takeBody());
        return undefined;
      case 'malformed':
        return 'malformed';
      case 'reading':
        return undefined;
      case 'tooLarge':
        return 'bodyTooLarge';
    }
  }
}

function join(unparsed: Buffer | undefined, bytes: Buffer): Buffer {
  if (unparsed === undefined) {
    return bytes;
  }
  return bytes.length === 0 ? unparsed : Buffer.concat([unparsed, bytes]);
}

/** Empty lines before a message are allowed and ignored. */
function skipLineEnds(bytes: Buffer): number {
  let offset = 0;
  while (bytes[offset] === CARRIAGE_RETURN && bytes[offset + 1] === LINE_FEED) {
    offset += 2;
  }
  return offset;
}
