/** Failure detection: selects probe targets and tracks missing answers. */

import type {DaemonRecord} from './MembershipRecords.js';
import type {DaemonName, Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {pickRandom, ProcessNumbers, shuffle} from 'jackdawcove-shared';

import {
  DIRECT_PROBE_TIMEOUT_MS,
  EXTRA_CROSS_ZONE_PROBES,
  PROBE_TIMEOUT_MS,
  PROBES_PER_CROSS_ZONE_PROBE,
} from './MembershipConstants.js';
import {isDaemonReachable} from './MembershipRecords.js';

/** A probe that has not been acknowledged. */
export type Probe = {
  readonly isCrossZone: boolean;
  readonly number: number;
  readonly startedAt: Milliseconds;
  readonly target: DaemonName;
};

type LocalRecord = Pick<DaemonRecord, 'availabilityZone' | 'name'>;

type PendingProbe = Probe & {isIndirect: boolean};

/** Probes that timed out, and probes that need indirect probing. */
export type OverdueProbes = {
  readonly failed: readonly Probe[];
  readonly unanswered: readonly Probe[];
};

/** Selects the targets of probes and tracks their acknowledgements. */
export class FailureDetector {
  #hasCrossZoneFailure = false;
  readonly #local: LocalRecord;
  /** A late acknowledgement for an earlier process must match none of these. */
  readonly #numbers: ProcessNumbers;
  #remainingTargets: DaemonName[] = [];
  readonly #pending = new Map<number, PendingProbe>();
  #probeCount = 0;
  readonly #randomNumber: RandomNumber;
  #roundMembers = new Set<DaemonName>();

  constructor(
    local: LocalRecord & Pick<DaemonRecord, 'incarnation'>,
    randomNumber: RandomNumber,
  ) {
    this.#local = local;
    this.#numbers = new ProcessNumbers(local.incarnation);
    this.#randomNumber = randomNumber;
  }

  /**
   * Starts the probes of one interval.
   *
   * One target comes from the local zone in shuffled rounds, or from another zone
   * on every n-th probe. After a cross-zone failure, more daemons of other zones
   * are probed. One unreachable daemon is probed again.
   *
   * @example
   * const probes = detector.startProbes(records, now);
   */
  startProbes(records: readonly DaemonRecord[], now: Milliseconds): Probe[] {
    const others = records.filter(({name}) => name !== this.#local.name);
    const targets = [
      this.#chooseMainTarget(others),
      ...this.#chooseExtraTargets(others),
      pickRandom(
        others.filter(({state}) => state === 'unreachable'),
        this.#randomNumber,
      ),
    ];
    return targets
      .filter((target) => target !== undefined)
      .map((target) => this.#startProbe(target, now));
  }

  /**
   * Records an acknowledgement; returns false if its probe is not pending.
   *
   * @example
   * detector.acknowledge(message.number);
   */
  acknowledge(number: number): boolean {
    const probe = this.#pending.get(number);
    if (probe?.isCrossZone === true) {
      this.#hasCrossZoneFailure = false;
    }
    return this.#pending.delete(number);
  }

  /**
   * Returns the overdue probes. Those that failed are no longer pending.
   *
   * @example
   * const {failed, unanswered} = detector.takeOverdue(now);
   */
  takeOverdue(now: Milliseconds): OverdueProbes {
    const failed: Probe[] = [];
    const unanswered: Probe[] = [];
    for (const probe of this.#pending.values()) {
      const age = now - probe.startedAt;
      if (age >= PROBE_TIMEOUT_MS) {
        this.#pending.delete(probe.number);
        this.#hasCrossZoneFailure ||= probe.isCrossZone;
        failed.push(probe);
      } else if (age >= DIRECT_PROBE_TIMEOUT_MS && !probe.isIndirect) {
        probe.isIndirect = true;
        unanswered.push(probe);
      }
    }
    return {failed, unanswered};
  }

  /** Drops all probes, because a paused process missed their answers. */
  reset(): void {
    this.#pending.clear();
  }

  #startProbe(target: DaemonRecord, now: Milliseconds): Probe {
    const probe: PendingProbe = {
      isCrossZone:
        target.availabilityZone !== this.#local.availabilityZone &&
        isDaemonReachable(target),
      isIndirect: false,
      number: this.#numbers.create(),
      startedAt: now,
      target: target.name,
    };
    this.#pending.set(probe.number, probe);
    return probe;
  }

  #chooseMainTarget(others: readonly DaemonRecord[]): DaemonRecord | undefined {
    this.#probeCount += 1;
    const reachable = others.filter(isDaemonReachable);
    const sameZonePeers = reachable.filter((record) =>
      this.#isInLocalZone(record),
    );
    const isCrossZoneTurn =
      this.#probeCount % PROBES_PER_CROSS_ZONE_PROBE === 0;
    if (sameZonePeers.length === 0 || isCrossZoneTurn) {
      return this.#chooseFromOtherZones(reachable) ?? sameZonePeers[0];
    }
    return this.#chooseNextInRound(sameZonePeers);
  }

  #chooseExtraTargets(others: readonly DaemonRecord[]): DaemonRecord[] {
    if (!this.#hasCrossZoneFailure) {
      return [];
    }
    const reachable = others
      .filter(isDaemonReachable)
      .filter((record) => !this.#isInLocalZone(record));
    return shuffle(reachable, this.#randomNumber).slice(
      0,
      EXTRA_CROSS_ZONE_PROBES,
    );
  }

  #chooseFromOtherZones(
    reachable: readonly DaemonRecord[],
  ): DaemonRecord | undefined {
    return pickRandom(
      reachable.filter((record) => !this.#isInLocalZone(record)),
      this.#randomNumber,
    );
  }

  #chooseNextInRound(
    sameZonePeers: readonly DaemonRecord[],
  ): DaemonRecord | undefined {
    const byName = new Map(
      sameZonePeers.map((record) => [record.name, record]),
    );
    this.#insertNewMembers([...byName.keys()]);
    for (;;) {
      if (this.#remainingTargets.length === 0) {
        this.#remainingTargets = shuffle(
          [...byName.keys()],
          this.#randomNumber,
        );
        this.#roundMembers = new Set(this.#remainingTargets);
      }
      const next = byName.get(this.#remainingTargets.pop() ?? '');
      if (next !== undefined) {
        return next;
      }
    }
  }

  /** Inserts daemons that joined during a round at random positions. */
  #insertNewMembers(names: readonly DaemonName[]): void {
    for (const name of names) {
      if (!this.#roundMembers.has(name)) {
        const position =
          this.#randomNumber() * (this.#remainingTargets.length + 1);
        this.#remainingTargets.splice(Math.floor(position), 0, name);
        this.#roundMembers.add(name);
      }
    }
  }

  #isInLocalZone(record: DaemonRecord): boolean {
    return record.availabilityZone === this.#local.availabilityZone;
  }
}
