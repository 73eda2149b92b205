/** Planning of the ledger groups that store the claims of each slice. */

import type {
  LedgerAssignments,
  LedgerGroup,
  LedgerGroupMember,
} from './LedgerAssignments.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  Incarnation,
  Milliseconds,
} from 'jackdawcove-shared';

import {hashToUint32} from 'jackdawcove-shared';

import {LEDGER_GROUP_SIZE} from './LedgerConstants.js';

/** State of a daemon that the plan considers as a member. */
export type LedgerCandidate = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly hasLeft: boolean;
  readonly incarnation: Incarnation;
  readonly isDraining: boolean;
  readonly isReachable: boolean;
  readonly ledgerGeneration: number;
  readonly name: DaemonName;
};

/** Input of planLedgerAssignments. */
export type LedgerPlanInput = {
  readonly availabilityZones: readonly AvailabilityZoneName[];
  readonly candidates: readonly LedgerCandidate[];
  /** Wall-clock time. */
  readonly now: Milliseconds;
  readonly previous: LedgerAssignments;
  readonly slicesPerZone: number;
};

type GroupPlan = Pick<
  LedgerGroup,
  'continuing' | 'epochStartedAtMilliseconds' | 'members' | 'seeds'
>;

/** Members of a group, classified by their state. */
type ClassifiedMembers = {
  /** Reachable under the incarnation recorded in the group. */
  readonly alive: readonly LedgerGroupMember[];
  /** Unreachable, but possibly still running. */
  readonly unreachable: readonly LedgerGroupMember[];
  /** Alive and known to hold all records. */
  readonly upToDate: readonly LedgerGroupMember[];
};

function getMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}

function isSameMember(
  left: LedgerGroupMember,
  right: LedgerGroupMember,
): boolean {
  return left.name === right.name && left.incarnation === right.incarnation;
}

function includesMember(
  members: readonly LedgerGroupMember[],
  member: LedgerGroupMember,
): boolean {
  return members.some((other) => isSameMember(other, member));
}

/** Planner of the groups of one zone. */
class ZonePlanner {
  readonly #byName: ReadonlyMap<DaemonName, LedgerCandidate>;
  readonly #eligible: readonly LedgerCandidate[];
  /** Number of groups of the zone that each daemon is a member of. */
  readonly #loads = new Map<DaemonName, number>();
  readonly #now: Milliseconds;
  readonly #zone: AvailabilityZoneName;

