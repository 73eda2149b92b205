/**
 * Request body that is received over a session and sent to the backend server.
 */

import {Readable} from 'node:stream';

/** Allows the sender to send this many more bytes. */
export type GrantCredit = (byteCount: number) => void;

/** Buffers the body until the request is dispatched, then streams it. */
export class IncomingBody {
  readonly #grantCredit: GrantCredit;
  #isEnded = false;
  #parts: Uint8Array[] = [];
  #stream: Readable | undefined;

  constructor(grantCredit: GrantCredit) {
    this.#grantCredit = grantCredit;
  }

  /** Adds a received part of the body. */
  push(bytes: Uint8Array): void {
    if (this.#stream === undefined) {
      this.#parts.push(bytes);
      return;
    }
    this.#stream.push(bytes);
  }

  /** Marks the body as complete. */
  end(): void {
    this.#isEnded = true;
    this.#stream?.push(null);
  }

  /** Aborts an incomplete body, so that its reader fails. */
  abort(): void {
    this.#stream?.destroy(new Error('The request body is incomplete.'));
  }

  /** Returns the body for the request to the backend server. */
  open(): Readable | Uint8Array | undefined {
    const received = Buffer.concat(this.#parts);
    this.#parts = [];
    if (this.#isEnded) {
      return received.length === 0 ? undefined : received;
    }
    return this.#openStream(received);
  }

  #openStream(received: Buffer): Readable {
    let grantedBytes = 0;
    let pushedBytes = received.length;
    const stream = new Readable({
      read: () => {
        const byteCount = pushedBytes - grantedBytes;
        if (byteCount > 0) {
          grantedBytes += byteCount;
          this.#grantCredit(byteCount);
        }
      },
    });
    const push = stream.push.bind(stream);
    stream.push = (chunk: Uint8Array | null): boolean => {
      pushedBytes += chunk?.length ?? 0;
      const isWanted = push(chunk);
      if (isWanted && chunk !== null) {
        grantedBytes += chunk.length;
        this.#grantCredit(chunk.length);
      }
      return isWanted;
    };
    if (received.length > 0) {
      push(received);
    }
    this.#stream = stream;
    return stream;
  }
}
