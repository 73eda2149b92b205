/** Spread of committed records from daemon to daemon. */

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
  START_UP_ROUND_MILLISECONDS,
} from './RevisionConstants.js';
import {StartUpGate} from './StartUpGate.js';

/** Effect of a command on the spread. */
export type SpreadEffect =
  /** A record is in force on this daemon from now on. */
  | {readonly kind: 'apply'; readonly record: SpreadRecord}
  /** Two records with one version differ: a fault that must not happen. */
  | {
      readonly kind: 'diverged';
      readonly peer: DaemonName;
      readonly version: RecordVersion;
    }
  /** Answered by `persisted` with the number, also when nothing can be kept. */
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

/** Options of the spread. */
export type SpreadOptions = {
  /** Names of the daemons in reach, with or without this one. */
  readonly getDaemons: () => readonly DaemonName[];
  /** Whether a record may replace the applied one. */
  readonly mayReplace: (
    next: RecordVersion,
    applied: RecordVersion | undefined,
  ) => boolean;
  readonly own: DaemonName;
  readonly randomNumber: RandomNumber;
};

type PendingRecords = {
  readonly number: number;
  readonly records: readonly SpreadRecord[];
};

/**
 * Returns whether a record may replace the applied one: versions only move up.
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
 * Holds the newest record of each topic, pushes new ones along a tree and
 * compares with a random peer every second.
 *
 * @example
 * const spread = new RevisionSpread(options, [], now);
 * const effects = spread.publish([record], now);
 */
export class RevisionSpread {
  /** In force on this daemon. */
  readonly #applied = new Map<SpreadTopic, SpreadRecord>();
  #antiEntropyAt: Milliseconds;
  readonly #gate: StartUpGate;
  /** Highest versions that peers have named. */
  readonly #known = new Map<SpreadTopic, RecordVersion>();
  #nextNumber = 1;
  readonly #options: SpreadOptions;
  #pending: PendingRecords[] = [];
  /** Received, at least as new as what is applied. */
  readonly #received = new Map<SpreadTopic, SpreadRecord>();
  #rumorAt: Milliseconds = Number.POSITIVE_INFINITY;
  #rumorRounds = 0;
  #startUpRoundAt: Milliseconds;

  constructor(
    options: SpreadOptions,
    ownCopy: readonly SpreadRecord[],
    now: Milliseconds,
  ) {
    this.#antiEntropyAt =
      now + ANTI_ENTROPY_INTERVAL_MILLISECONDS * options.randomNumber();
    this.#gate = new StartUpGate(now);
    this.#options = options;
    this.#startUpRoundAt = now;
    for (const record of ownCopy) {
      this.#applied.set(record.topic, record);
      this.#received.set(record.topic, record);
    }
  }

  /** Spreads records that this daemon knows to be committed. */
  publish(
    records: readonly SpreadRecord[],
    now: Milliseconds,
  ): readonly SpreadEffect[] {
    return this.#take(records, this.#options.own, now);
  }

  /** Takes a message of another daemon. */
  receive(
    message: SpreadMessage,
    source: DaemonName,
    now: Milliseconds,
  ): readonly SpreadEffect[] {
    const effects = match(message)
      .with({kind: 'digest'}, (digest) =>
        this.#compare(digest.versions, digest.isAnswerWanted, source),
      )
      .with({kind: 'pull'}, ({topics}) =>
        this.#sendRecords(
          topics.flatMap((topic) => this.#received.get(topic) ?? []),
          source,
        ),
      )
      .with({kind: 'records'}, ({records, root}) =>
        this.#take(records, root, now),
      )
      .exhaustive();
    this.#updateGate(now);
    return effects;
  }

  /** Takes notice that records are kept, and puts them in force. */
  persisted(number: number, now: Milliseconds): readonly SpreadEffect[] {
    const kept = this.#pending.filter((pending) => pending.number <= number);
    this.#pending = this.#pending.filter((pending) => pending.number > number);
    const effects = kept
      .flatMap(({records}) => records)
      .flatMap((record) => this.#apply(record));
    this.#updateGate(now);
    return effects;
  }

  /** Advances time: start-up questions, rumors, anti-entropy. */
  tick(now: Milliseconds): readonly SpreadEffect[] {
    const effects = [
      ...this.#askAtStartUp(now),
      ...this.#sendRumors(now),
      ...this.#startAntiEntropy(now),
    ];
    this.#updateGate(now);
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
    return this.#gate.getConfirmation();
  }

  #getPeers(): readonly DaemonName[] {
    const {getDaemons, own} = this.#options;
    return getDaemons().filter((daemon) => daemon !== own);
  }

