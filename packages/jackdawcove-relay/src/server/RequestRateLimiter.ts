/** Rate limit of one instance, as a token bucket. */

import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

/** Time without requests whose tokens may be spent at once. */
const BURST_MILLISECONDS = 250;

/**
 * Lowest rate that is applied. An instance that takes no requests at all could never
 * state in an answer that its limit has ended.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.25;

/**
 * Limits the requests that an instance gets from the whole fleet to the rate that the
 * instance stated. It handles an instance that needs relief for reasons its slots do
 * not show. Each request takes one token; without a rate, all requests pass.
 */
export class RequestRateLimiter {
  #refilledAt: Milliseconds = 0;
  #requestsPerSecond: number | undefined;
  #tokens = 0;

  /** Rate that is applied, in requests per second; undefined: no limit. */
  getRate(): number | undefined {
    return this.#requestsPerSecond;
  }

  /** Time between two requests at the rate; 0 without one. */
  getStartInterval(): Milliseconds {
    return this.#requestsPerSecond === undefined
      ? 0
      : MILLISECONDS_PER_SECOND / this.#requestsPerSecond;
  }

  /**
   * Sets the rate. The first limit starts without tokens, because the instance has
   * just got more requests than it takes.
   *
   * @example
   * limiter.setRate(5.6, now);
   */
  setRate(requestsPerSecond: number | undefined, now: Milliseconds): void {
    this.#refill(now);
    if (this.#requestsPerSecond === undefined) {
      this.#tokens = 0;
      this.#refilledAt = now;
    }
    this.#requestsPerSecond =
      requestsPerSecond === undefined
        ? undefined
        : Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
  }

  /** Takes the token of one request; returns false if there is none. */
  tryTake(now: Milliseconds): boolean {
    if (this.#requestsPerSecond === undefined) {
      return true;
    }
    this.#refill(now);
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Returns the time until a request with that many requests ahead gets its token. */
  getWait(requestsAhead: number, now: Milliseconds): Milliseconds {
    const rate = this.#requestsPerSecond;
    if (rate === undefined) {
      return 0;
    }
    this.#refill(now);
    const missingTokens = Math.max(0, requestsAhead + 1 - this.#tokens);
    return (missingTokens / rate) * MILLISECONDS_PER_SECOND;
  }

  #refill(now: Milliseconds): void {
    const rate = this.#requestsPerSecond;
    if (rate === undefined) {
      return;
    }
    const added = ((now - this.#refilledAt) * rate) / MILLISECONDS_PER_SECOND;
    const maximum = Math.max(
      1,
      (BURST_MILLISECONDS * rate) / MILLISECONDS_PER_SECOND,
    );
    this.#tokens = Math.min(maximum, this.#tokens + Math.max(0, added));
    this.#refilledAt = now;
  }
}
