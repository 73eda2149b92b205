/** Frames between the pass-through proxies: a length and a CBOR array. */

import {Decoder, Encoder} from 'cbor-x';

/** Headers in order, alternating names and values. */
export type PassthroughHeaders = readonly string[];

/** Request from the caller-side proxy to the server-side proxy. */
export type PassthroughRequest = readonly [
  requestNumber: number,
  method: string,
  path: string,
  headers: PassthroughHeaders,
  body: Uint8Array,
];

/** Answer from the server-side proxy to the caller-side proxy. */
export type PassthroughAnswer = readonly [
  requestNumber: number,
  status: number,
  headers: PassthroughHeaders,
  body: Uint8Array,
];

const LENGTH_BYTES = 4;
const CODEC_OPTIONS = {tagUint8Array: false, useRecords: false};

const encoder = new Encoder(CODEC_OPTIONS);
const decoder = new Decoder(CODEC_OPTIONS);

/**
 * Encodes a frame with its length prefix.
 *
 * @example
 * socket.write(encodePassthroughFrame([7, 200, [], body]));
 */
export function encodePassthroughFrame(
  frame: PassthroughAnswer | PassthroughRequest,
): Buffer {
  const encoded = encoder.encode(frame);
  const length = Buffer.allocUnsafe(LENGTH_BYTES);
  length.writeUInt32BE(encoded.length);
  return Buffer.concat([length, encoded], LENGTH_BYTES + encoded.length);
}

/** Decodes a byte stream into frames. */
export class PassthroughFrameDecoder<
  Frame extends PassthroughAnswer | PassthroughRequest,
> {
  #pending = Buffer.alloc(0);

  /** Adds received bytes and returns the frames that they complete. */
  push(bytes: Buffer): readonly Frame[] {
    const frames: Frame[] = [];
    let remaining =
      this.#pending.length === 0
        ? bytes
        : Buffer.concat([this.#pending, bytes]);
    while (remaining.length >= LENGTH_BYTES) {
      const end = LENGTH_BYTES + remaining.readUInt32BE();
      if (remaining.length < end) {
        break;
      }
      frames.push(
        decoder.decode(remaining.subarray(LENGTH_BYTES, end)) as Frame,
      );
      remaining = remaining.subarray(end);
    }
    this.#pending = Buffer.from(remaining);
    return frames;
  }
}
