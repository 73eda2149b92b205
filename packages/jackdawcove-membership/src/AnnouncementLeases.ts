/** Lease of the backend server that announces itself to the local daemon. */

import type {
  Announcement,
  AnnouncementLease,
  Withdrawal,
} from './Announcement.js';
import type {BackendServerRecord} from './MembershipRecords.js';
import type {InstanceView, MembershipView} from './MembershipView.js';
import type {
  Address,
  Failure,
  Incarnation,
  Milliseconds,
} from 'jackdawcove-shared';
import type {Unit} from 'true-myth/unit';

import {createFailure, formatAddress} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {LeaseContender} from './LeaseContender.js';
import {
  ANNOUNCEMENT_INTERVAL_MS,
  ANNOUNCEMENT_LEASE_MS,
  CONTENDER_INTERVALS,
  MAXIMUM_SUPERSEDED_TOKENS,
  SILENT_HOLDER_INTERVALS,
} from './MembershipConstants.js';

/** Returns a greater number on each call, also after a restart of the daemon. */
export type CreateIncarnation = () => Incarnation;

/** Announcement that holds the lease. */
export type LeaseHolder = {
  readonly announcement: Announcement;
  readonly expiresAt: Milliseconds;
  readonly incarnation: Incarnation;
  readonly renewedAt: Milliseconds;
};

type DepartedBackendServer = {
  readonly expiresAt: Milliseconds;
  readonly record: BackendServerRecord;
};

function createRecord({
  announcement,
  incarnation,
}: LeaseHolder): BackendServerRecord {
  const {connections, instance, service, slots, state} = announcement;
  return {connections, incarnation, instance, service, slots, state};
}

function isSameInstance(
  left: Pick<Announcement, 'instance' | 'service'>,
  right: Pick<Announcement, 'instance' | 'service'>,
): boolean {
  return left.instance === right.instance && left.service === right.service;
}

/** Checks whether an announcement is older than the current one. */
function isOutdated(
  announcement: Announcement,
  current: Announcement,
): boolean {
  if (announcement.processToken === current.processToken) {
    return (announcement.sequence ?? 0) < (current.sequence ?? 0);
  }
  return (announcement.startedAt ?? 0) < (current.startedAt ?? 0);
}

function isSameAddress(left: Address, right: Address): boolean {
  return formatAddress(left) === formatAddress(right);
}

/**
 * Lease of the local backend server. One process of one instance holds it.
 *
 * @example
 * const leases = new AnnouncementLeases(createIncarnation);
 * leases.announce(announcement, membership.getView(), now);
 */
export class AnnouncementLeases {
  readonly #contender = new LeaseContender();
  readonly #createIncarnation: CreateIncarnation;
  /** Process that said that it leaves, other than by an announcement. */
  #drainingIncarnation: Incarnation | undefined;
  /** Published after the lease, so that a later process of this daemon learns it. */
  #departed: DepartedBackendServer | undefined;
  #holder: LeaseHolder | undefined;
  readonly #intervalMilliseconds: Milliseconds;
  readonly #leaseMilliseconds: Milliseconds;
  #supersededTokens: readonly string[] = [];
  #withdrawnAt: Milliseconds = 0;

  constructor(
    createIncarnation: CreateIncarnation,
    leaseMilliseconds = ANNOUNCEMENT_LEASE_MS,
    intervalMilliseconds = ANNOUNCEMENT_INTERVAL_MS,
  ) {
    this.#createIncarnation = createIncarnation;
    this.#intervalMilliseconds = intervalMilliseconds;
    this.#leaseMilliseconds = leaseMilliseconds;
  }

