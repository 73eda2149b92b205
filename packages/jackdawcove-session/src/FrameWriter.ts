/** Frames of one direction of a session in their sequence. */

import type {FrameFields, FrameKind} from './FrameSchemas.js';

import {createFrameEncoder, encodeFrame} from './FrameCodec.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Returns the sequence number after one. */
export function getNextSequence(sequence: number): number {
  return (sequence + 1) % UINT32_RANGE;
}

/** Collects encoded frames until they are taken. */
export class FrameWriter {
  #bytes = 0;
  #chunks: Uint8Array[] = [];
  readonly #encoder = createFrameEncoder();
  #sequence = 0;
  #tag = 0;

  /** Returns the bytes that were not taken. */
  getBytes(): number {
    return this.#bytes;
  }

  /** Returns the number of frames so far. */
  getFrames(): number {
    return this.#sequence;
  }

  /** Adds a frame. */
  add<Kind extends FrameKind>(
    kind: Kind,
    fields: FrameFields[Kind],
    body?: Uint8Array,
  ): void {
    const sequence = this.#sequence;
    this.#sequence = getNextSequence(sequence);
    const chunks = encodeFrame(
      this.#encoder,
      kind,
      fields,
      this.#tag,
      sequence,
      body,
    );
    for (const chunk of chunks) {
      this.#chunks.push(chunk);
      this.#bytes += chunk.length;
    }
  }

  /** Binds the frames from now on to a session. */
  setTag(tag: number): void {
    this.#tag = tag;
  }

  /** Takes the collected bytes. */
  take(): readonly Uint8Array[] {
    const chunks = this.#chunks;
    this.#chunks = [];
    this.#bytes = 0;
    return chunks;
  }
}
