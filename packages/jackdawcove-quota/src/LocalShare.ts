/** Share of an organisation's quota that one daemon may admit. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {SHARE_DEPTH_MILLISECONDS} from './QuotaConstants.js';

/**
 * Token bucket that is refilled at the share of the daemon. It begins with a part
 * of a unit that differs between daemons, so that shares far below one request a
 * second are admitted from the start on, and not all at once later.
 */
export class LocalShare {
  #tokens: number;
  #unitsPerSecond: number;
  #updatedAt: Milliseconds;

  constructor(unitsPerSecond: number, phase: number, now: Milliseconds) {
    this.#tokens = phase;
    this.#unitsPerSecond = unitsPerSecond;
    this.#updatedAt = now;
  }

  setRate(unitsPerSecond: number, now: Milliseconds): void {
    this.#refill(now);
    this.#unitsPerSecond = unitsPerSecond;
  }

  /** Returns the part of a unit that a later share begins with, in [0, 1). */
  getPhase(): number {
    return this.#tokens % 1;
  }

  /** Takes a unit if there is one. */
  take(now: Milliseconds): boolean {
    this.#refill(now);
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Puts a unit back whose request was not sent on. */
  giveBack(): void {
    this.#tokens = Math.min(this.#getDepth(), this.#tokens + 1);
  }

  /** Returns the time until the next unit; infinite if the share is empty. */
  getDelay(now: Milliseconds): Milliseconds {
    this.#refill(now);
    return (
      ((1 - this.#tokens) * MILLISECONDS_PER_SECOND) / this.#unitsPerSecond
    );
  }

  /** Returns the time between two units; infinite if the share is empty. */
  getInterval(): Milliseconds {
    return MILLISECONDS_PER_SECOND / this.#unitsPerSecond;
  }

  #getDepth(): number {
    const share =
      (this.#unitsPerSecond * SHARE_DEPTH_MILLISECONDS) /
      MILLISECONDS_PER_SECOND;
    return Math.max(1, share);
  }

  #refill(now: Milliseconds): void {
    const elapsed = Math.max(0, now - this.#updatedAt);
    const refilled = (this.#unitsPerSecond * elapsed) / MILLISECONDS_PER_SECOND;
    this.#tokens = Math.min(this.#getDepth(), this.#tokens + refilled);
    this.#updatedAt = now;
  }
}
