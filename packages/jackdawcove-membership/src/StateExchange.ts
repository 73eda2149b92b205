/** Exchange of complete records by join, digest and state messages. */

import type {MemberRegistry} from './MemberRegistry.js';
import type {MembershipOutbox} from './MembershipOutbox.js';
import type {DaemonRecord} from './MembershipRecords.js';
import type {
  Address,
  DaemonName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {formatAddress, pickRandom} from 'jackdawcove-shared';

import {
  ANTI_ENTROPY_INTERVAL_MS,
  EARLIER_RECORD_TIMEOUT_MS,
  INITIAL_STATE_PERIOD_MS,
  JOIN_INTERVAL_MS,
  MAXIMUM_RECORDS_PER_MESSAGE,
  SEED_CONTACT_INTERVAL_MS,
} from './MembershipConstants.js';
import {encodeRecord} from './MembershipMessages.js';
import {getDigestBucket} from './MemberTable.js';

/** Sender of a message. */
export type ExchangeSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Exchanges records with seeds, and periodically with random daemons. */
export class StateExchange {
  #firstStateAt: Milliseconds | undefined;
  #isAnswered = false;
  #nextAntiEntropyAt: Milliseconds;
  #nextJoinAt: Milliseconds;
  readonly #outbox: MembershipOutbox;
  readonly #randomNumber: RandomNumber;
  readonly #registry: MemberRegistry;
  #seeds: readonly Address[];
  readonly #startedAt: Milliseconds;

  constructor(
    registry: MemberRegistry,
    outbox: MembershipOutbox,
    seeds: readonly Address[],
    randomNumber: RandomNumber,
    now: Milliseconds,
  ) {
    this.#nextAntiEntropyAt = now + randomNumber() * ANTI_ENTROPY_INTERVAL_MS;
    this.#nextJoinAt = now;
    this.#outbox = outbox;
    this.#randomNumber = randomNumber;
    this.#registry = registry;
    this.#seeds = seeds;
    this.#startedAt = now;
  }

  /** Sends a join to every seed. */
  join(now: Milliseconds): void {
    this.#nextJoinAt = now + JOIN_INTERVAL_MS;
    for (const address of this.#seeds) {
      this.sendJoin(address, now);
    }
  }

  /** Whether the record of an earlier process of this daemon may still arrive. */
  isAwaitingState(now: Milliseconds): boolean {
    return (
      this.#seeds.length > 0 &&
      !this.#isAnswered &&
      now - this.#startedAt < EARLIER_RECORD_TIMEOUT_MS
    );
  }

  /** Replaces the seeds and contacts one that is not reachable at the next tick. */
  setSeeds(seeds: readonly Address[], now: Milliseconds): void {
    this.#seeds = seeds;
    this.#nextJoinAt = now;
  }

  /** Sends a join to the sender of a message if its record is not known. */
  sendJoinIfUnknown(source: ExchangeSource, now: Milliseconds): void {
    if (this.#registry.getTable().getRecord(source.daemon) === undefined) {
      this.sendJoin(source.address, now);
    }
  }

  /** Schedules a digest for the next tick. */
  scheduleDigest(now: Milliseconds): void {
    this.#nextAntiEntropyAt = now;
  }

  /** Applies the record of a joining daemon and sends it all known records. */
  answerJoin(record: DaemonRecord, now: Milliseconds): void {
    this.#registry.applyRecord(record, now, true);
    this.#sendRecords(
      this.#registry.getTable().getRecords(),
      [],
      record.address,
    );
  }

  /** Applies records and sends those requested. Those of the initial period are not gossiped. */
  receiveState(
    records: readonly DaemonRecord[],
    requestedBuckets: readonly number[],
    source: ExchangeSource,
    now: Milliseconds,
  ): void {
    if (records.length > 0) {
      this.#firstStateAt ??= now;
    }
    const isInitial =
      now - (this.#firstStateAt ?? now) < INITIAL_STATE_PERIOD_MS;
    for (const record of records) {
      this.#registry.applyRecord(record, now, !isInitial);
    }
    if (requestedBuckets.length === 0) {
      this.#handleAnswer(now);
    }
    this.sendBuckets(requestedBuckets, [], source);
  }

  /** Sends the records of all differing buckets and requests the peer's. */
  answerDigest(buckets: readonly number[], source: ExchangeSource): void {
    const localDigest = this.#registry.getTable().getDigest();
    const differing = buckets.flatMap((digest, bucket) =>
      digest === localDigest[bucket] ? [] : [bucket],
    );
    this.sendBuckets(differing, differing, source);
  }

  /** Sends the records of `buckets` and requests those of `requestedBuckets`. */
  sendBuckets(
    buckets: readonly number[],
    requestedBuckets: readonly number[],
    source: ExchangeSource,
  ): void {
    if (buckets.length === 0) {
      return;
    }
    const table = this.#registry.getTable();
    this.#sendRecords(
      table.getBucketRecords(buckets),
      requestedBuckets,
      table.getRecord(source.daemon)?.address ?? source.address,
    );
  }

  /** Sends a join to a random unreachable seed when one is due. */
  contactSeeds(now: Milliseconds): void {
    if (now < this.#nextJoinAt) {
      return;
    }
    const peers = this.#outbox.getPeers();
    const reachableAddresses = new Set(
      [...peers, this.#registry.getLocalRecord()].map(({address}) =>
        formatAddress(address),
      ),
    );
    const unreachableSeeds = this.#seeds.filter(
      (address) => !reachableAddresses.has(formatAddress(address)),
    );
    this.#nextJoinAt =
      now + (peers.length === 0 ? JOIN_INTERVAL_MS : SEED_CONTACT_INTERVAL_MS);
    const seed = pickRandom(unreachableSeeds, this.#randomNumber);
    if (seed !== undefined) {
      this.sendJoin(seed, now);
    }
  }

  /** Sends a digest to a random daemon when one is due. */
  sendDigest(now: Milliseconds): void {
    if (now < this.#nextAntiEntropyAt) {
      return;
    }
    this.#nextAntiEntropyAt = now + ANTI_ENTROPY_INTERVAL_MS;
    for (const {address} of this.#outbox.choosePeers(1)) {
      this.#outbox.sendMessage(address, {
        buckets: [...this.#registry.getTable().getDigest()],
        kind: 'digest',
      });
    }
  }

  /**
   * Sends a join to an address. It would replace the record of an earlier process of
   * this daemon, so that record is requested first.
   */
  sendJoin(address: Address, now: Milliseconds): void {
    const local = this.#registry.getLocalRecord();
    this.#outbox.sendMessage(
      address,
      this.isAwaitingState(now)
        ? {
            kind: 'state',
            records: [],
            requestedBuckets: [getDigestBucket(local.name)],
          }
        : {kind: 'join', record: encodeRecord(local)},
    );
  }

  /** Applies the first answer, also an empty one, and joins. */
  #handleAnswer(now: Milliseconds): void {
    if (!this.#isAnswered) {
      this.#isAnswered = true;
      this.join(now);
    }
  }

  #sendRecords(
    records: readonly DaemonRecord[],
    requestedBuckets: readonly number[],
    address: Address,
  ): void {
    let requested = [...requestedBuckets];
    let start = 0;
    do {
      const chunk = records.slice(start, start + MAXIMUM_RECORDS_PER_MESSAGE);
      this.#outbox.sendMessage(address, {
        kind: 'state',
        records: chunk.map(encodeRecord),
        requestedBuckets: requested,
      });
      requested = [];
      start += MAXIMUM_RECORDS_PER_MESSAGE;
    } while (start < records.length);
  }
}
