/** What quotas need to know of the fleet. */

import type {DaemonRecord, MembershipView} from 'jackdawcove-membership';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {isDaemonReachable} from 'jackdawcove-membership';
import {selectAggregator} from 'jackdawcove-quota';

/**
 * Time after which an unreachable daemon counts as ended, if others of its zone are
 * reachable. A zone out of reach may be cut off, and keeps its part.
 */
const ENDED_AFTER_MILLISECONDS: Milliseconds = 60_000;

/** Dependencies of the view. */
export type QuotaViewOptions = {
  readonly availabilityZone: string;
  readonly daemon: DaemonName;
  readonly getView: () => MembershipView;
};

/** Daemons that admit requests, and those that sum them, by the view. */
export class QuotaView {
  #candidates: readonly DaemonName[] = [];
  #known = 1;
  readonly #options: QuotaViewOptions;
  #peers: readonly DaemonName[] = [];
  readonly #unreachableSince = new Map<DaemonName, Milliseconds>();

  constructor(options: QuotaViewOptions) {
    this.#options = options;
  }

  /** Reachable daemons of the own zone. */
  getCandidates(): readonly DaemonName[] {
    return this.#candidates;
  }

  /** Number of daemons that may admit requests, in reach or not. */
  getKnownDaemons(): number {
    return this.#known;
  }

  /** Daemons that sum the other zones. */
  getPeers(): readonly DaemonName[] {
    return this.#peers;
  }

  /** Reads the view. */
  update(now: Milliseconds): void {
    const {availabilityZone, daemon, getView} = this.#options;
    const members = getView()
      .getDaemons()
      .filter(({state}) => state !== 'left');
    const byZone = groupReachable(members);
    this.#candidates = byZone.get(availabilityZone) ?? [];
    this.#peers = [...byZone.values()]
      .map((names) => selectAggregator(names))
      .filter((name) => name !== undefined)
      .filter((name) => name !== daemon);
    this.#known = members.filter((member) =>
      this.#mayAdmit(member, byZone.has(member.availabilityZone), now),
    ).length;
  }

  #mayAdmit(
    member: DaemonRecord,
    isZoneReachable: boolean,
    now: Milliseconds,
  ): boolean {
    if (isDaemonReachable(member)) {
      this.#unreachableSince.delete(member.name);
      return true;
    }
    const since = this.#unreachableSince.get(member.name) ?? now;
    this.#unreachableSince.set(member.name, since);
    return !isZoneReachable || now - since < ENDED_AFTER_MILLISECONDS;
  }
}

function groupReachable(
  members: readonly DaemonRecord[],
): ReadonlyMap<string, readonly DaemonName[]> {
  const byZone = new Map<string, DaemonName[]>();
  for (const member of members) {
    if (isDaemonReachable(member) && !member.isDraining) {
      const names = byZone.get(member.availabilityZone) ?? [];
      names.push(member.name);
      byZone.set(member.availabilityZone, names);
    }
  }
  return byZone;
}