  /**
   * Grants or renews the lease, or refuses with `announcementConflict` while
   * another process holds it, here or at another daemon.
   *
   * A process with the address of the holder replaces it, because two processes
   * cannot listen on one address. The replaced process and outdated announcements
   * are refused from then on. If the holder turns out to be silent while a refused
   * process keeps announcing itself, that process gets the lease back.
   *
   * @example
   * leases.announce(announcement, view, now).isOk;
   */
  announce(
    announcement: Announcement,
    view: MembershipView,
    now: Milliseconds,
  ): Result<AnnouncementLease, Failure> {
    this.expire(now);
    const localConflict = this.#findLocalConflict(announcement);
    const isDisplacing =
      localConflict !== undefined && this.#isDisplacing(announcement, now);
    const conflict =
      (isDisplacing ? undefined : localConflict) ??
      this.#findRemoteConflict(announcement, view);
    if (conflict !== undefined) {
      return Result.err(createFailure('announcementConflict', conflict));
    }
    if (isDisplacing) {
      this.#releaseTo(announcement.processToken);
    }
    return Result.ok(this.#grant(announcement, now));
  }

  /**
   * Marks the process as draining, also if it announces itself as ready later.
   *
   * @example
   * leases.drain(lease.incarnation);
   */
  drain(incarnation: Incarnation): void {
    this.#drainingIncarnation = incarnation;
    this.#applyDrain();
  }

  /**
   * Applies what an earlier process of this daemon published: a process that was
   * draining, or has withdrawn, is not published as ready again.
   *
   * @example
   * leases.adopt({...record, state: 'draining'}, now);
   */
  adopt(record: BackendServerRecord, now: Milliseconds): void {
    this.expire(now);
    if (
      this.#holder !== undefined &&
      this.#holder.incarnation !== record.incarnation
    ) {
      return;
    }
    this.#depart(record, now);
    this.#applyDrain();
  }

  /**
   * Ends the lease on request of its holder. Fails with `announcementConflict`
   * if another process holds it.
   *
   * @example
   * leases.withdraw({instance, processToken, service}, now);
   */
  withdraw(withdrawal: Withdrawal, now: Milliseconds): Result<Unit, Failure> {
    this.expire(now);
    const holder = this.#holder;
    if (holder === undefined) {
      return Result.ok();
    }
    const {instance, processToken, service} = holder.announcement;
    const isHolder =
      withdrawal.instance === instance &&
      (withdrawal.processToken ?? processToken) === processToken &&
      (withdrawal.service ?? service) === service;
    if (!isHolder) {
      return Result.err(createFailure('announcementConflict'));
    }
    if (holder.announcement.sequence !== undefined) {
      // A delayed announcement of the process must not restore the lease.
      this.#supersede(processToken);
    }
    this.#depart(createRecord(holder), now);
    this.#holder = undefined;
    this.#withdrawnAt = now;
    this.#contender.clear();
    return Result.ok();
  }

  /** Ends the lease if it expired, also while this process was paused. */
  expire(now: Milliseconds): void {
    if (this.#holder !== undefined && now >= this.#holder.expiresAt) {
      this.#holder = undefined;
      this.#supersededTokens = [];
    }
    if (this.#departed !== undefined && now >= this.#departed.expiresAt) {
      this.#departed = undefined;
    }
  }

  /**
   * Releases the lease if another daemon announced the instance earlier.
   *
   * @example
   * leases.resolveConflict(view); // on each new view
   */
  resolveConflict(view: MembershipView): void {
    const holder = this.#holder;
    if (holder === undefined) {
      return;
    }
    const remoteHolder = this.#findRemoteHolder(holder.announcement, view);
    if (
      remoteHolder !== undefined &&
      this.#isRemoteEarlier(remoteHolder, holder, view)
    ) {
      this.#holder = undefined;
    }
  }

  /** Returns the current holder of the lease, or undefined. */
  getLeaseHolder(now: Milliseconds): LeaseHolder | undefined {
    return this.#holder !== undefined && now < this.#holder.expiresAt
      ? this.#holder
      : undefined;
  }

  /**
   * Returns the record to gossip for the backend server, or undefined. One that has
   * withdrawn remains draining for the time of a lease.
   */
  getRecord(): BackendServerRecord | undefined {
    return this.#holder === undefined
      ? this.#departed?.record
      : createRecord(this.#holder);
  }

  #depart(record: BackendServerRecord, now: Milliseconds): void {
    this.#departed = {
      expiresAt: now + this.#leaseMilliseconds,
      record: {...record, state: 'draining'},
    };
    this.#drainingIncarnation = record.incarnation;
  }

