/**
 * Suspects of crashes and quarantined fingerprints.
 *
 * A record is a set of crashes, each of which can only be cleared: daemons that
 * have seen the same messages in any order, also twice, hold the same records.
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

/** What is to be done with a request of some fingerprint. */
export type Suspicion = 'clear' | 'quarantined' | 'suspect';

/** Effects of the quarantine. */
export type QuarantineEffect = {
  /**
   * Send to the daemons of the service's instances and to a few others; who
   * learns something new passes it on.
   */
  readonly kind: 'spread';
  readonly records: readonly SuspectRecord[];
};

/** End of the process of an instance with the requests that it was running. */
export type ObservedCrash = {
  readonly fingerprints: readonly string[];
  readonly instance: InstanceName;
  readonly instanceIncarnation: Incarnation;
  readonly service: ServiceName;
};

/** Row of the operators' list. */
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

/** Suspects and quarantined fingerprints that a daemon knows of. */
export class CrashQuarantine {
  readonly #crashesToQuarantine: number;
  readonly #records = new Map<string, KnownRecord>();

  constructor(crashesToQuarantine = CRASHES_TO_QUARANTINE) {
    this.#crashesToQuarantine = crashesToQuarantine;
  }

  /**
   * Records a crash. When a known suspect was among the requests, it alone is
   * taken for the cause.
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

  /** Records that a request completed: it is no longer a suspect. */
  recordCompletion(
    fingerprint: string,
    now: Milliseconds,
  ): readonly QuarantineEffect[] {
    return this.getSuspicion(fingerprint, now) === 'suspect'
      ? this.#clear(fingerprint, now)
      : [];
  }

  /** Releases a fingerprint at an operator's wish. */
  release(fingerprint: string, now: Milliseconds): readonly QuarantineEffect[] {
    return this.#clear(fingerprint, now);
  }

  /** Merges records and spreads what was new. */
  merge(
    records: readonly SuspectRecord[],
    now: Milliseconds,
  ): readonly QuarantineEffect[] {
    const changed = records.filter((record) => this.#mergeRecord(record, now));
    return createSpreadEffects(changed);
  }

  /** Forgets crashes whose retention has passed. */
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

  /** Whether any crash is known: without one, no request needs a fingerprint. */
  hasRecords(): boolean {
    return this.#records.size > 0;
  }

  /** Tells what is to be done with a request. */
  getSuspicion(fingerprint: string, now: Milliseconds): Suspicion {
    const crashes = this.#countCrashes(fingerprint, now);
    if (crashes === 0) {
      return 'clear';
    }
    return crashes < this.#crashesToQuarantine ? 'suspect' : 'quarantined';
  }

  /**
   * Picks the one instance that may retry a suspect, the same in every daemon
   * with the same view: not one that it crashed, while there is another.
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

  /** Lists all records for anti-entropy, in messages of bounded size. */
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

  /** Returns the record to add a crash to; undefined when it is not taken up. */
  #getOrCreateRecord(
    record: SuspectRecord,
    crash: Crash,
  ): KnownRecord | undefined {
    // Entries about to expire would pass from daemon to daemon without end.
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
