/** Distribution of committed records to all daemons by push and gossip. */

import type {
  RecordVersion,
  SpreadMessage,
  SpreadRecord,
  SpreadTopic,
} from './SpreadMessages.js';
import type {Confirmation} from './StartUpGate.js';
import type {DaemonName, Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {pickRandom, shuffle} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {getPushChildren} from './PushTree.js';
import {
  ANTI_ENTROPY_INTERVAL_MILLISECONDS,
  RUMOR_FAN_OUT,
  RUMOR_INTERVAL_MILLISECONDS,
  RUMOR_ROUNDS,
  START_UP_PEERS,
  START_UP_ROUND_INTERVAL_MILLISECONDS,
} from './RevisionConstants.js';
import {StartUpGate} from './StartUpGate.js';

/** Effect of a command, to be executed by the owner of the spread. */
export type SpreadEffect =
  /** The record takes effect on this daemon. */
  | {readonly kind: 'apply'; readonly record: SpreadRecord}
  /** A peer holds a different record with the same version, which is a bug. */
  | {
      readonly kind: 'diverged';
      readonly peer: DaemonName;
      readonly version: RecordVersion;
    }
  /** The owner calls `persisted` with the number, even if storing fails. */
  | {
      readonly kind: 'persist';
      readonly number: number;
      readonly records: readonly SpreadRecord[];
    }
  | {
      readonly kind: 'send';
      readonly message: SpreadMessage;
      readonly to: DaemonName;
    };

/** Options of the record spread. */
export type SpreadOptions = {
  /** Returns the names of the reachable daemons, with or without this one. */
  readonly getReachableDaemons: () => readonly DaemonName[];
  /** Returns whether a record may replace the applied one. */
  readonly mayReplace: (
    next: RecordVersion,
    applied: RecordVersion | undefined,
  ) => boolean;
  readonly localDaemon: DaemonName;
  readonly randomNumber: RandomNumber;
};

type PendingRecords = {
  readonly number: number;
  readonly records: readonly SpreadRecord[];
};

/**
 * Returns whether a record may replace the applied one: versions only increase.
 *
 * @example
 * isNewerVersion(next, undefined); // true
 */
export function isNewerVersion(
  next: RecordVersion,
  applied: RecordVersion | undefined,
): boolean {
  return next.version > (applied?.version ?? 0);
}

/**
 * Holds the newest record of each topic, pushes new records along a tree, announces
 * them in rumor rounds and compares versions with a random peer every second.
 *
 * @example
 * const spread = new RevisionSpread(options, [], now);
 * const effects = spread.publish([record], now);
 */
export class RevisionSpread {
  /** Records in effect on this daemon. */
  readonly #applied = new Map<SpreadTopic, SpreadRecord>();
  #nextAntiEntropyAt: Milliseconds;
  readonly #startUpGate: StartUpGate;
  /** Highest version of each topic that a peer has reported. */
  readonly #highestKnown = new Map<SpreadTopic, RecordVersion>();
  #nextNumber = 1;
  readonly #options: SpreadOptions;
  #pending: PendingRecords[] = [];
  /** Newest received records, at least as new as the applied ones. */
  readonly #received = new Map<SpreadTopic, SpreadRecord>();
  #nextRumorAt: Milliseconds = Number.POSITIVE_INFINITY;
  #rumorRounds = 0;
  #nextStartUpRoundAt: Milliseconds;

  constructor(
    options: SpreadOptions,
    storedRecords: readonly SpreadRecord[],
    now: Milliseconds,
  ) {
    this.#nextAntiEntropyAt =
      now + ANTI_ENTROPY_INTERVAL_MILLISECONDS * options.randomNumber();
    this.#startUpGate = new StartUpGate(now);
    this.#options = options;
    this.#nextStartUpRoundAt = now;
    for (const record of storedRecords) {
      this.#applied.set(record.topic, record);
      this.#received.set(record.topic, record);
    }
  }

  /** Distributes records that this daemon knows to be committed. */
  publish(
    records: readonly SpreadRecord[],
    now: Milliseconds,
  ): readonly SpreadEffect[] {
    return this.#accept(records, this.#options.localDaemon, now);
  }

  /** Handles a message from another daemon. */
  receive(
    message: SpreadMessage,
    source: DaemonName,
    now: Milliseconds,
  ): readonly SpreadEffect[] {
    const effects = match(message)
      .with({kind: 'digest'}, (digest) =>
        this.#compareVersions(digest.versions, digest.isAnswerWanted, source),
      )
      .with({kind: 'pull'}, ({topics}) =>
        this.#sendRecords(
          topics.flatMap((topic) => this.#received.get(topic) ?? []),
          source,
        ),
      )
      .with({kind: 'records'}, ({records, root}) =>
        this.#accept(records, root, now),
      )
      .exhaustive();
    this.#updateStartUpGate(now);
    return effects;
  }

  /** Applies the records of all persist effects up to a number. */
  persisted(number: number, now: Milliseconds): readonly SpreadEffect[] {
    const durable = this.#pending.filter((pending) => pending.number <= number);
    this.#pending = this.#pending.filter((pending) => pending.number > number);
    const effects = durable
      .flatMap(({records}) => records)
      .flatMap((record) => this.#apply(record));
    this.#updateStartUpGate(now);
    return effects;
  }

  /** Advances time: sends start-up queries, rumors and anti-entropy digests. */
  tick(now: Milliseconds): readonly SpreadEffect[] {
    const effects = [
      ...this.#queryPeersAtStartUp(now),
      ...this.#sendRumors(now),
      ...this.#startAntiEntropy(now),
    ];
    this.#updateStartUpGate(now);
    return effects;
  }

  /** Returns the applied record of a topic. */
  getApplied(topic: SpreadTopic): SpreadRecord | undefined {
    return this.#applied.get(topic);
  }

  /** Returns the versions of all applied records. */
  getAppliedVersions(): readonly RecordVersion[] {
    return [...this.#applied.values()].map(({digest, topic, version}) => ({
      digest,
      topic,
      version,
    }));
  }

  getConfirmation(): Confirmation {
    return this.#startUpGate.getConfirmation();
  }

  #getPeers(): readonly DaemonName[] {
    const {getReachableDaemons, localDaemon} = this.#options;
    return getReachableDaemons().filter((daemon) => daemon !== localDaemon);
  }

  #updateStartUpGate(now: Milliseconds): void {
    if (this.#startUpGate.getConfirmation() === 'confirmed') {
      return;
    }
    const isCaughtUp = [...this.#highestKnown.values()].every(
      ({topic, version}) => (this.#applied.get(topic)?.version ?? 0) >= version,
    );
    this.#startUpGate.update(
      {isCaughtUp, peerCount: this.#getPeers().length},
      now,
    );
  }

  #accept(
    records: readonly SpreadRecord[],
    root: DaemonName | undefined,
    now: Milliseconds,
  ): readonly SpreadEffect[] {
    const newer = records.filter((record) =>
      this.#options.mayReplace(record, this.#received.get(record.topic)),
    );
    if (newer.length === 0) {
      return [];
    }
    for (const record of newer) {
      this.#received.set(record.topic, record);
    }
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    this.#pending.push({number, records: newer});
    this.#nextRumorAt = Math.min(
      this.#nextRumorAt,
      now + RUMOR_INTERVAL_MILLISECONDS,
    );
    this.#rumorRounds = RUMOR_ROUNDS;
    return [
      {kind: 'persist', number, records: [...this.#received.values()]},
      ...this.#push(newer, root),
    ];
  }

  #push(
    records: readonly SpreadRecord[],
    root: DaemonName | undefined,
  ): readonly SpreadEffect[] {
    if (root === undefined) {
      return [];
    }
    const {getReachableDaemons, localDaemon} = this.#options;
    const message: SpreadMessage = {
      kind: 'records',
      records: [...records],
      root,
    };
    return getPushChildren(getReachableDaemons(), root, localDaemon).map(
      (to) => ({
        kind: 'send',
        message,
        to,
      }),
    );
  }

  #apply(record: SpreadRecord): readonly SpreadEffect[] {
    const applied = this.#applied.get(record.topic);
    if (!this.#options.mayReplace(record, applied)) {
      return [];
    }
    this.#applied.set(record.topic, record);
    return [{kind: 'apply', record}];
  }

  #compareVersions(
    versions: readonly RecordVersion[],
    isAnswerWanted: boolean,
    peer: DaemonName,
  ): readonly SpreadEffect[] {
    this.#startUpGate.recordAnswer(peer);
    const peerVersions = new Map(
      versions.map((version) => [version.topic, version]),
    );
    const newerLocal = [...this.#received.values()].filter(
      ({topic, version}) => {
        return version > (peerVersions.get(topic)?.version ?? 0);
      },
    );
    const newerRemote = versions.filter((version) =>
      this.#isNewerThanReceived(version),
    );
    for (const version of newerRemote) {
      this.#recordKnownVersion(version);
    }
    return [
      ...this.#findDivergence(versions, peer),
      ...this.#sendRecords(newerLocal, peer),
      ...this.#pull(newerRemote, peer),
      ...(isAnswerWanted ? [this.#createDigest(peer, false)] : []),
    ];
  }

  #isNewerThanReceived({topic, version}: RecordVersion): boolean {
    return version > (this.#received.get(topic)?.version ?? 0);
  }

  #recordKnownVersion(version: RecordVersion): void {
    const known = this.#highestKnown.get(version.topic)?.version ?? 0;
    if (version.version > known) {
      this.#highestKnown.set(version.topic, version);
    }
  }

  #findDivergence(
    versions: readonly RecordVersion[],
    peer: DaemonName,
  ): readonly SpreadEffect[] {
    return versions.flatMap((version) => {
      const received = this.#received.get(version.topic);
      const isDiverged =
        received?.version === version.version &&
        received.digest !== version.digest;
      return isDiverged ? [{kind: 'diverged' as const, peer, version}] : [];
    });
  }

  #sendRecords(
    records: readonly SpreadRecord[],
    to: DaemonName,
  ): readonly SpreadEffect[] {
    return records.length === 0
      ? []
      : [{kind: 'send', message: {kind: 'records', records: [...records]}, to}];
  }

  #pull(
    versions: readonly RecordVersion[],
    to: DaemonName,
  ): readonly SpreadEffect[] {
    const topics = versions.map(({topic}) => topic);
    return topics.length === 0
      ? []
      : [{kind: 'send', message: {kind: 'pull', topics}, to}];
  }

  #createDigest(to: DaemonName, isAnswerWanted: boolean): SpreadEffect {
    const versions = [...this.#received.values()].map(
      ({digest, topic, version}) => ({digest, topic, version}),
    );
    return {
      kind: 'send',
      message: {isAnswerWanted, kind: 'digest', versions},
      to,
    };
  }

  #queryPeersAtStartUp(now: Milliseconds): readonly SpreadEffect[] {
    const isConfirmed = this.#startUpGate.getConfirmation() === 'confirmed';
    if (isConfirmed || now < this.#nextStartUpRoundAt) {
      return [];
    }
    this.#nextStartUpRoundAt = now + START_UP_ROUND_INTERVAL_MILLISECONDS;
    return shuffle(this.#getPeers(), this.#options.randomNumber)
      .slice(0, START_UP_PEERS)
      .map((peer) => this.#createDigest(peer, true));
  }

  #sendRumors(now: Milliseconds): readonly SpreadEffect[] {
    if (now < this.#nextRumorAt) {
      return [];
    }
    this.#rumorRounds -= 1;
    this.#nextRumorAt =
      this.#rumorRounds > 0
        ? now + RUMOR_INTERVAL_MILLISECONDS
        : Number.POSITIVE_INFINITY;
    return shuffle(this.#getPeers(), this.#options.randomNumber)
      .slice(0, RUMOR_FAN_OUT)
      .map((peer) => this.#createDigest(peer, false));
  }

  #startAntiEntropy(now: Milliseconds): readonly SpreadEffect[] {
    if (now < this.#nextAntiEntropyAt) {
      return [];
    }
    this.#nextAntiEntropyAt = now + ANTI_ENTROPY_INTERVAL_MILLISECONDS;
    const peer = pickRandom(this.#getPeers(), this.#options.randomNumber);
    return peer === undefined ? [] : [this.#createDigest(peer, false)];
  }
}
