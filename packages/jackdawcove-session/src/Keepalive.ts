/**
 * Detects a session that went silent in one direction or in both.
 *
 * Only acknowledgements and pongs reset the timeout, not other received bytes: a
 * session whose peer still sends but no longer receives must time out as well.
 */

import type {SessionLimits} from './SessionTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MAXIMUM_SILENCE_STEP_MILLISECONDS} from './SessionConstants.js';

/** Pings of a session without calls are less frequent by this factor. */
const IDLE_PING_INTERVAL_FACTOR = 50;

/** Action that the session takes after a tick. */
export type KeepaliveAction = 'none' | 'ping' | 'timeout';

/** Counts sent and acknowledged frames and decides on pings and timeouts. */
export class Keepalive {
  #acknowledgedFrames = 0;
  #isPongPending = false;
  #lastTick: Milliseconds;
  readonly #limits: SessionLimits;
  #pingNumber = 0;
  #receivedFrames = 0;
  #sentFrames = 0;
  /** Time spent waiting for an outstanding acknowledgement or pong. */
  #silentMilliseconds = 0;
  /** Milliseconds since the peer last acknowledged something. */
  #timeSinceProgress = 0;
  /** Milliseconds since the last ping. */
  #timeSincePing = 0;

  constructor(limits: SessionLimits, now: Milliseconds) {
    this.#lastTick = now;
    this.#limits = limits;
  }

  /** Returns the number of frames that the peer acknowledged. */
  getAcknowledgedFrames(): number {
    return this.#acknowledgedFrames;
  }

  /** Returns the number of the last ping. */
  getPingNumber(): number {
    return this.#pingNumber;
  }

  /** Returns the number of received frames that count for acknowledgement. */
  getReceivedFrames(): number {
    return this.#receivedFrames;
  }

  /** Returns the number of sent frames that count for acknowledgement. */
  getSentFrames(): number {
    return this.#sentFrames;
  }

  /** Handles an acknowledgement of a number of frames. */
  acknowledge(frames: number): void {
    if (frames > this.#acknowledgedFrames) {
      this.#acknowledgedFrames = Math.min(frames, this.#sentFrames);
      this.#recordProgress();
    }
  }

  /** Handles the reply to a ping. */
  handlePong(pingNumber: number, frames: number): void {
    this.acknowledge(frames);
    if (this.#isPongPending && pingNumber === this.#pingNumber) {
      this.#isPongPending = false;
      this.#recordProgress();
    }
  }

  /** Counts a received frame that must be acknowledged. */
  recordReceived(): void {
    this.#receivedFrames += 1;
  }

  /** Counts a sent frame that must be acknowledged. */
  recordSent(): void {
    this.#sentFrames += 1;
  }

  /**
   * Advances time. Long steps are capped, because a pause of this process does
   * not mean that the peer is silent.
   */
  tick(now: Milliseconds, hasCalls: boolean): KeepaliveAction {
    const step = Math.min(
      now - this.#lastTick,
      MAXIMUM_SILENCE_STEP_MILLISECONDS,
    );
    this.#lastTick = now;
    this.#timeSinceProgress += step;
    this.#timeSincePing += step;
    const isWaiting =
      this.#isPongPending || this.#sentFrames > this.#acknowledgedFrames;
    this.#silentMilliseconds = isWaiting ? this.#silentMilliseconds + step : 0;
    if (this.#silentMilliseconds >= this.#limits.keepaliveTimeoutMilliseconds) {
      return 'timeout';
    }
    return this.#isPingDue(hasCalls || isWaiting) ? this.#ping() : 'none';
  }

  #isPingDue(isActive: boolean): boolean {
    const interval = this.#limits.keepaliveIntervalMilliseconds;
    const delay = isActive ? interval : interval * IDLE_PING_INTERVAL_FACTOR;
    return this.#timeSincePing >= delay && this.#timeSinceProgress >= delay;
  }

  #recordProgress(): void {
    this.#silentMilliseconds = 0;
    this.#timeSinceProgress = 0;
  }

  #ping(): KeepaliveAction {
    this.#isPongPending = true;
    this.#pingNumber += 1;
    this.#timeSincePing = 0;
    return 'ping';
  }
}
