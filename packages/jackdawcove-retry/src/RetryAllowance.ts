/**
 * Conserved retry allowance of one request.
 *
 * The root fixes R tokens. Each call in progress holds a part of them: it
 * spends one per retry, lends some with each attempt and takes back what the
 * answer returns. Tokens are moved or lost, never made, so that all attempts of
 * a request at every hop together are at most its calls plus R.
 */

import {invariant} from 'jackdawcove-shared';

/** How many of the available tokens an attempt is lent. */
export type LendTokens = (available: number) => number;

const LENT_DIVISOR = 2;
const TOKEN_COUNT_INVARIANT = 4;

/**
 * Lends the larger half, so that concurrent children split what there is and
 * even a deep call is lent a token while one is left.
 *
 * @example
 * lendLargerHalf(3); // 2
 */
export function lendLargerHalf(available: number): number {
  return Math.ceil(available / LENT_DIVISOR);
}

/** Tokens that a call in progress holds. */
export class RetryAllowance {
  #available: number;
  #isClosed = false;
  readonly #lendTokens: LendTokens;

  constructor(tokens: number, lendTokens: LendTokens = lendLargerHalf) {
    assertTokenCount(tokens);
    this.#available = tokens;
    this.#lendTokens = lendTokens;
  }

  /** Takes one token for a retry; false when there is none. */
  spend(): boolean {
    if (this.#available < 1) {
      return false;
    }
    this.#available -= 1;
    return true;
  }

  /** Takes the tokens that the next attempt is lent. */
  lend(): number {
    const lent = Math.min(this.#available, this.#lendTokens(this.#available));
    assertTokenCount(lent);
    this.#available -= lent;
    return lent;
  }

  /** Takes back what an attempt did not use; lost after the call has ended. */
  takeBack(tokens: number): void {
    assertTokenCount(tokens);
    if (!this.#isClosed) {
      this.#available += tokens;
    }
  }

  /** Ends the call and returns its unused tokens. */
  close(): number {
    const unused = this.#available;
    this.#available = 0;
    this.#isClosed = true;
    return unused;
  }

  /** Tokens left. */
  getAvailable(): number {
    return this.#available;
  }
}

function assertTokenCount(tokens: number): void {
  const isCount = Number.isInteger(tokens) && tokens >= 0;
  invariant(isCount, TOKEN_COUNT_INVARIANT, `tokens=${String(tokens)}`);
}
