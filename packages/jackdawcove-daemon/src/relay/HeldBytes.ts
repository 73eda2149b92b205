/** Memory that one connection of a caller holds. */

import type {MessageReader} from 'jackdawcove-relay';
import type {Milliseconds, MonotonicClock} from 'jackdawcove-shared';
import type {Socket} from 'node:net';

/** Clock, and what is told about changes. */
export type HeldBytesOptions = {
  readonly clock: MonotonicClock;
  readonly onHeldBytes: (byteCount: number) => void;
};

/**
 * Counts what a connection holds: what it has received of a request, the bodies of its
 * open requests, and the answers that its caller has not read.
 */
export class HeldBytes {
  /** Bodies of the answers that wait behind others. */
  #answerBytes = 0;
  #isCleared = false;
  readonly #options: HeldBytesOptions;
  #progressAt: Milliseconds;
  readonly #reader: MessageReader;
  #reportedBytes = 0;
  #requestBytes = 0;
  readonly #socket: Socket;
  /** Bytes that had gone both ways at the latest progress. */
  #transferredBytes = 0;

  constructor(
    socket: Socket,
    reader: MessageReader,
    options: HeldBytesOptions,
  ) {
    this.#options = options;
    this.#progressAt = options.clock();
    this.#reader = reader;
    this.#socket = socket;
  }

  addRequest(byteCount: number): void {
    this.#requestBytes += byteCount;
  }

  /** Records that a request has ended, whose answer may have to wait. */
  replaceRequest(requestBytes: number, answerBytes: number): void {
    this.#requestBytes -= requestBytes;
    this.#answerBytes += answerBytes;
  }

  /** Records that an answer is written. */
  removeAnswer(byteCount: number): void {
    this.#answerBytes -= byteCount;
  }

  /** Returns the size of the answers that the caller has not read. */
  getUnreadBytes(): number {
    return this.#answerBytes + this.#socket.writableLength;
  }

  /** Returns what could be freed without an effect on a running request. */
  getReleasableBytes(): number {
    return Math.max(this.#reader.getHeldBytes(), this.getUnreadBytes());
  }

  /** Returns how long no byte has gone either way. */
  getStalledMilliseconds(now: Milliseconds): Milliseconds {
    const {bytesRead, bytesWritten, writableLength} = this.#socket;
    const transferredBytes = bytesRead + bytesWritten - writableLength;
    if (transferredBytes !== this.#transferredBytes) {
      this.#transferredBytes = transferredBytes;
      this.#progressAt = now;
    }
    return now - this.#progressAt;
  }

  /** Reports the change since the last report. */
  report(): void {
    if (!this.#isCleared) {
      this.#report(
        this.#reader.getHeldBytes() +
          this.#requestBytes +
          this.getUnreadBytes(),
      );
    }
  }

  /** Forgets the requests of a caller that has left; what is written it may still read. */
  abandonRequests(): void {
    this.#answerBytes = 0;
    this.#requestBytes = 0;
    this.report();
  }

  /** Reports that the connection, which has ended, holds nothing any more. */
  clear(): void {
    this.#isCleared = true;
    this.#report(0);
  }

  #report(byteCount: number): void {
    const change = byteCount - this.#reportedBytes;
    this.#reportedBytes = byteCount;
    if (change !== 0) {
      this.#options.onHeldBytes(change);
    }
  }
}
