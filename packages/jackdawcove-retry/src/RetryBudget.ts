/** Retry budget of one service: retries are limited to a ratio of the successes. */

/** Settings of a retry budget. */
export type RetryBudgetOptions = {
  /** Maximum number of retries in a burst. */
  readonly maximumTokens: number;
  /** Fraction of a retry that one success earns. */
  readonly tokensPerSuccess: number;
};

/** One retry per ten successes, with a small burst. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
  maximumTokens: 20,
  tokensPerSuccess: 0.1,
};

/** Token bucket that limits the retries of a daemon for one service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #tokens: number;

  constructor(options = DEFAULT_RETRY_BUDGET_OPTIONS) {
    this.#options = options;
    this.#tokens = options.maximumTokens;
  }

  /** Records a success of a first attempt or of a retry. */
  recordSuccess(): void {
    const {maximumTokens, tokensPerSuccess} = this.#options;
    this.#tokens = Math.min(maximumTokens, this.#tokens + tokensPerSuccess);
  }

  /** Takes one token for a retry; returns false when none is left. */
  spend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Returns the token of a retry that was not made. */
  refund(): void {
    this.#tokens = Math.min(this.#options.maximumTokens, this.#tokens + 1);
  }

  /** Tokens left; a retry takes one. */
  getTokens(): number {
    return this.#tokens;
  }
}
