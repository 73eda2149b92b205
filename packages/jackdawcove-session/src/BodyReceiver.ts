/** Receiving side of one body: credit, length and check value. */

import type {BodyEnd} from './BodySender.js';
import type {Failure} from 'jackdawcove-shared';

import {crc32} from 'node:zlib';

import {createFailure} from 'jackdawcove-shared';

const GRANT_THRESHOLD_DIVISOR = 4;

/** Where a body goes on after its session was lost. */
export type BodyProgress = BodyEnd;

/** Counts a body as it arrives and grants credit as it is consumed. */
export class BodyReceiver {
  #checksum: number;
  #ungrantedBytes = 0;
  #credit: number;
  #isEnded = false;
  #length: number;
  #unconsumedBytes = 0;
  readonly #windowBytes: number;

  constructor(
    windowBytes: number,
    progress: BodyProgress = {checksum: 0, length: 0},
  ) {
    this.#checksum = progress.checksum;
    this.#credit = windowBytes;
    this.#length = progress.length;
    this.#windowBytes = windowBytes;
  }

  /** Returns what arrived so far. */
  getProgress(): BodyProgress {
    return {checksum: this.#checksum, length: this.#length};
  }

  /** Returns the bytes that arrived and were not consumed. */
  getUnconsumedBytes(): number {
    return this.#unconsumedBytes;
  }

  /** Returns whether the body is complete. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /** Notes consumed bytes and returns the credit to send now, or 0. */
  consume(byteCount: number): number {
    const consumed = Math.min(byteCount, this.#unconsumedBytes);
    this.#unconsumedBytes -= consumed;
    this.#ungrantedBytes += consumed;
    if (
      this.#isEnded ||
      this.#ungrantedBytes * GRANT_THRESHOLD_DIVISOR < this.#windowBytes
    ) {
      return 0;
    }
    const grant = this.#ungrantedBytes;
    this.#ungrantedBytes = 0;
    this.#credit += grant;
    return grant;
  }

  /** Adds bytes; a failure when they exceed the credit. */
  add(bytes: Uint8Array): Failure | undefined {
    if (bytes.length === 0) {
      return undefined;
    }
    if (bytes.length > this.#credit) {
      return createFailure('flowControlViolation', String(bytes.length));
    }
    this.#credit -= bytes.length;
    this.#unconsumedBytes += bytes.length;
    this.#length += bytes.length;
    this.#checksum = crc32(bytes, this.#checksum);
    return undefined;
  }

  /** Ends the body; a failure unless it is whole. */
  finish(end: BodyEnd): Failure | undefined {
    this.#isEnded = true;
    const isComplete =
      end.length === this.#length && end.checksum === this.#checksum;
    return isComplete
      ? undefined
      : createFailure(
          'checksumMismatch',
          `${String(this.#length)} of ${String(end.length)} bytes`,
        );
  }
}
