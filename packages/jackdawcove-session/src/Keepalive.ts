/**
 * Finds a session that went silent in one direction or in both.
 *
 * Evidence is acknowledged progress, not received bytes: a session whose other
 * end still sends but no longer receives is dead as well.
 */

import type {SessionLimits} from './SessionTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MAXIMUM_SILENCE_STEP_MILLISECONDS} from './SessionConstants.js';

const IDLE_PING_INTERVAL_FACTOR = 50;

/** What the session does after a tick. */
export type KeepaliveAction = 'none' | 'ping' | 'timeout';

/** Counts sent and acknowledged frames and decides on pings and death. */
export class Keepalive {
  #acknowledgedFrames = 0;
  #isPongPending = false;
  #lastTick: Milliseconds;
  readonly #limits: SessionLimits;
  #pingNumber = 0;
  #receivedFrames = 0;
  #sentFrames = 0;
  #silentMilliseconds = 0;
  #sinceProgress = 0;
  #sincePing = 0;

  constructor(limits: SessionLimits, now: Milliseconds) {
    this.#lastTick = now;
    this.#limits = limits;
  }

  /** Returns the frames that the other end acknowledged. */
  getAcknowledgedFrames(): number {
    return this.#acknowledgedFrames;
  }

  /** Returns the number of the last ping. */
  getPingNumber(): number {
    return this.#pingNumber;
  }

  /** Returns the frames received that ask for an acknowledgement. */
  getReceivedFrames(): number {
    return this.#receivedFrames;
  }

  /** Returns the frames sent that ask for an acknowledgement. */
  getSentFrames(): number {
    return this.#sentFrames;
  }

  /** Notes the progress that the other end acknowledged. */
  acknowledge(frames: number): void {
    if (frames > this.#acknowledgedFrames) {
      this.#acknowledgedFrames = Math.min(frames, this.#sentFrames);
      this.#recordProgress();
    }
  }

  /** Notes the answer to a ping. */
  handlePong(pingNumber: number, frames: number): void {
    this.acknowledge(frames);
    if (this.#isPongPending && pingNumber === this.#pingNumber) {
      this.#isPongPending = false;
      this.#recordProgress();
    }
  }

  /** Notes a received frame that asks for an acknowledgement. */
  recordReceived(): void {
    this.#receivedFrames += 1;
  }

  /** Notes a sent frame that asks for an acknowledgement. */
  recordSent(): void {
    this.#sentFrames += 1;
  }

  /** Advances time; steps longer than a pause of this process are cut short. */
  tick(now: Milliseconds, hasCalls: boolean): KeepaliveAction {
    const step = Math.min(
      now - this.#lastTick,
      MAXIMUM_SILENCE_STEP_MILLISECONDS,
    );
    this.#lastTick = now;
    this.#sinceProgress += step;
    this.#sincePing += step;
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
    const dueAfter = isActive ? interval : interval * IDLE_PING_INTERVAL_FACTOR;
    return this.#sincePing >= dueAfter && this.#sinceProgress >= dueAfter;
  }

  #recordProgress(): void {
    this.#silentMilliseconds = 0;
    this.#sinceProgress = 0;
  }

  #ping(): KeepaliveAction {
    this.#isPongPending = true;
    this.#pingNumber += 1;
    this.#sincePing = 0;
    return 'ping';
  }
}
