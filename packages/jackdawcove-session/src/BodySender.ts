/** Sending side of one body: unsent bytes, credit, length and checksum. */

import {crc32} from 'node:zlib';

/** Length and CRC-32 checksum of a complete body. */
export type BodyEnd = {
  readonly checksum: number;
  readonly length: number;
};

/** Options of a body sender. */
export type BodySenderOptions = {
  /** Holds sent bytes until they are consumed, so that they can be resent. */
  readonly isRetaining: boolean;
  readonly windowBytes: number;
};

/** Queues a body and returns its bytes within the receiver's credit. */
export class BodySender {
  /** Offset up to which the credit of the receiver allows sending. */
  #sendLimit: number;
  /** Offset of the first held byte. */
  #base = 0;
  #checksum = 0;
  readonly #chunks: Uint8Array[] = [];
  /** Index of the chunk that holds the next byte to send. */
  #chunkIndex = 0;
  #isEnded = false;
  readonly #isRetaining: boolean;
  #length = 0;
  /** Offset of the next byte to send. */
  #sent = 0;
  readonly #windowBytes: number;

  constructor(options: BodySenderOptions) {
    this.#sendLimit = options.windowBytes;
    this.#isRetaining = options.isRetaining;
    this.#windowBytes = options.windowBytes;
  }

  /** Returns the length and checksum of the bytes added so far. */
  getEnd(): BodyEnd {
    return {checksum: this.#checksum, length: this.#length};
  }

  /** Returns the number of bytes held in memory. */
  getHeldBytes(): number {
    return this.#length - this.#base;
  }

  /** Returns the number of bytes not sent yet. */
  getUnsentBytes(): number {
    return this.#length - this.#sent;
  }

  /** Returns whether the body has ended and all of its bytes were taken. */
  isDrained(): boolean {
    return this.#isEnded && this.#sent === this.#length;
  }

  /** Returns whether the body has ended. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /** Returns whether the owner may add more bytes now. */
  isWritable(): boolean {
    return this.getUnsentBytes() < this.#windowBytes;
  }

  /** Appends bytes; ignored after the end of the body. */
  add(bytes: Uint8Array): void {
    if (this.#isEnded || bytes.length === 0) {
      return;
    }
    this.#chunks.push(bytes);
    this.#length += bytes.length;
    this.#checksum = crc32(bytes, this.#checksum);
  }

  /** Drops all held bytes, sent or not. */
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

  /** Extends the credit by the bytes that the receiver consumed. */
  grant(byteCount: number): void {
    this.#sendLimit += byteCount;
    this.#release(Math.min(this.#sendLimit - this.#windowBytes, this.#sent));
  }

  /** Restarts at an offset; false if the bytes there are no longer held. */
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

  /** Returns the next bytes within the credit, or undefined if none are. */
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
