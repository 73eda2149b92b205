/** Immutable view of all daemons and of the instances behind them. */

import type {BackendServerRecord, DaemonRecord} from './MembershipRecords.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  InstanceName,
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

function findAnnouncements(daemons: readonly DaemonRecord[]): InstanceView[] {
  return daemons.filter(isDaemonInReach).flatMap((daemon) => {
    const {backendServer} = daemon;
    return backendServer === undefined ? [] : [{backendServer, daemon}];
  });
}

function keepEarliest(announcements: readonly InstanceView[]): InstanceView[] {
  const instances = groupBy(
    announcements,
    ({backendServer}) => backendServer.instance,
  );
  return [...instances.values()].map((rivals) =>
    rivals.reduce((left, right) =>
      isEarlierAnnouncement(right, left) ? right : left,
    ),
  );
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
  #announcements: Lists<InstanceView> | undefined;
  readonly #instances = new Map<ServiceName, readonly InstanceView[]>();
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
    const known = this.#instances.get(service);
    if (known !== undefined) {
      return known;
    }
    const instances = keepEarliest(
      this.#getAnnouncementLists().get(service) ?? [],
    );
    this.#instances.set(service, instances);
    return instances;
  }

  /** Returns every announcement of an instance by daemons in reach. */
  getAnnouncements(
    service: ServiceName,
    instance: InstanceName,
  ): readonly InstanceView[] {
    return (this.#getAnnouncementLists().get(service) ?? []).filter(
      ({backendServer}) => backendServer.instance === instance,
    );
  }

  /** Returns the services that have an instance in reach. */
  getServices(): readonly ServiceName[] {
    return [...this.#getAnnouncementLists().keys()];
  }

  /** Returns the daemons of an availability zone, in any state but 'left'. */
  getZoneDaemons(zone: AvailabilityZoneName): readonly DaemonRecord[] {
    return this.#getZoneLists().get(zone) ?? [];
  }

  /** Returns the availability zones of the known daemons, sorted. */
  getAvailabilityZones(): readonly AvailabilityZoneName[] {
    return [...this.#getZoneLists().keys()].sort();
  }

  #getAnnouncementLists(): Lists<InstanceView> {
    this.#announcements ??= groupBy(
      findAnnouncements(this.getDaemons()),
      ({backendServer}) => backendServer.service,
    );
    return this.#announcements;
  }

  #getZoneLists(): Lists<DaemonRecord> {
    this.#zones ??= groupBy(
      this.getDaemons().filter(({state}) => state !== 'left'),
      ({availabilityZone}) => availabilityZone,
    );
    return this.#zones;
  }
}
