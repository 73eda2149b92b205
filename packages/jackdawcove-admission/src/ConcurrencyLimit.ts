/** Adaptive limit of the requests that a backend server runs concurrently. */

import type {Milliseconds} from 'jackdawcove-shared';

import {COLD_START_SHARE, MINIMUM_LIMIT_SHARE} from './AdmissionConstants.js';

/** One completed request. */
export type LimitSample = {
  readonly inFlight: number;
  readonly isSuccess: boolean;
  /** Maximum of the limit. */
  readonly maximum: number;
  /** Time spent in the backend server itself, without the calls that it made. */
  readonly ownMilliseconds: Milliseconds;
};

/** A completed request; the maximum is added by the limit. */
export type CompletedRequest = Omit<LimitSample, 'maximum'>;

/** Adjusts a limit from samples; the result is clamped to a minimum and a maximum. */
export type LimitStrategy = {
  /** Returns the new limit after a sample. */
  update(limit: number, sample: LimitSample, now: Milliseconds): number;
};

/** Creates a strategy for an instance that has just started. */
export type CreateLimitStrategy = () => LimitStrategy;

/** Settings of a limit. */
export type ConcurrencyLimitOptions = {
  readonly createStrategy: CreateLimitStrategy;
  readonly isRamping: boolean;
};

/** Concurrency limit between a minimum and the announced slots. */
export class ConcurrencyLimit {
  #isRamping = false;
  #limit = 0;
  #maximum = 0;
  readonly #options: ConcurrencyLimitOptions;
  #strategy: LimitStrategy;

  constructor(options: ConcurrencyLimitOptions) {
    this.#options = options;
    this.#strategy = options.createStrategy();
  }

  /** Resets the limit for an instance that has just started. */
  start(maximum: number): void {
    this.#maximum = maximum;
    this.#isRamping = this.#options.isRamping;
    this.#strategy = this.#options.createStrategy();
    const first = Math.max(1, Math.ceil(maximum * COLD_START_SHARE));
    this.#limit = this.#isRamping ? first : maximum;
  }

  /** Changes the maximum of the limit. */
  setMaximum(maximum: number): void {
    const wasAtMaximum = !this.#isRamping && this.#limit >= this.#maximum;
    this.#maximum = maximum;
    this.#limit = wasAtMaximum ? maximum : Math.min(this.#limit, maximum);
  }

  /** Adjusts the limit after a completed request. */
  record(completed: CompletedRequest, now: Milliseconds): void {
    const sample = {...completed, maximum: this.#maximum};
    if (this.#isRamping) {
      this.#ramp(sample);
      return;
    }
    const limit = this.#strategy.update(this.#limit, sample, now);
    this.#limit = Math.min(this.#maximum, Math.max(this.#getMinimum(), limit));
  }

  /** Number of requests that may run concurrently. */
  getLimit(): number {
    return Math.floor(this.#limit);
  }

  /** Each success raises the limit by one, so the limit doubles per service time. */
  #ramp(sample: LimitSample): void {
    const step = sample.isSuccess ? 1 : -1;
    this.#limit = Math.max(1, Math.min(this.#maximum, this.#limit + step));
    this.#isRamping = this.#limit < this.#maximum;
  }

  #getMinimum(): number {
    return Math.max(1, this.#maximum * MINIMUM_LIMIT_SHARE);
  }
}
