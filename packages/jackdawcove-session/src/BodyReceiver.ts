/** Receiving side of one body: flow control credit, length and checksum. */

import type {BodyEnd} from './BodySender.js';
import type {Failure} from 'jackdawcove-shared';

import {crc32} from 'node:zlib';

import {createFailure} from 'jackdawcove-shared';

/** Credit is granted once the window size divided by this was consumed. */
const GRANT_THRESHOLD_DIVISOR = 4;

/** Position at which a body resumes after its session was lost. */
export type BodyProgress = BodyEnd;

/** Tracks a body as it arrives and grants credit as it is consumed. */
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

  /** Returns the length and checksum of the bytes received so far. */
  getProgress(): BodyProgress {
    return {checksum: this.#checksum, length: this.#length};
  }

  /** Returns the number of bytes received but not consumed yet. */
  getUnconsumedBytes(): number {
    return this.#unconsumedBytes;
  }

  /** Returns whether the end of the body was received. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  /** Records consumed bytes and returns the credit to grant now, or 0. */
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

  /** Adds received bytes; returns a failure if they exceed the credit. */
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

  /** Ends the body; returns a failure if its length or checksum differs. */
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
