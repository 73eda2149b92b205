/** Immutable view of all daemons and of the instances behind them. */

import type {BackendServerRecord, DaemonRecord} from './MembershipRecords.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  ServiceName,
} from 'jackdawcove-shared';

import {isDaemonInReach} from './MembershipRecords.js';

/** An instance of a service and the daemon beside it. */
export type InstanceView = {
  readonly backendServer: BackendServerRecord;
  readonly daemon: DaemonRecord;
};

type Lists<Item> = ReadonlyMap<string, readonly Item[]>;

function groupBy<Item>(
  items: readonly Item[],
  getGroup: (item: Item) => string,
): Lists<Item> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(getGroup(item));
    if (group === undefined) {
      groups.set(getGroup(item), [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}

function findInstances(daemons: readonly DaemonRecord[]): InstanceView[] {
  const holders = new Map<string, InstanceView>();
  for (const daemon of daemons) {
    const {backendServer} = daemon;
    if (backendServer === undefined || !isDaemonInReach(daemon)) {
      continue;
    }
    const instance = `${backendServer.service}/${backendServer.instance}`;
    const holder = holders.get(instance);
    if (
      holder === undefined ||
      isEarlierAnnouncement({backendServer, daemon}, holder)
    ) {
      holders.set(instance, {backendServer, daemon});
    }
  }
  return [...holders.values()];
}

/**
 * Decides which of two announcements of one instance is kept: the earlier
 * incarnation, then the smaller daemon name. Every daemon decides the same.
 *
 * @example
 * isEarlierAnnouncement(mine, theirs); // false: refuse mine
 */
export function isEarlierAnnouncement(
  left: InstanceView,
  right: InstanceView,
): boolean {
  if (left.backendServer.incarnation !== right.backendServer.incarnation) {
    return left.backendServer.incarnation < right.backendServer.incarnation;
  }
  return left.daemon.name < right.daemon.name;
}

/** View of the fleet at one moment; a later change makes a new view. */
export class MembershipView {
  readonly #daemons: ReadonlyMap<DaemonName, DaemonRecord>;
  #instances: Lists<InstanceView> | undefined;
  readonly #localName: DaemonName;
  readonly #number: number;
  #zones: Lists<DaemonRecord> | undefined;

  constructor(
    localName: DaemonName,
    number: number,
    daemons: ReadonlyMap<DaemonName, DaemonRecord>,
  ) {
    this.#daemons = daemons;
    this.#localName = localName;
    this.#number = number;
  }

  /** Returns every known daemon, those out of reach and those that left included. */
  getDaemons(): readonly DaemonRecord[] {
    return [...this.#daemons.values()];
  }

  /** Returns the daemon of that name, or undefined. */
  getDaemon(name: DaemonName): DaemonRecord | undefined {
    return this.#daemons.get(name);
  }

  /** Returns the record of the daemon that owns the view. */
  getLocalDaemon(): DaemonRecord | undefined {
    return this.#daemons.get(this.#localName);
  }

  /** Returns a number that grows with each view of one daemon. */
  getNumber(): number {
    return this.#number;
  }

  /** Returns the instances of a service whose daemons are in reach, in any state. */
  getInstances(service: ServiceName): readonly InstanceView[] {
    return this.#getInstanceLists().get(service) ?? [];
  }

  /** Returns the services that have an instance in reach. */
  getServices(): readonly ServiceName[] {
    return [...this.#getInstanceLists().keys()];
  }

  /** Returns the daemons of an availability zone, in any state but 'left'. */
  getZoneDaemons(zone: AvailabilityZoneName): readonly DaemonRecord[] {
    return this.#getZoneLists().get(zone) ?? [];
  }

  /** Returns the availability zones of the known daemons, sorted. */
  getAvailabilityZones(): readonly AvailabilityZoneName[] {
    return [...this.#getZoneLists().keys()].sort();
  }

  #getInstanceLists(): Lists<InstanceView> {
    this.#instances ??= groupBy(
      findInstances(this.getDaemons()),
      ({backendServer}) => backendServer.service,
    );
    return this.#instances;
  }

  #getZoneLists(): Lists<DaemonRecord> {
    this.#zones ??= groupBy(
      this.getDaemons().filter(({state}) => state !== 'left'),
      ({availabilityZone}) => availabilityZone,
    );
    return this.#zones;
  }
}