  #updateGate(now: Milliseconds): void {
    if (this.#gate.getConfirmation() === 'confirmed') {
      return;
    }
    const isCaughtUp = [...this.#known.values()].every(
      ({topic, version}) => (this.#applied.get(topic)?.version ?? 0) >= version,
    );
    this.#gate.update({isCaughtUp, peerCount: this.#getPeers().length}, now);
  }

  #take(
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
    this.#rumorAt = Math.min(this.#rumorAt, now + RUMOR_INTERVAL_MILLISECONDS);
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
    const {getDaemons, own} = this.#options;
    const message: SpreadMessage = {
      kind: 'records',
      records: [...records],
      root,
    };
    return getPushChildren(getDaemons(), root, own).map((to) => ({
      kind: 'send',
      message,
      to,
    }));
  }

  #apply(record: SpreadRecord): readonly SpreadEffect[] {
    const applied = this.#applied.get(record.topic);
    if (!this.#options.mayReplace(record, applied)) {
      return [];
    }
    this.#applied.set(record.topic, record);
    return [{kind: 'apply', record}];
  }

  #compare(
    versions: readonly RecordVersion[],
    isAnswerWanted: boolean,
    source: DaemonName,
  ): readonly SpreadEffect[] {
    this.#gate.hear(source);
    const theirs = new Map(versions.map((version) => [version.topic, version]));
    const newerHere = [...this.#received.values()].filter(
      ({topic, version}) => {
        return version > (theirs.get(topic)?.version ?? 0);
      },
    );
    const newerThere = versions.filter((version) => this.#isUnknown(version));
    for (const version of newerThere) {
      this.#rememberKnown(version);
    }
    return [
      ...this.#findDivergence(versions, source),
      ...this.#sendRecords(newerHere, source),
      ...this.#pull(newerThere, source),
      ...(isAnswerWanted ? [this.#createDigest(source, false)] : []),
    ];
  }

  #isUnknown({topic, version}: RecordVersion): boolean {
    return version > (this.#received.get(topic)?.version ?? 0);
  }

  #rememberKnown(version: RecordVersion): void {
    const known = this.#known.get(version.topic)?.version ?? 0;
    if (version.version > known) {
      this.#known.set(version.topic, version);
    }
  }

  #findDivergence(
    versions: readonly RecordVersion[],
    peer: DaemonName,
  ): readonly SpreadEffect[] {
    return versions.flatMap((version) => {
      const own = this.#received.get(version.topic);
      const isDiverged =
        own?.version === version.version && own.digest !== version.digest;
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

  #askAtStartUp(now: Milliseconds): readonly SpreadEffect[] {
    const isConfirmed = this.#gate.getConfirmation() === 'confirmed';
    if (isConfirmed || now < this.#startUpRoundAt) {
      return [];
    }
    this.#startUpRoundAt = now + START_UP_ROUND_MILLISECONDS;
    return shuffle(this.#getPeers(), this.#options.randomNumber)
      .slice(0, START_UP_PEERS)
      .map((peer) => this.#createDigest(peer, true));
  }

  #sendRumors(now: Milliseconds): readonly SpreadEffect[] {
    if (now < this.#rumorAt) {
      return [];
    }
    this.#rumorRounds -= 1;
    this.#rumorAt =
      this.#rumorRounds > 0
        ? now + RUMOR_INTERVAL_MILLISECONDS
        : Number.POSITIVE_INFINITY;
    return shuffle(this.#getPeers(), this.#options.randomNumber)
      .slice(0, RUMOR_FAN_OUT)
      .map((peer) => this.#createDigest(peer, false));
  }

  #startAntiEntropy(now: Milliseconds): readonly SpreadEffect[] {
    if (now < this.#antiEntropyAt) {
      return [];
    }
    this.#antiEntropyAt = now + ANTI_ENTROPY_INTERVAL_MILLISECONDS;
    const peer = pickRandom(this.#getPeers(), this.#options.randomNumber);
    return peer === undefined ? [] : [this.#createDigest(peer, false)];
  }
}
