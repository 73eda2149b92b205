/** Authorization by bearer tokens. */

import type {AdministrationRight} from './AdministrationEndpoints.js';

import {createHash, timingSafeEqual} from 'node:crypto';

/** Result of checking a token against the right that an endpoint requires. */
export type Authorization = 'forbidden' | 'granted' | 'unauthorized';

/** Tokens by the right that they grant. */
export type AdministrationTokens = {
  readonly changeTokens: readonly string[];
  readonly readTokens: readonly string[];
};

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]+)$/i;
const DIGEST_ALGORITHM = 'sha256';

function digest(token: string): Buffer {
  return createHash(DIGEST_ALGORITHM).update(token).digest();
}

/** Compares with every token, so that the duration does not reveal a match. */
function includesToken(tokens: readonly Buffer[], candidate: Buffer): boolean {
  let isIncluded = false;
  for (const token of tokens) {
    isIncluded = timingSafeEqual(token, candidate) || isIncluded;
  }
  return isIncluded;
}

/** Checks bearer tokens in constant time. */
export class TokenAuthorizer {
  readonly #changeDigests: readonly Buffer[];
  readonly #readDigests: readonly Buffer[];

  constructor(tokens: AdministrationTokens) {
    this.#changeDigests = tokens.changeTokens.map(digest);
    this.#readDigests = tokens.readTokens.map(digest);
  }

  /**
   * Checks the value of an Authorization header.
   *
   * @example
   * authorizer.authorize('Bearer 0123456789abcdef', 'read'); // 'granted'
   */
  authorize(
    header: string | undefined,
    right: AdministrationRight,
  ): Authorization {
    const token = BEARER_PATTERN.exec(header ?? '')?.[1];
    if (token === undefined) {
      return 'unauthorized';
    }
    const candidate = digest(token);
    const mayChange = includesToken(this.#changeDigests, candidate);
    const mayRead = includesToken(this.#readDigests, candidate);
    if (mayChange || (mayRead && right === 'read')) {
      return 'granted';
    }
    return mayRead ? 'forbidden' : 'unauthorized';
  }
}