  constructor(
    zone: AvailabilityZoneName,
    candidates: readonly LedgerCandidate[],
    groups: readonly LedgerGroup[],
    now: Milliseconds,
  ) {
    this.#byName = new Map(candidates.map((item) => [item.name, item]));
    this.#eligible = candidates.filter(
      ({availabilityZone, hasLeft, isDraining, isReachable}) =>
        availabilityZone === zone && isReachable && !hasLeft && !isDraining,
    );
    this.#now = now;
    this.#zone = zone;
    for (const group of groups) {
      if (group.availabilityZone === zone) {
        this.#addLoad(group.members);
      }
    }
  }

  /**
   * Returns the first group of a slice, or undefined if no daemon is eligible.
   */
  planFirst(slice: number): GroupPlan | undefined {
    const members = this.#fill([], LEDGER_GROUP_SIZE, slice);
    return members.length === 0 ? undefined : this.#startEpoch(members, []);
  }

  /**
   * Returns the next group of a slice, or undefined if the group does not
   * change.
   */
  planNext(group: LedgerGroup): GroupPlan | undefined {
    const classified = this.#classifyMembers(group);
    const majority = getMajority(group.members.length);
    if (classified.upToDate.length >= majority) {
      return this.#planChange(group, classified);
    }
    const isFenced = classified.unreachable.length < majority;
    return isFenced && !this.#canFinishReading(group, classified)
      ? this.#planEpoch(group, classified)
      : undefined;
  }

  #planChange(
    group: LedgerGroup,
    classified: ClassifiedMembers,
  ): GroupPlan | undefined {
    const {epochStartedAtMilliseconds, members, slice} = group;
    const kept = classified.alive.filter((member) => this.#isEligible(member));
    const size = Math.max(LEDGER_GROUP_SIZE, members.length);
    const isFull = members.length >= Math.min(size, this.#eligible.length);
    if (isFull && kept.length === members.length) {
      return undefined;
    }
    const filled = this.#fill(kept, size, slice);
    // Keep members that cannot be replaced, so that a group never shrinks.
    const retained = members
      .filter(({name}) => !filled.some((member) => member.name === name))
      .slice(0, Math.max(0, members.length - filled.length));
    const next = [...filled, ...retained];
    const isUnchanged =
      next.length === members.length &&
      next.every((member) => includesMember(members, member));
    if (isUnchanged) {
      return undefined;
    }
    const continuing = classified.upToDate
      .filter((member) => includesMember(next, member))
      .map(({name}) => name);
    return {
      continuing,
      epochStartedAtMilliseconds,
      members: next,
      seeds: [...classified.upToDate],
    };
  }

  #planEpoch(
    group: LedgerGroup,
    {alive}: ClassifiedMembers,
  ): GroupPlan | undefined {
    const kept = alive.filter((member) => this.#isEligible(member));
    const members = this.#fill(kept, LEDGER_GROUP_SIZE, group.slice);
    return members.length === 0 ? undefined : this.#startEpoch(members, alive);
  }

  #startEpoch(
    members: readonly LedgerGroupMember[],
    seeds: readonly LedgerGroupMember[],
  ): GroupPlan {
    const holders = seeds.length === 0 ? members : seeds;
    const areRecordsComplete = seeds.length <= 1;
    return {
      continuing: areRecordsComplete ? holders.map(({name}) => name) : [],
      epochStartedAtMilliseconds: this.#now,
      members: [...members],
      seeds: [...seeds],
    };
  }

  /**
   * Returns whether enough members for a majority can still finish reading the
   * seeds.
   */
  #canFinishReading(group: LedgerGroup, {alive}: ClassifiedMembers): boolean {
    return (
      alive.length >= getMajority(group.members.length) &&
      group.seeds.every((seed) => this.#isRunning(seed))
    );
  }

  #classifyMembers(group: LedgerGroup): ClassifiedMembers {
    const alive = group.members.filter((member) => this.#isRunning(member));
    const unreachable = group.members.filter(
      (member) => !this.#isRunning(member) && !this.#isProvenLost(member),
    );
    const upToDate = alive.filter(
      ({name}) =>
        group.continuing.includes(name) ||
        (this.#byName.get(name)?.ledgerGeneration ?? 0) >= group.generation,
    );
    return {alive, unreachable, upToDate};
  }

  #isRunning({incarnation, name}: LedgerGroupMember): boolean {
    const candidate = this.#byName.get(name);
    return (
      candidate?.incarnation === incarnation &&
      candidate.isReachable &&
      !candidate.hasLeft
    );
  }

  #isProvenLost({incarnation, name}: LedgerGroupMember): boolean {
    const candidate = this.#byName.get(name);
    return (
      candidate !== undefined &&
      (candidate.hasLeft || candidate.incarnation > incarnation)
    );
  }

  #isEligible(member: LedgerGroupMember): boolean {
    return includesMember(this.#eligible, member);
  }

  /**
   * Fills a group with the eligible daemons that are members of the fewest
   * groups.
   */
  #fill(
    kept: readonly LedgerGroupMember[],
    size: number,
    slice: number,
  ): LedgerGroupMember[] {
    const added = this.#eligible
      .filter(({name}) => !kept.some((member) => member.name === name))
      .map(({incarnation, name}) => ({
        load: this.#loads.get(name) ?? 0,
        member: {incarnation, name},
        rank: hashToUint32(`${this.#zone}/${String(slice)}/${name}`),
      }))
      .sort((left, right) => left.load - right.load || left.rank - right.rank)
      .slice(0, Math.max(0, size - kept.length))
      .map(({member}) => member);
    this.#addLoad(added);
    return [...kept, ...added];
  }

  #addLoad(members: readonly LedgerGroupMember[]): void {
    for (const {name} of members) {
      this.#loads.set(name, (this.#loads.get(name) ?? 0) + 1);
    }
  }
}

/**
 * Plans the next assignments. Replaces members that are unreachable, lost or
 * draining while a majority of the group holds all records. Starts a new epoch
 * once it is certain that no majority of the old group can still answer.
 * Returns `previous` if nothing changes. The leader of the voters proposes the
 * result.
 *
 * @example
 * const next = planLedgerAssignments(input);
 * if (next.version > input.previous.version) propose(next);
 */
export function planLedgerAssignments(
  input: LedgerPlanInput,
): LedgerAssignments {
  const {candidates, now, previous} = input;
  const isFirst = previous.version === 0;
  const zones = isFirst ? input.availabilityZones : previous.availabilityZones;
  const slices = isFirst ? input.slicesPerZone : previous.slicesPerZone;
  const generation = previous.version + 1;
  const previousGroups = new Map(
    previous.groups.map((group) => [getGroupName(group), group]),
  );
  let hasChange = false;
  const groups = zones.flatMap((zone) => {
    const planner = new ZonePlanner(zone, candidates, previous.groups, now);
    return Array.from({length: slices}, (_, slice) => {
      const group = previousGroups.get(
        getGroupName({availabilityZone: zone, slice}),
      );
      const plan =
        group === undefined
          ? planner.planFirst(slice)
          : planner.planNext(group);
      hasChange ||= plan !== undefined;
      return plan === undefined
        ? group
        : {...plan, availabilityZone: zone, generation, slice};
    }).filter((group) => group !== undefined);
  });
  return hasChange
    ? {
        availabilityZones: [...zones],
        groups,
        slicesPerZone: slices,
        version: generation,
      }
    : previous;
}

function getGroupName({
  availabilityZone,
  slice,
}: Pick<LedgerGroup, 'availabilityZone' | 'slice'>): string {
  return `${availabilityZone}/${String(slice)}`;
}
