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

/**
 * Time for which an acknowledgement waits for a frame to travel with: less than the
 * interval after which the peer would ask for it.
 */
const ACKNOWLEDGEMENT_DELAY_SHARE = 0.6;

/** Least time between two acknowledgements that travel with other frames. */
const ACKNOWLEDGEMENT_INTERVAL_SHARE = 0.5;

/** Action that the session takes after a tick. */
export type KeepaliveAction = 'acknowledge' | 'none' | 'ping' | 'timeout';

/** Counts sent and acknowledged frames and decides on pings and timeouts. */
export class Keepalive {
  #acknowledgedFrames = 0;
  #isPongPending = false;
  #lastTick: Milliseconds;
  readonly #limits: SessionLimits;
  #pingNumber = 0;
  #receivedFrames = 0;
  /** Number of received frames that the peer knows of. */
  #reportedFrames = 0;
  #sentFrames = 0;
  /** Time spent waiting for an outstanding acknowledgement or pong. */
  #silentMilliseconds = 0;
  /** Milliseconds since the peer last acknowledged something. */
  #timeSinceProgress = 0;
  /** Milliseconds since the last ping. */
  #timeSincePing = 0;
  /** Milliseconds since the last report of received frames. */
  #timeSinceReport = 0;
  /** Time for which received frames have not been reported. */
  #unreportedMilliseconds = 0;

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

  /** Returns whether received frames are reported with frames that are sent anyway. */
  isReportDue(): boolean {
    const interval = this.#limits.keepaliveIntervalMilliseconds;
    return (
      this.#receivedFrames > this.#reportedFrames &&
      this.#timeSinceReport >= interval * ACKNOWLEDGEMENT_INTERVAL_SHARE
    );
  }

  /** Records that the peer gets to know how many frames were received. */
  recordReport(): void {
    this.#reportedFrames = this.#receivedFrames;
    this.#timeSinceReport = 0;
    this.#unreportedMilliseconds = 0;
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
    this.#timeSinceReport += step;
    this.#unreportedMilliseconds +=
      this.#receivedFrames > this.#reportedFrames ? step : 0;
    const isWaiting =
      this.#isPongPending || this.#sentFrames > this.#acknowledgedFrames;
    this.#silentMilliseconds = isWaiting ? this.#silentMilliseconds + step : 0;
    if (this.#silentMilliseconds >= this.#limits.keepaliveTimeoutMilliseconds) {
      return 'timeout';
    }
    if (this.#isPingDue(hasCalls, isWaiting)) {
      return this.#ping();
    }
    const interval = this.#limits.keepaliveIntervalMilliseconds;
    const delay = interval * ACKNOWLEDGEMENT_DELAY_SHARE;
    return this.#unreportedMilliseconds >= delay ? 'acknowledge' : 'none';
  }

  /** Frames without a call wait for an acknowledgement of the peer's own accord. */
  #isPingDue(hasCalls: boolean, isWaiting: boolean): boolean {
    const interval = this.#limits.keepaliveIntervalMilliseconds;
    if (isWaiting && !hasCalls) {
      return (
        this.#timeSincePing >= interval && this.#silentMilliseconds >= interval
      );
    }
    const delay = hasCalls ? interval : interval * IDLE_PING_INTERVAL_FACTOR;
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
