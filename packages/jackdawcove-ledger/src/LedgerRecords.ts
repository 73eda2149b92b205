/**
 * Records of one slice, grouped for deletion by the minute in which their keys
 * were minted.
 */

import type {KeyIdentifier} from './IdempotencyKey.js';
import type {HeldClaim, LedgerRecord} from './LedgerMessages.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {getMintTime} from './IdempotencyKey.js';
import {RECORD_BUCKET_MS, RECORD_RETENTION_MS} from './LedgerConstants.js';
import {isSameAttempt} from './LedgerMessages.js';

type Bucket = Map<KeyIdentifier, readonly HeldClaim[]>;

/**
 * Merges the claims of one key that were read from another member. A claim whose
 * attempt has ended replaces the same claim in the state `claimed`.
 */
function mergeClaims(
  held: readonly HeldClaim[],
  read: readonly HeldClaim[],
): HeldClaim[] {
  const merged = [...held];
  for (const claim of read) {
    const index = merged.findIndex((other) => isSameAttempt(other, claim));
    if (index < 0) {
      merged.push(claim);
    } else if (merged[index]?.state === 'claimed') {
      merged[index] = claim;
    }
  }
  return merged;
}

/** Claims of one slice by key. */
export class LedgerRecords {
  readonly #buckets = new Map<number, Bucket>();

  /** Returns the claims of a key; empty if there are none. */
  getClaims(key: KeyIdentifier): readonly HeldClaim[] {
    return this.#buckets.get(getBucketNumber(key))?.get(key) ?? [];
  }

  /** Replaces the claims of a key. */
  setClaims(key: KeyIdentifier, claims: readonly HeldClaim[]): void {
    const number = getBucketNumber(key);
    const bucket = this.#buckets.get(number) ?? new Map();
    bucket.set(key, claims);
    this.#buckets.set(number, bucket);
  }

  /** Merges a record that another member holds into the records. */
  merge({claims, key}: LedgerRecord): void {
    this.setClaims(key, mergeClaims(this.getClaims(key), claims));
  }

  /** Deletes the records whose keys no member accepts any more. */
  removeExpired(now: Milliseconds): void {
    const oldest = now - RECORD_RETENTION_MS - RECORD_BUCKET_MS;
    for (const number of this.#buckets.keys()) {
      if (number * RECORD_BUCKET_MS < oldest) {
        this.#buckets.delete(number);
      }
    }
  }

  /** Returns all records. */
  getAll(): LedgerRecord[] {
    return [...this.#buckets.values()].flatMap((bucket) =>
      [...bucket].map(([key, claims]) => ({claims: [...claims], key})),
    );
  }

  /** Returns the number of records. */
  getSize(): number {
    let size = 0;
    for (const bucket of this.#buckets.values()) {
      size += bucket.size;
    }
    return size;
  }
}

function getBucketNumber(key: KeyIdentifier): number {
  return Math.floor(getMintTime(key) / RECORD_BUCKET_MS);
}
