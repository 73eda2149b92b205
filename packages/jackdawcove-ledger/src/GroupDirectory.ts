/** Lookup of the ledger group of a key. */

import type {IdempotencyKey} from './IdempotencyKey.js';
import type {LedgerAssignments, LedgerGroup} from './LedgerAssignments.js';
import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {getHomeZone, getSlice} from './IdempotencyKey.js';
import {EMPTY_LEDGER_ASSIGNMENTS} from './LedgerAssignments.js';

/** Newest known group of each slice. */
export class GroupDirectory {
  #assignments: LedgerAssignments = EMPTY_LEDGER_ASSIGNMENTS;
  readonly #groups = new Map<string, LedgerGroup>();

  /** Adopts newer assignments and returns the groups that changed. */
  adopt(assignments: LedgerAssignments): readonly LedgerGroup[] {
    if (assignments.version <= this.#assignments.version) {
      return [];
    }
    this.#assignments = assignments;
    return assignments.groups.filter((group) => this.adoptGroup(group));
  }

  /**
   * Adopts a newer group; returns false if the known group is as new or newer.
   */
  adoptGroup(group: LedgerGroup): boolean {
    const name = getGroupName(group.availabilityZone, group.slice);
    const known = this.#groups.get(name);
    if (known !== undefined && known.generation >= group.generation) {
      return false;
    }
    this.#groups.set(name, group);
    return true;
  }

  /**
   * Returns the group of a key, or why there is none: `ledgerUnavailable`
   * without an assignment, `homeZoneUnreachable` for a zone of another fleet.
   *
   * @example
   * directory.findGroup(key).map(({members}) => members.length);
   */
  findGroup(key: IdempotencyKey): Result<LedgerGroup, Failure> {
    const {availabilityZones, slicesPerZone, version} = this.#assignments;
    if (version === 0) {
      return Result.err(createFailure('ledgerUnavailable', 'no assignments'));
    }
    const zone = getHomeZone(key, availabilityZones);
    if (zone === undefined) {
      return Result.err(
        createFailure('homeZoneUnreachable', `zone ${key.zonePrefix ?? ''}`),
      );
    }
    const group = this.#groups.get(
      getGroupName(zone, getSlice(key.identifier, slicesPerZone)),
    );
    return group === undefined
      ? Result.err(createFailure('ledgerUnavailable', `no group in ${zone}`))
      : Result.ok(group);
  }

  /** Returns the newest known group of the same slice. */
  getNewest(group: LedgerGroup): LedgerGroup {
    const name = getGroupName(group.availabilityZone, group.slice);
    return this.#groups.get(name) ?? group;
  }
}

function getGroupName(zone: string, slice: number): string {
  return `${zone}/${String(slice)}`;
}
