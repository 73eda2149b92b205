/**
 * Retry allowance of one request, conserved across its call graph.
 *
 * The root sets the number of tokens, R. Each call in progress holds some of them: it
 * spends one per retry, lends some with each attempt and takes back those that the
 * answer returns. Tokens are moved or lost, never created, so the attempts of a request
 * at all hops together are at most its calls plus R.
 */

import {invariant} from 'jackdawcove-shared';

/** Returns how many of the available tokens to lend to an attempt. */
export type LendTokens = (available: number) => number;

const LENT_DIVISOR = 2;
const TOKEN_COUNT_INVARIANT = 4;

/**
 * Lends the larger half, so that concurrent child calls share the tokens and even a
 * deep call is lent a token while one is left.
 *
 * @example
 * lendLargerHalf(3); // 2
 */
export function lendLargerHalf(available: number): number {
  return Math.ceil(available / LENT_DIVISOR);
}

/** Retry tokens that a call in progress holds. */
export class RetryAllowance {
  #available: number;
  #isClosed = false;
  readonly #lendTokens: LendTokens;

  constructor(tokens: number, lendTokens: LendTokens = lendLargerHalf) {
    assertTokenCount(tokens);
    this.#available = tokens;
    this.#lendTokens = lendTokens;
  }

  /** Takes one token for a retry; returns false when none is left. */
  spend(): boolean {
    if (this.#available < 1) {
      return false;
    }
    this.#available -= 1;
    return true;
  }

  /** Takes and returns the tokens to lend to the next attempt. */
  lend(): number {
    const lent = Math.min(this.#available, this.#lendTokens(this.#available));
    assertTokenCount(lent);
    this.#available -= lent;
    return lent;
  }

  /** Takes back the unused tokens of an attempt; they are lost once the call has ended. */
  reclaim(tokens: number): void {
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
