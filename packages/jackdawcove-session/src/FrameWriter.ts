/** Writer of the numbered frames of one direction of a session. */

import type {FrameFields, FrameKind} from './FrameSchemas.js';

import {
  createFrameEncoder,
  encodeFrame,
  encodePacketHeader,
} from './FrameCodec.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Returns the sequence number that follows, with wraparound at 32 bits. */
export function getNextSequence(sequence: number): number {
  return (sequence + 1) % UINT32_RANGE;
}

/** Buffers encoded frames until they are taken. */
export class FrameWriter {
  #bytes = 0;
  #chunks: Uint8Array[] = [];
  #encoder = createFrameEncoder();
  readonly #maximumFrameBytes: number;
  #sequence = 0;
  #tag = 0;

  constructor(maximumFrameBytes: number) {
    this.#maximumFrameBytes = maximumFrameBytes;
  }

  /** Returns the number of buffered bytes. */
  getPendingBytes(): number {
    return this.#bytes;
  }

  /** Returns the number of frames added so far. */
  getFrameCount(): number {
    return this.#sequence;
  }

  /** Adds a frame. */
  add<Kind extends FrameKind>(
    kind: Kind,
    fields: FrameFields[Kind],
    body?: Uint8Array,
  ): void {
    this.#push(this.#encode(kind, fields, body));
  }

  /**
   * Adds a message; false if it cannot be encoded or is too long. In that case
   * the record structures are reset at both ends, because the rejected encoding
   * may have defined some that the peer never receives.
   */
  addMessage(fields: FrameFields['message']): boolean {
    try {
      const chunks = this.#encode('message', fields);
      if (getTotalLength(chunks) <= this.#maximumFrameBytes) {
        this.#push(chunks);
        return true;
      }
    } catch {
      // The message contains a value that CBOR cannot represent.
    }
    this.#encoder = createFrameEncoder();
    this.add('recordsReset', {});
    return false;
  }

  /** Adds a packet, whose bytes are opaque to the session. */
  addPacket(bytes: Uint8Array): void {
    this.#push([
      encodePacketHeader(bytes.length, this.#tag, this.#sequence),
      bytes,
    ]);
  }

  /** Sets the session tag of the frames that follow. */
  setTag(tag: number): void {
    this.#tag = tag;
  }

  /** Returns the buffered chunks and clears the buffer. */
  take(): readonly Uint8Array[] {
    const chunks = this.#chunks;
    this.#chunks = [];
    this.#bytes = 0;
    return chunks;
  }

  #encode<Kind extends FrameKind>(
    kind: Kind,
    fields: FrameFields[Kind],
    body?: Uint8Array,
  ): readonly Uint8Array[] {
    return encodeFrame(
      this.#encoder,
      kind,
      fields,
      this.#tag,
      this.#sequence,
      body,
    );
  }

  #push(chunks: readonly Uint8Array[]): void {
    this.#sequence = getNextSequence(this.#sequence);
    for (const chunk of chunks) {
      this.#chunks.push(chunk);
      this.#bytes += chunk.length;
    }
  }
}

function getTotalLength(chunks: readonly Uint8Array[]): number {
  return chunks.reduce((sum, chunk) => sum + chunk.length, 0);
}
