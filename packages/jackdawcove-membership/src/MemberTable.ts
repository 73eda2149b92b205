/** Records of all known daemons, with a digest of the reachable ones. */

import type {DaemonRecord} from './MembershipRecords.js';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {hashToUint32} from 'jackdawcove-shared';

import {DIGEST_BUCKET_COUNT} from './MembershipConstants.js';
import {compareDaemonRecords, isDaemonReachable} from './MembershipRecords.js';

type Member = {
  readonly bucket: number;
  readonly changedAt: Milliseconds;
  readonly digest: number;
  readonly record: DaemonRecord;
};

/** Returns the fields that can differ between records of one incarnation. */
function describeContent(record: DaemonRecord): string {
  const {backendServer, incarnation, isDraining, ledgerGeneration} = record;
  return [
    record.name,
    incarnation,
    record.version,
    record.state,
    isDraining,
    ledgerGeneration,
    backendServer?.incarnation,
    backendServer?.state,
  ].join(' ');
}

/**
 * Returns the bucket of the digest that the record of a daemon is in.
 *
 * @example
 * getDigestBucket('vm-7');
 */
export function getDigestBucket(name: DaemonName): number {
  return hashToUint32(name) % DIGEST_BUCKET_COUNT;
}

function createMember(record: DaemonRecord, now: Milliseconds): Member {
  return {
    bucket: getDigestBucket(record.name),
    changedAt: now,
    digest: isDaemonReachable(record)
      ? hashToUint32(describeContent(record))
      : 0,
    record,
  };
}

/** Table of daemon records; a newer record replaces an older one. */
export class MemberTable {
  readonly #bucketDigests = new Array<number>(DIGEST_BUCKET_COUNT).fill(0);
  readonly #members = new Map<DaemonName, Member>();

  /**
   * Stores the record if it is newer than the current one, and returns whether
   * it was stored.
   *
   * @example
   * const isNewer = table.apply(record, now);
   */
  apply(record: DaemonRecord, now: Milliseconds): boolean {
    const current = this.#members.get(record.name);
    if (
      current !== undefined &&
      compareDaemonRecords(record, current.record) <= 0
    ) {
      return false;
    }
    const member = createMember(record, now);
    this.#toggleDigest(current);
    this.#toggleDigest(member);
    this.#members.set(record.name, member);
    return true;
  }

  /** Removes the record of a daemon. */
  remove(name: DaemonName): void {
    this.#toggleDigest(this.#members.get(name));
    this.#members.delete(name);
  }

  /** Returns the record of a daemon, or undefined. */
  getRecord(name: DaemonName): DaemonRecord | undefined {
    return this.#members.get(name)?.record;
  }

  /** Returns all records. */
  getRecords(): readonly DaemonRecord[] {
    return [...this.#members.values()].map(({record}) => record);
  }

  /** Returns the records in the given buckets of the digest. */
  getBucketRecords(buckets: readonly number[]): readonly DaemonRecord[] {
    return [...this.#members.values()]
      .filter(({bucket}) => buckets.includes(bucket))
      .map(({record}) => record);
  }

  /** Returns the digest of the reachable daemons, one number per bucket. */
  getDigest(): readonly number[] {
    return [...this.#bucketDigests];
  }

  /** Returns the daemons in a state that they entered at or before `since`. */
  getMembersInStateSince(
    state: DaemonRecord['state'],
    since: Milliseconds,
  ): readonly DaemonRecord[] {
    return [...this.#members.values()]
      .filter(
        ({changedAt, record}) => record.state === state && changedAt <= since,
      )
      .map(({record}) => record);
  }

  /** Returns the records by name. */
  getRecordMap(): ReadonlyMap<DaemonName, DaemonRecord> {
    return new Map(
      [...this.#members].map(([name, {record}]) => [name, record]),
    );
  }

  /** Returns the number of known daemons. */
  getSize(): number {
    return this.#members.size;
  }

  #toggleDigest(member: Member | undefined): void {
    if (member !== undefined) {
      const current = this.#bucketDigests[member.bucket] ?? 0;
      this.#bucketDigests[member.bucket] = (current ^ member.digest) >>> 0;
    }
  }
}
