/** Retry budget of one service: retries as a ratio of its successes. */

/** Settings of a retry budget. */
export type RetryBudgetOptions = {
  /** Retries that may be made at once after a quiet time. */
  readonly maximumTokens: number;
  /** Share of a retry that one success earns. */
  readonly tokensPerSuccess: number;
};

/** Budget of a tenth of the successes, with a small reserve. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
  maximumTokens: 20,
  tokensPerSuccess: 0.1,
};

/** Bounds the retries of a service that a daemon makes for all its callers. */
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

  /** Takes the budget for one retry; false when it is used up. */
  spend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Gives back what was taken for a retry that was not made. */
  refund(): void {
    this.#tokens = Math.min(this.#options.maximumTokens, this.#tokens + 1);
  }

  /** Retries that may be made now. */
  getTokens(): number {
    return this.#tokens;
  }
}
