/** Immutable view of all daemons and the instances they serve. */

import type {BackendServerRecord, DaemonRecord} from './MembershipRecords.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  InstanceName,
  ServiceName,
} from 'jackdawcove-shared';

import {MAXIMUM_SLOTS} from 'jackdawcove-shared';

import {isDaemonReachable} from './MembershipRecords.js';

/** An instance of a service and the daemon that announces it. */
export type InstanceView = {
  readonly backendServer: BackendServerRecord;
  readonly daemon: DaemonRecord;
};

type Groups<Item> = ReadonlyMap<string, readonly Item[]>;

function groupBy<Item>(
  items: readonly Item[],
  getGroup: (item: Item) => string,
): Groups<Item> {
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

function collectAnnouncements(
  daemons: readonly DaemonRecord[],
): InstanceView[] {
  return daemons.filter(isDaemonReachable).flatMap((daemon) => {
    const {backendServer} = daemon;
    return backendServer === undefined ? [] : [{backendServer, daemon}];
  });
}

function selectEarliest(
  announcements: readonly InstanceView[],
): InstanceView[] {
  const instances = groupBy(
    announcements,
    ({backendServer}) => backendServer.instance,
  );
  return [...instances.values()].map((competing) =>
    competing.reduce((left, right) =>
      isEarlierAnnouncement(right, left) ? right : left,
    ),
  );
}

function hasPossibleSlots({backendServer}: InstanceView): boolean {
  return backendServer.slots <= MAXIMUM_SLOTS;
}

/**
 * Replaces slots that no address can hold by the fewest of the other instances,
 * because they say nothing about the instance and would draw all requests to it.
 */
function limitSlots(instances: readonly InstanceView[]): InstanceView[] {
  const possible = instances.filter(hasPossibleSlots);
  const slots = possible.reduce(
    (fewest, {backendServer}) => Math.min(fewest, backendServer.slots),
    MAXIMUM_SLOTS,
  );
  return instances.map((instance) =>
    hasPossibleSlots(instance)
      ? instance
      : {...instance, backendServer: {...instance.backendServer, slots}},
  );
}

/**
 * Checks whether the left of two announcements of one instance has precedence: the
 * one that is not draining, then the lower incarnation, then the smaller daemon name.
 * Every daemon comes to the same result.
 *
 * @example
 * isEarlierAnnouncement(local, remote); // false: refuse the local one
 */
export function isEarlierAnnouncement(
  left: InstanceView,
  right: InstanceView,
): boolean {
  const isRightDraining = right.backendServer.state === 'draining';
  if ((left.backendServer.state === 'draining') !== isRightDraining) {
    return isRightDraining;
  }
  if (left.backendServer.incarnation !== right.backendServer.incarnation) {
    return left.backendServer.incarnation < right.backendServer.incarnation;
  }
  return left.daemon.name < right.daemon.name;
}

/** View of the fleet at one point in time. A change creates a new view. */
export class MembershipView {
  readonly #daemons: ReadonlyMap<DaemonName, DaemonRecord>;
  #announcementsByService: Groups<InstanceView> | undefined;
  readonly #instances = new Map<ServiceName, readonly InstanceView[]>();
  readonly #localName: DaemonName;
  readonly #viewNumber: number;
  #daemonsByZone: Groups<DaemonRecord> | undefined;

  constructor(
    localName: DaemonName,
    viewNumber: number,
    daemons: ReadonlyMap<DaemonName, DaemonRecord>,
  ) {
    this.#daemons = daemons;
    this.#localName = localName;
    this.#viewNumber = viewNumber;
  }

  /** Returns every known daemon, including those unreachable or left. */
  getDaemons(): readonly DaemonRecord[] {
    return [...this.#daemons.values()];
  }

  /** Returns the daemon with the given name, or undefined. */
  getDaemon(name: DaemonName): DaemonRecord | undefined {
    return this.#daemons.get(name);
  }

  /** Returns the record of the daemon that owns the view. */
  getLocalDaemon(): DaemonRecord | undefined {
    return this.#daemons.get(this.#localName);
  }

  /** Returns the view number, which grows with each new view of a daemon. */
  getViewNumber(): number {
    return this.#viewNumber;
  }

  /** Returns the instances of a service at reachable daemons, in any state. */
  getInstances(service: ServiceName): readonly InstanceView[] {
    const cached = this.#instances.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const instances = limitSlots(
      selectEarliest(this.#getAnnouncementsByService().get(service) ?? []),
    );
    this.#instances.set(service, instances);
    return instances;
  }

  /** Returns all announcements of an instance by reachable daemons. */
  getAnnouncements(
    service: ServiceName,
    instance: InstanceName,
  ): readonly InstanceView[] {
    return (this.#getAnnouncementsByService().get(service) ?? []).filter(
      ({backendServer}) => backendServer.instance === instance,
    );
  }

  /** Returns the services that have an instance at a reachable daemon. */
  getServices(): readonly ServiceName[] {
    return [...this.#getAnnouncementsByService().keys()];
  }

  /** Returns the daemons of an availability zone in any state except 'left'. */
  getZoneDaemons(zone: AvailabilityZoneName): readonly DaemonRecord[] {
    return this.#getDaemonsByZone().get(zone) ?? [];
  }

  /** Returns the availability zones of the known daemons, sorted. */
  getAvailabilityZones(): readonly AvailabilityZoneName[] {
    return [...this.#getDaemonsByZone().keys()].sort();
  }

  #getAnnouncementsByService(): Groups<InstanceView> {
    this.#announcementsByService ??= groupBy(
      collectAnnouncements(this.getDaemons()),
      ({backendServer}) => backendServer.service,
    );
    return this.#announcementsByService;
  }

  #getDaemonsByZone(): Groups<DaemonRecord> {
    this.#daemonsByZone ??= groupBy(
      this.getDaemons().filter(({state}) => state !== 'left'),
      ({availabilityZone}) => availabilityZone,
    );
    return this.#daemonsByZone;
  }
}
