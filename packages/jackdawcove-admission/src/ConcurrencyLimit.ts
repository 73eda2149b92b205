/** Adaptive limit of the requests that a backend server runs at once. */

import type {Milliseconds} from 'jackdawcove-shared';

import {COLD_START_SHARE, MINIMUM_LIMIT_SHARE} from './AdmissionConstants.js';

/** One completed request. */
export type LimitSample = {
  readonly inFlight: number;
  readonly isSuccess: boolean;
  /** Most that the limit may be. */
  readonly maximum: number;
  /** Time spent in the backend server itself, without its own calls. */
  readonly ownMilliseconds: Milliseconds;
};

/** A completed request, without what the limit knows itself. */
export type CompletedRequest = Omit<LimitSample, 'maximum'>;

/** Decides on a limit from samples, between a minimum and a maximum. */
export type LimitStrategy = {
  /** Returns the limit after a sample. */
  update(limit: number, sample: LimitSample, now: Milliseconds): number;
};

/** Creates a strategy for an instance that has just started. */
export type CreateLimitStrategy = () => LimitStrategy;

/** Settings of a limit. */
export type ConcurrencyLimitOptions = {
  readonly createStrategy: CreateLimitStrategy;
  readonly isRamping: boolean;
};

/** Limit between a minimum and the announced slots. */
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

  /** Starts anew for an instance that has just started. */
  start(maximum: number): void {
    this.#maximum = maximum;
    this.#isRamping = this.#options.isRamping;
    this.#strategy = this.#options.createStrategy();
    const first = Math.max(1, Math.ceil(maximum * COLD_START_SHARE));
    this.#limit = this.#isRamping ? first : maximum;
  }

  /** Changes the most that is allowed. */
  setMaximum(maximum: number): void {
    const wasAtMaximum = !this.#isRamping && this.#limit >= this.#maximum;
    this.#maximum = maximum;
    this.#limit = wasAtMaximum ? maximum : Math.min(this.#limit, maximum);
  }

  /** Takes a completed request into account. */
  record(completed: CompletedRequest, now: Milliseconds): void {
    const sample = {...completed, maximum: this.#maximum};
    if (this.#isRamping) {
      this.#ramp(sample);
      return;
    }
    const limit = this.#strategy.update(this.#limit, sample, now);
    this.#limit = Math.min(this.#maximum, Math.max(this.#getMinimum(), limit));
  }

  /** Requests that may run at once. */
  getLimit(): number {
    return Math.floor(this.#limit);
  }

  /** Each success makes room for one more: the limit doubles per service time. */
  #ramp(sample: LimitSample): void {
    const step = sample.isSuccess ? 1 : -1;
    this.#limit = Math.max(1, Math.min(this.#maximum, this.#limit + step));
    this.#isRamping = this.#limit < this.#maximum;
  }

  #getMinimum(): number {
    return Math.max(1, this.#maximum * MINIMUM_LIMIT_SHARE);
  }
}
