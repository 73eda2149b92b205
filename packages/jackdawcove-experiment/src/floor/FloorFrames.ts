/** Frames of the floor: a length and a cbor array, nothing else. */

import {Decoder, Encoder} from 'cbor-x';

/** Headers in their order, names and values in turn. */
export type FloorHeaders = readonly string[];

/** Request on its way from the front to the back. */
export type FloorRequest = readonly [
  number: number,
  method: string,
  path: string,
  headers: FloorHeaders,
  body: Uint8Array,
];

/** Answer on its way from the back to the front. */
export type FloorAnswer = readonly [
  number: number,
  status: number,
  headers: FloorHeaders,
  body: Uint8Array,
];

const LENGTH_BYTES = 4;
const CODEC_OPTIONS = {tagUint8Array: false, useRecords: false};

const encoder = new Encoder(CODEC_OPTIONS);
const decoder = new Decoder(CODEC_OPTIONS);

/**
 * Encodes a frame with its length.
 *
 * @example
 * socket.write(encodeFloorFrame([7, 200, [], body]));
 */
export function encodeFloorFrame(frame: FloorAnswer | FloorRequest): Buffer {
  const encoded = encoder.encode(frame);
  const length = Buffer.allocUnsafe(LENGTH_BYTES);
  length.writeUInt32BE(encoded.length);
  return Buffer.concat([length, encoded], LENGTH_BYTES + encoded.length);
}

/** Cuts a byte stream into frames. */
export class FloorSplitter<Frame extends FloorAnswer | FloorRequest> {
  #pending = Buffer.alloc(0);

  /** Adds bytes and returns the frames that are whole now. */
  push(bytes: Buffer): readonly Frame[] {
    const frames: Frame[] = [];
    let rest =
      this.#pending.length === 0
        ? bytes
        : Buffer.concat([this.#pending, bytes]);
    while (rest.length >= LENGTH_BYTES) {
      const end = LENGTH_BYTES + rest.readUInt32BE();
      if (rest.length < end) {
        break;
      }
      frames.push(decoder.decode(rest.subarray(LENGTH_BYTES, end)) as Frame);
      rest = rest.subarray(end);
    }
    this.#pending = Buffer.from(rest);
    return frames;
  }
}
