/** Client-side adaptive throttling (Site Reliability Engineering, chapter 21). */

import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

const ACCEPTS_FACTOR = 2;
const WINDOW_MILLISECONDS = 10_000;

/** Rejects with the probability max(0, (requests - K accepts) / (requests + 1)). */
export class AdaptiveThrottle {
  #accepts = 0;
  #lastAt = 0;
  readonly #randomNumber: RandomNumber;
  #requests = 0;

  constructor(randomNumber: RandomNumber) {
    this.#randomNumber = randomNumber;
  }

  /** Decides whether to reject a request, and counts it if it is rejected. */
  isRejected(now: Milliseconds): boolean {
    this.#decay(now);
    const excess = this.#requests - ACCEPTS_FACTOR * this.#accepts;
    const probability = Math.max(0, excess / (this.#requests + 1));
    const isRejected = this.#randomNumber() < probability;
    this.#requests += isRejected ? 1 : 0;
    return isRejected;
  }

  /** Records the outcome of a request that was sent. */
  recordEnded(isSuccess: boolean): void {
    this.#requests += 1;
    this.#accepts += isSuccess ? 1 : 0;
  }

  #decay(now: Milliseconds): void {
    const decayFactor = Math.exp((this.#lastAt - now) / WINDOW_MILLISECONDS);
    this.#requests *= decayFactor;
    this.#accepts *= decayFactor;
    this.#lastAt = now;
  }
}
