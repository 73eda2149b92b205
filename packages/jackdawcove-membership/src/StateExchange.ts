/** Exchange of whole records: joins, digests and states. */

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
  INITIAL_STATE_PERIOD_MS,
  JOIN_INTERVAL_MS,
  MAXIMUM_RECORDS_PER_MESSAGE,
  SEED_CONTACT_INTERVAL_MS,
} from './MembershipConstants.js';
import {encodeRecord} from './MembershipMessages.js';

/** Sender of a message. */
export type ExchangeSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Exchanges records with seeds and, rarely, with random daemons. */
export class StateExchange {
  #firstStateAt: Milliseconds | undefined;
  #nextAntiEntropyAt: Milliseconds;
  #nextJoinAt: Milliseconds;
  readonly #outbox: MembershipOutbox;
  readonly #randomNumber: RandomNumber;
  readonly #registry: MemberRegistry;
  readonly #seeds: readonly Address[];

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
  }

  /** Joins the fleet at every seed. */
  join(now: Milliseconds): void {
    this.#nextJoinAt = now + JOIN_INTERVAL_MS;
    for (const address of this.#seeds) {
      this.sendJoin(address);
    }
  }

  /** Joins at a daemon that this one does not know. */
  sendJoinIfUnknown(source: ExchangeSource): void {
    if (this.#registry.getTable().getRecord(source.daemon) === undefined) {
      this.sendJoin(source.address);
    }
  }

  /** Sends a digest on the next tick. */
  scheduleDigest(now: Milliseconds): void {
    this.#nextAntiEntropyAt = now;
  }

  /** Takes in a daemon that joins and sends it every record. */
  answerJoin(record: DaemonRecord, now: Milliseconds): void {
    this.#registry.applyRecord(record, now, true);
    this.#sendRecords(
      this.#registry.getTable().getRecords(),
      [],
      record.address,
    );
  }

  /** Applies records; those of the first state are not passed on. */
  receiveState(records: readonly DaemonRecord[], now: Milliseconds): void {
    this.#firstStateAt ??= now;
    const isInitial = now - this.#firstStateAt < INITIAL_STATE_PERIOD_MS;
    for (const record of records) {
      this.#registry.applyRecord(record, now, !isInitial);
    }
  }

  /** Sends the records of the buckets that differ and asks for the same. */
  answerDigest(buckets: readonly number[], source: ExchangeSource): void {
    const localDigest = this.#registry.getTable().getDigest();
    const differing = buckets.flatMap((digest, bucket) =>
      digest === localDigest[bucket] ? [] : [bucket],
    );
    this.sendBuckets(differing, differing, source);
  }

  /** Sends the records of some buckets. */
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

  /** Joins at a seed that is not in reach when it is due. */
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
      this.sendJoin(seed);
    }
  }

  /** Sends a digest to a random daemon when it is due. */
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

  /** Joins the fleet at an address. */
  sendJoin(address: Address): void {
    this.#outbox.sendMessage(address, {
      kind: 'join',
      record: encodeRecord(this.#registry.getLocalRecord()),
    });
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
