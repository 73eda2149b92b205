/**
 * Copies of small answers, from which resends of an idempotency key are
 * answered.
 */

import type {HeldAnswer} from 'jackdawcove-ledger';
import type {Header} from 'jackdawcove-session';

import {HELD_ANSWER_BODY_BYTES} from './DataPlaneConstants.js';

/** Records a forwarded answer. */
export class AnswerRecorder {
  readonly #parts: Uint8Array[] = [];
  #byteCount = 0;
  #headers: readonly Header[] = [];
  #status = 0;

  /** Records the status and headers. */
  recordHead(status: number, headers: readonly Header[]): void {
    this.#status = status;
    this.#headers = headers;
  }

  /** Records a part of the body; a body over the limit is discarded. */
  recordBody(bytes: Uint8Array): void {
    this.#byteCount += bytes.length;
    if (this.#byteCount > HELD_ANSWER_BODY_BYTES) {
      this.#parts.length = 0;
      return;
    }
    this.#parts.push(bytes);
  }

  /**
   * Returns the complete answer, or undefined if it had no head or was too
   * large.
   */
  getAnswer(): HeldAnswer | undefined {
    if (this.#status === 0 || this.#byteCount > HELD_ANSWER_BODY_BYTES) {
      return undefined;
    }
    return {
      body: Buffer.concat(this.#parts),
      headers: this.#headers.map(([name, value]) => [name, value]),
      status: this.#status,
    };
  }
}
