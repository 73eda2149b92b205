/** Hashes and digests that are the same in every process. */

import {hash} from 'node:crypto';

const HASH_ALGORITHM = 'sha1';
const DIGEST_ALGORITHM = 'sha256';
const UINT32_HEX_LENGTH = 8;
const UINT32_RANGE = 0x1_0000_0000;
const HEX_RADIX = 16;

/**
 * Hashes a string to an unsigned 32-bit integer. The result is the same in
 * every process.
 *
 * @example
 * hashToUint32('orders') % sliceCount;
 */
export function hashToUint32(text: string): number {
  const digest = hash(HASH_ALGORITHM, text, 'hex');
  return Number.parseInt(digest.slice(0, UINT32_HEX_LENGTH), HEX_RADIX);
}

/**
 * Hashes a string to a number in [0, 1). The result is the same in every
 * process.
 *
 * @example
 * hashToUnit(rootRequestId); // cohort of a root request
 */
export function hashToUnit(text: string): number {
  return hashToUint32(text) / UINT32_RANGE;
}

/**
 * Returns the SHA-256 digest of a string or of bytes in hexadecimal.
 *
 * @example
 * digestHex('abc').length; // 64
 */
export function digestHex(content: string | Uint8Array): string {
  return hash(DIGEST_ALGORITHM, content, 'hex');
}
