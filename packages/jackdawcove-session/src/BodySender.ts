/** Sending side of one body: waiting bytes, credit, length and check value. */

import {crc32} from 'node:zlib';

/** Length and check value of a whole body. */
export type BodyEnd = {
  readonly checksum: number;
  readonly length: number;
};

/** What a body may keep and send. */
export type BodySenderOptions = {
  /** Keeps bytes until they were consumed, so that they can be sent again. */
  readonly isRetaining: boolean;
  readonly windowBytes: number;
};

/** Queues a body and hands it out within the credit of its receiver. */
export class BodySender {
  #sendLimit: number;
  #base = 0;
  #checksum = 0;
  readonly #chunks: Uint8Array[] = [];
  #chunkIndex = 0;
  #isEnded = false;
  readonly #isRetaining: boolean;
  #length = 0;
  #sent = 0;
  readonly #windowBytes: number;

  constructor(options: BodySenderOptions) {
    this.#sendLimit = options.windowBytes;
    this.#isRetaining = options.isRetaining;
    this.#windowBytes = options.windowBytes;
  }

  /** Returns the length and check value of what was added. */
  getEnd(): BodyEnd {
    return {checksum: this.#checksum, length: this.#length};
  }

  /** Returns the bytes that are kept. */
  getHeldBytes(): number {
    return this.#length - this.#base;
  }

  /** Returns the bytes that wait to be sent. */
  getUnsentBytes(): number {
    return this.#length - this.#sent;
  }

  /** Returns whether the body is complete and all of it was handed out. */
  isDrained(): boolean {
    return this.#isEnded && this.#sent === this.#length;
  }

  /** Returns whether no more bytes will be added. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /** Returns whether an owner may add more bytes now. */
  isWritable(): boolean {
    return this.getUnsentBytes() < this.#windowBytes;
  }

  /** Adds bytes at the end. */
  add(bytes: Uint8Array): void {
    if (this.#isEnded || bytes.length === 0) {
      return;
    }
    this.#chunks.push(bytes);
    this.#length += bytes.length;
    this.#checksum = crc32(bytes, this.#checksum);
  }

  /** Drops all kept bytes. */
  clear(): void {
    this.#chunks.length = 0;
    this.#chunkIndex = 0;
    this.#base = this.#length;
    this.#sent = this.#length;
  }

  /** Marks the body as complete. */
  end(): void {
    this.#isEnded = true;
  }

  /** Notes that the receiver consumed bytes and allows as many more. */
  grant(byteCount: number): void {
    this.#sendLimit += byteCount;
    this.#release(Math.min(this.#sendLimit - this.#windowBytes, this.#sent));
  }

  /** Starts again at an offset; false when the bytes are not kept any more. */
  rewind(offset: number): boolean {
    if (offset < this.#base || offset > this.#length) {
      return false;
    }
    this.#release(offset);
    this.#chunkIndex = 0;
    this.#sent = offset;
    this.#sendLimit = offset + this.#windowBytes;
    return true;
  }

  /** Takes the next bytes within the credit, or undefined. */
  take(maximumBytes: number): Uint8Array | undefined {
    const byteCount = Math.min(
      this.#length - this.#sent,
      this.#sendLimit - this.#sent,
      maximumBytes,
    );
    if (byteCount <= 0) {
      return undefined;
    }
    const parts: Uint8Array[] = [];
    let remaining = byteCount;
    while (remaining > 0) {
      const part = this.#takePart(remaining);
      parts.push(part);
      remaining -= part.length;
    }
    const [first] = parts;
    return parts.length === 1 ? first : Buffer.concat(parts, byteCount);
  }

  #getChunkOffset(): number {
    let offset = this.#base;
    for (let index = 0; index < this.#chunkIndex; index += 1) {
      offset += this.#chunks[index]?.length ?? 0;
    }
    return this.#sent - offset;
  }

  #release(offset: number): void {
    while (this.#base < offset) {
      const first = this.#chunks[0];
      if (first === undefined) {
        return;
      }
      const released = Math.min(first.length, offset - this.#base);
      this.#base += released;
      if (released === first.length) {
        this.#chunks.shift();
        this.#chunkIndex = Math.max(0, this.#chunkIndex - 1);
      } else {
        this.#chunks[0] = first.subarray(released);
      }
    }
  }

  #takePart(maximumBytes: number): Uint8Array {
    const chunk = this.#chunks[this.#chunkIndex] ?? new Uint8Array(0);
    const offset = this.#getChunkOffset();
    const part = chunk.subarray(offset, offset + maximumBytes);
    this.#sent += part.length;
    if (offset + part.length === chunk.length) {
      this.#chunkIndex += 1;
    }
    if (!this.#isRetaining) {
      this.#release(this.#sent);
    }
    return part;
  }
}