  #grant(announcement: Announcement, now: Milliseconds): AnnouncementLease {
    const holder = this.#holder;
    const isRenewal =
      holder?.announcement.processToken === announcement.processToken &&
      isSameInstance(holder.announcement, announcement);
    const incarnation = isRenewal
      ? holder.incarnation
      : this.#replaceHolder(holder, announcement);
    const expiresAt = now + this.#leaseMilliseconds;
    this.#holder = {announcement, expiresAt, incarnation, renewedAt: now};
    this.#contender.clear();
    this.#applyDrain();
    return this.#createLease(incarnation);
  }

  /**
   * Checks whether a refused process has proved that it is the one that runs. After
   * a withdrawal this takes as long as a lease, because delayed announcements follow.
   */
  #isDisplacing(announcement: Announcement, now: Milliseconds): boolean {
    const contendedMilliseconds = this.#contender.record(announcement, now);
    const isSilent =
      this.#holder === undefined
        ? now - this.#withdrawnAt >= this.#leaseMilliseconds
        : now - this.#holder.renewedAt >=
          SILENT_HOLDER_INTERVALS * this.#intervalMilliseconds;
    return (
      isSilent &&
      contendedMilliseconds >= CONTENDER_INTERVALS * this.#intervalMilliseconds
    );
  }

  /** Keeps no token of the displaced process, which may return if it runs too. */
  #releaseTo(processToken: string): void {
    if (this.#holder?.announcement.processToken !== processToken) {
      this.#holder = undefined;
    }
    this.#supersededTokens = this.#supersededTokens.filter(
      (token) => token !== processToken,
    );
  }

  #createLease(incarnation: Incarnation): AnnouncementLease {
    return {incarnation, leaseMilliseconds: this.#leaseMilliseconds};
  }

  #applyDrain(): void {
    const holder = this.#holder;
    if (
      holder !== undefined &&
      holder.incarnation === this.#drainingIncarnation
    ) {
      const announcement: Announcement = {
        ...holder.announcement,
        state: 'draining',
      };
      this.#holder = {...holder, announcement};
    }
  }

  /** The start time identifies the process also after a restart of this daemon. */
  #replaceHolder(
    previous: LeaseHolder | undefined,
    {processToken, startedAt}: Announcement,
  ): Incarnation {
    const previousToken = previous?.announcement.processToken;
    // Processes of two instances have the same token if they started together.
    if (previousToken !== undefined && previousToken !== processToken) {
      this.#supersede(previousToken);
    }
    return startedAt ?? this.#createIncarnation();
  }

  #supersede(processToken: string): void {
    this.#supersededTokens = [processToken, ...this.#supersededTokens].slice(
      0,
      MAXIMUM_SUPERSEDED_TOKENS,
    );
  }

  #findLocalConflict(announcement: Announcement): string | undefined {
    const current = this.#holder?.announcement;
    if (current !== undefined && isOutdated(announcement, current)) {
      return `outdated by ${current.service}/${current.instance}`;
    }
    if (this.#supersededTokens.includes(announcement.processToken)) {
      return 'another process took over the address';
    }
    if (
      current === undefined ||
      current.processToken === announcement.processToken
    ) {
      return undefined;
    }
    return isSameAddress(current.address, announcement.address)
      ? undefined
      : `held by ${current.service}/${current.instance} at ${formatAddress(current.address)}`;
  }

  #findRemoteConflict(
    announcement: Announcement,
    view: MembershipView,
  ): string | undefined {
    const remoteHolder = this.#findRemoteHolder(announcement, view);
    const holder = this.#holder;
    if (remoteHolder === undefined) {
      return undefined;
    }
    const hasLocalPrecedence =
      holder !== undefined &&
      isSameInstance(holder.announcement, announcement) &&
      !this.#isRemoteEarlier(remoteHolder, holder, view);
    return hasLocalPrecedence
      ? undefined
      : `announced at ${remoteHolder.daemon.name}`;
  }

  #findRemoteHolder(
    announcement: Announcement,
    view: MembershipView,
  ): InstanceView | undefined {
    const localName = view.getLocalDaemon()?.name;
    return view
      .getAnnouncements(announcement.service, announcement.instance)
      .find(
        ({backendServer, daemon}) =>
          daemon.name !== localName && backendServer.state !== 'draining',
      );
  }

  #isRemoteEarlier(
    remoteHolder: InstanceView,
    holder: LeaseHolder,
    view: MembershipView,
  ): boolean {
    const {incarnation} = remoteHolder.backendServer;
    if (incarnation !== holder.incarnation) {
      return incarnation < holder.incarnation;
    }
    return remoteHolder.daemon.name < (view.getLocalDaemon()?.name ?? '');
  }
}
