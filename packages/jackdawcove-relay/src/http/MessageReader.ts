/** Cuts the bytes of one HTTP/1.1 connection into messages. */

import type {BodyFraming} from './BodyReader.js';

import {BodyReader} from './BodyReader.js';

/** Why the bytes of a connection cannot be read any further. */
export type MessageFault = 'bodyTooLarge' | 'headersTooLarge' | 'malformed';

/** What takes the messages of a connection. */
export type MessageHandlers = {
  /** Takes the text of a head; returns how its body ends, or a fault. */
  readonly onHead: (text: string) => BodyFraming | MessageFault;
  /** Takes the body of the message whose head came last. */
  readonly onMessage: (body: Buffer) => void;
};

/** Limits of one message, in bytes. */
export type MessageLimits = {
  readonly bodyBytes: number;
  readonly headBytes: number;
};

/** What the next byte belongs to. */
export type MessagePosition = 'body' | 'head' | 'start';

const HEAD_END = '\r\n\r\n';
const HEAD_END_LENGTH = 4;
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;

/** Reads the messages of one connection. */
export class MessageReader {
  #body: BodyReader | undefined;
  readonly #handlers: MessageHandlers;
  #isStopped = false;
  readonly #limits: MessageLimits;
  #unparsed: Buffer | undefined;

  constructor(handlers: MessageHandlers, limits: MessageLimits) {
    this.#handlers = handlers;
    this.#limits = limits;
  }

  getPosition(): MessagePosition {
    if (this.#body !== undefined) {
      return 'body';
    }
    return this.#unparsed === undefined ? 'start' : 'head';
  }

  /** Reads no further message: what follows is not looked at. */
  stop(): void {
    this.#isStopped = true;
    this.#unparsed = undefined;
  }

  /** Takes bytes; returns why they cannot be read, if so. */
  push(bytes: Buffer): MessageFault | undefined {
    let rest =
      this.#unparsed === undefined
        ? bytes
        : Buffer.concat([this.#unparsed, bytes]);
    this.#unparsed = undefined;
    while (rest.length > 0 && !this.#isStopped) {
      const consumed =
        this.#body === undefined ? this.#pushHead(rest) : this.#pushBody(rest);
      if (typeof consumed === 'string') {
        this.#isStopped = true;
        return consumed;
      }
      if (consumed < 0) {
        this.#unparsed = rest;
        return undefined;
      }
      rest = rest.subarray(consumed);
    }
    return undefined;
  }

  /** The connection ended; true unless that cuts a message off. */
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

  /** Returns the bytes taken; negative when the head is not whole yet. */
  #pushHead(bytes: Buffer): MessageFault | number {
    const start = skipLineEnds(bytes);
    if (start > 0) {
      return start;
    }
    const end = bytes.indexOf(HEAD_END);
    if (end > this.#limits.headBytes) {
      return 'headersTooLarge';
    }
    if (end < 0) {
      return bytes.length > this.#limits.headBytes ? 'headersTooLarge' : -1;
    }
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

/** Empty lines before a message are allowed and mean nothing. */
function skipLineEnds(bytes: Buffer): number {
  let offset = 0;
  while (bytes[offset] === CARRIAGE_RETURN && bytes[offset + 1] === LINE_FEED) {
    offset += 2;
  }
  return offset;
}
