/**
 * Crash suspects and quarantined fingerprints.
 *
 * A record is a set of crashes, and the only change to a crash is to be cleared.
 * Daemons that received the same messages hold the same records, regardless of the
 * order and of duplicates.
 */

import type {Crash, SuspectRecord} from './QuarantineMessages.js';
import type {
  Incarnation,
  InstanceName,
  Milliseconds,
  ServiceName,
} from 'jackdawcove-shared';

import {hashToUint32} from 'jackdawcove-shared';

import {
  CRASH_RETENTION_MILLISECONDS,
  CRASHES_TO_QUARANTINE,
  MAXIMUM_CRASHES_PER_RECORD,
  MAXIMUM_RECORDS,
  MAXIMUM_RECORDS_PER_MESSAGE,
  MINIMUM_REMAINING_MILLISECONDS,
} from './QuarantineConstants.js';

/** Suspicion against a fingerprint; it decides how its requests are handled. */
export type Suspicion = 'clear' | 'quarantined' | 'suspect';

/** Effects of the quarantine. */
export type QuarantineEffect = {
  /**
   * Send to the daemons of the service's instances and to a few others; a daemon
   * forwards the records that are new to it.
   */
  readonly kind: 'spread';
  readonly records: readonly SuspectRecord[];
};

/** Crash of an instance, with the fingerprints of the requests that it was running. */
export type ObservedCrash = {
  readonly fingerprints: readonly string[];
  readonly instance: InstanceName;
  readonly instanceIncarnation: Incarnation;
  readonly service: ServiceName;
};

/** Row of the list for operators. */
export type QuarantineListRow = {
  readonly crashes: number;
  readonly fingerprint: string;
  readonly service: ServiceName;
  readonly suspicion: Suspicion;
};

type KnownCrash = {
  readonly expiresAt: Milliseconds;
  readonly instance: InstanceName;
  readonly instanceIncarnation: Incarnation;
  isCleared: boolean;
};

type KnownRecord = {
  readonly crashes: Map<string, KnownCrash>;
  readonly fingerprint: string;
  readonly service: ServiceName;
};

/** Crash suspects and quarantined fingerprints that a daemon knows. */
export class CrashQuarantine {
  readonly #crashesToQuarantine: number;
  readonly #records = new Map<string, KnownRecord>();

  constructor(crashesToQuarantine = CRASHES_TO_QUARANTINE) {
    this.#crashesToQuarantine = crashesToQuarantine;
  }

  /**
   * Records a crash. When known suspects were among the requests, only they are
   * considered the cause.
   */
  recordCrash(
    observed: ObservedCrash,
    now: Milliseconds,
  ): readonly QuarantineEffect[] {
    const knownSuspects = observed.fingerprints.filter(
      (fingerprint) => this.getSuspicion(fingerprint, now) !== 'clear',
    );
    const suspects =
      knownSuspects.length > 0 ? knownSuspects : observed.fingerprints;
    const crash: Crash = {
      instance: observed.instance,
      instanceIncarnation: observed.instanceIncarnation,
      isCleared: false,
      remainingMilliseconds: CRASH_RETENTION_MILLISECONDS,
    };
    const records = [...new Set(suspects)].map((fingerprint) => ({
      crashes: [crash],
      fingerprint,
      service: observed.service,
    }));
    return this.merge(records, now);
  }

  /** Records that a request completed; its fingerprint is no longer a suspect. */
  recordCompletion(
    fingerprint: string,
    now: Milliseconds,
  ): readonly QuarantineEffect[] {
    return this.getSuspicion(fingerprint, now) === 'suspect'
      ? this.#clear(fingerprint, now)
      : [];
  }

  /** Releases a fingerprint on behalf of an operator. */
  release(fingerprint: string, now: Milliseconds): readonly QuarantineEffect[] {
    return this.#clear(fingerprint, now);
  }

