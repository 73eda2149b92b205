/** Acknowledgements and keepalive of both directions of a session. */

import type {FrameFields, FrameKind} from './FrameSchemas.js';
import type {CallNumber} from './SessionEffects.js';
import type {SessionLimits} from './SessionTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {UNACKNOWLEDGED_KINDS} from './FrameSchemas.js';
import {Keepalive} from './Keepalive.js';
import {ACKNOWLEDGE_THRESHOLD_BYTES} from './SessionConstants.js';

/** Callbacks to the session that owns the acknowledgements. */
export type AcknowledgementsHost = {
  readonly emit: <Kind extends 'acknowledge' | 'ping' | 'pong'>(
    kind: Kind,
    fields: FrameFields[Kind],
  ) => void;
  readonly onTimeout: () => void;
  /** The peer acknowledged the complete answer of a call. */
  readonly onAnswerAcknowledged: (callNumber: CallNumber) => void;
};

type SentAnswer = {
  readonly callNumber: CallNumber;
  /** Number of counted frames sent when the answer ended. */
  readonly frames: number;
};

/** Acknowledges received frames and tracks which sent frames arrived. */
export class Acknowledgements {
  readonly #sentAnswers: SentAnswer[] = [];
  readonly #host: AcknowledgementsHost;
  readonly #keepalive: Keepalive;
  #unacknowledgedBytes = 0;

  constructor(
    host: AcknowledgementsHost,
    limits: SessionLimits,
    now: Milliseconds,
  ) {
    this.#host = host;
    this.#keepalive = new Keepalive(limits, now);
  }

  /** Handles an acknowledgement, a ping or a pong of the peer. */
  handleFrame(
    frame:
      | {fields: FrameFields['acknowledge']; kind: 'acknowledge'}
      | {fields: FrameFields['ping']; kind: 'ping'}
      | {fields: FrameFields['pong']; kind: 'pong'},
  ): void {
    const {fields, kind} = frame;
    this.#keepalive.acknowledge(fields.frames);
    if (kind === 'pong') {
      this.#keepalive.handlePong(fields.pingNumber, fields.frames);
    }
    this.#reportAcknowledgedAnswers();
    if (kind === 'ping') {
      const frames = this.#reportFrames();
      this.#host.emit('pong', {frames, pingNumber: fields.pingNumber});
    }
  }

  /** Counts received bytes towards the next acknowledgement. */
  recordReceivedBytes(byteCount: number): void {
    this.#unacknowledgedBytes += byteCount;
  }

  /** Sends an acknowledgement if enough bytes were received. */
  acknowledgeIfDue(): void {
    if (this.#unacknowledgedBytes >= ACKNOWLEDGE_THRESHOLD_BYTES) {
      this.#acknowledge();
    }
  }

  /**
   * Adds an acknowledgement to frames that are about to be sent, at most a few a
   * second; the peer then needs no ping.
   */
  acknowledgeWithOutput(): void {
    if (this.#keepalive.isReportDue()) {
      this.#acknowledge();
    }
  }

  /** Records that the last frame of an answer was sent. */
  recordSentAnswer(callNumber: CallNumber): void {
    const frames = this.#keepalive.getSentFrames();
    this.#sentAnswers.push({callNumber, frames});
  }

  /** Records a received frame. */
  recordReceived(kind: FrameKind): void {
    if (!UNACKNOWLEDGED_KINDS.has(kind)) {
      this.#keepalive.recordReceived();
    }
  }

  /** Records a sent frame. */
  recordSent(kind: FrameKind): void {
    if (!UNACKNOWLEDGED_KINDS.has(kind)) {
      this.#keepalive.recordSent();
    }
  }

  /** Advances time; sends a ping or an acknowledgement, or reports a timeout. */
  tick(now: Milliseconds, hasCalls: boolean): void {
    const action = this.#keepalive.tick(now, hasCalls);
    if (action === 'timeout') {
      this.#host.onTimeout();
    } else if (action === 'ping') {
      const pingNumber = this.#keepalive.getPingNumber();
      this.#host.emit('ping', {frames: this.#reportFrames(), pingNumber});
    } else if (action === 'acknowledge') {
      this.#acknowledge();
    }
  }

  #acknowledge(): void {
    this.#unacknowledgedBytes = 0;
    this.#host.emit('acknowledge', {frames: this.#reportFrames()});
  }

  #reportFrames(): number {
    this.#keepalive.recordReport();
    return this.#keepalive.getReceivedFrames();
  }

  #reportAcknowledgedAnswers(): void {
    const acknowledged = this.#keepalive.getAcknowledgedFrames();
    let count = 0;
    for (const {callNumber, frames} of this.#sentAnswers) {
      if (frames > acknowledged) {
        break;
      }
      count += 1;
      this.#host.onAnswerAcknowledged(callNumber);
    }
    this.#sentAnswers.splice(0, count);
  }
}