  /** Merges received records and spreads the changed ones. */
  merge(
    records: readonly SuspectRecord[],
    now: Milliseconds,
  ): readonly QuarantineEffect[] {
    const changed = records.filter((record) => this.#mergeRecord(record, now));
    return createSpreadEffects(changed);
  }

  /** Removes expired crashes. */
  tick(now: Milliseconds): void {
    for (const [fingerprint, record] of this.#records) {
      for (const [key, crash] of record.crashes) {
        if (now >= crash.expiresAt) {
          record.crashes.delete(key);
        }
      }
      if (record.crashes.size === 0) {
        this.#records.delete(fingerprint);
      }
    }
  }

  /** Returns whether any crash is known; without one, no request needs a fingerprint. */
  hasRecords(): boolean {
    return this.#records.size > 0;
  }

  /** Returns the current suspicion against a fingerprint. */
  getSuspicion(fingerprint: string, now: Milliseconds): Suspicion {
    const crashes = this.#countCrashes(fingerprint, now);
    if (crashes === 0) {
      return 'clear';
    }
    return crashes < this.#crashesToQuarantine ? 'suspect' : 'quarantined';
  }

  /**
   * Picks the only instance that may retry a suspect; daemons with the same view pick
   * the same one. Instances that the suspect crashed are avoided if there are others.
   */
  pickRetryInstance(
    fingerprint: string,
    instances: readonly InstanceName[],
  ): InstanceName | undefined {
    const crashes = [
      ...(this.#records.get(fingerprint)?.crashes.values() ?? []),
    ];
    const crashedInstances = new Set(
      crashes.filter(({isCleared}) => !isCleared).map(({instance}) => instance),
    );
    const others = instances.filter(
      (instance) => !crashedInstances.has(instance),
    );
    const eligible = others.length > 0 ? others : instances;
    const weighted = eligible.map((instance) => ({
      instance,
      weight: hashToUint32(`${fingerprint}/${instance}`),
    }));
    weighted.sort((left, right) => right.weight - left.weight);
    return weighted[0]?.instance;
  }

  /** Returns all records for anti-entropy, split into messages of bounded size. */
  createSnapshot(now: Milliseconds): readonly (readonly SuspectRecord[])[] {
    const records = [...this.#records.values()].map((record) =>
      toSuspectRecord(record, now),
    );
    const count = Math.ceil(records.length / MAXIMUM_RECORDS_PER_MESSAGE);
    return Array.from({length: count}, (_, index) =>
      records.slice(
        index * MAXIMUM_RECORDS_PER_MESSAGE,
        (index + 1) * MAXIMUM_RECORDS_PER_MESSAGE,
      ),
    );
  }

  /** Lists suspects and quarantined fingerprints for operators. */
  list(now: Milliseconds): readonly QuarantineListRow[] {
    return [...this.#records.values()]
      .map(({fingerprint, service}) => ({
        crashes: this.#countCrashes(fingerprint, now),
        fingerprint,
        service,
        suspicion: this.getSuspicion(fingerprint, now),
      }))
      .filter(({crashes}) => crashes > 0);
  }

  #clear(fingerprint: string, now: Milliseconds): readonly QuarantineEffect[] {
    const record = this.#records.get(fingerprint);
    if (record === undefined) {
      return [];
    }
    for (const crash of record.crashes.values()) {
      crash.isCleared = true;
    }
    return createSpreadEffects([toSuspectRecord(record, now)]);
  }

  #mergeRecord(record: SuspectRecord, now: Milliseconds): boolean {
    let hasChanged = false;
    for (const crash of record.crashes) {
      hasChanged = this.#mergeCrash(record, crash, now) || hasChanged;
    }
    return hasChanged;
  }

  #mergeCrash(record: SuspectRecord, crash: Crash, now: Milliseconds): boolean {
    const key = `${crash.instance}/${String(crash.instanceIncarnation)}`;
    const known = this.#records.get(record.fingerprint)?.crashes.get(key);
    if (known !== undefined) {
      const isNewlyCleared = crash.isCleared && !known.isCleared;
      known.isCleared ||= crash.isCleared;
      return isNewlyCleared;
    }
    const crashes = this.#getOrCreateRecord(record, crash)?.crashes;
    crashes?.set(key, {
      expiresAt: now + crash.remainingMilliseconds,
      instance: crash.instance,
      instanceIncarnation: crash.instanceIncarnation,
      isCleared: crash.isCleared,
    });
    return crashes !== undefined;
  }

  /** Returns the record to add a crash to; undefined when the crash is ignored. */
  #getOrCreateRecord(
    record: SuspectRecord,
    crash: Crash,
  ): KnownRecord | undefined {
    // Crashes about to expire would be forwarded between daemons endlessly.
    if (crash.remainingMilliseconds < MINIMUM_REMAINING_MILLISECONDS) {
      return undefined;
    }
    const known = this.#records.get(record.fingerprint);
    if (known !== undefined) {
      const isFull = known.crashes.size >= MAXIMUM_CRASHES_PER_RECORD;
      return isFull ? undefined : known;
    }
    if (this.#records.size >= MAXIMUM_RECORDS) {
      return undefined;
    }
    const {fingerprint, service} = record;
    const created = {crashes: new Map(), fingerprint, service};
    this.#records.set(fingerprint, created);
    return created;
  }

  #countCrashes(fingerprint: string, now: Milliseconds): number {
    const record = this.#records.get(fingerprint);
    if (record === undefined) {
      return 0;
    }
    return [...record.crashes.values()].filter(
      ({expiresAt, isCleared}) => !isCleared && now < expiresAt,
    ).length;
  }
}

function createSpreadEffects(
  records: readonly SuspectRecord[],
): readonly QuarantineEffect[] {
  return records.length === 0 ? [] : [{kind: 'spread', records}];
}

function toSuspectRecord(
  record: KnownRecord,
  now: Milliseconds,
): SuspectRecord {
  const {fingerprint, service} = record;
  const crashes = [...record.crashes.values()].map((crash) => ({
    instance: crash.instance,
    instanceIncarnation: crash.instanceIncarnation,
    isCleared: crash.isCleared,
    remainingMilliseconds: Math.max(0, crash.expiresAt - now),
  }));
  return {crashes, fingerprint, service};
}
