/** Lease of the backend server that announces itself to the local daemon. */

import type {
  Announcement,
  AnnouncementLease,
  Withdrawal,
} from './Announcement.js';
import type {LeaseHolder} from './LeaseHolder.js';
import type {BackendServerRecord} from './MembershipRecords.js';
import type {InstanceView, MembershipView} from './MembershipView.js';
import type {Failure, Incarnation, Milliseconds} from 'jackdawcove-shared';
import type {Unit} from 'true-myth/unit';

import {createFailure, formatAddress} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {EndedProcesses} from './EndedProcesses.js';
import {LeaseContender} from './LeaseContender.js';
import {
  createRecord,
  isOutdated,
  isSameAddress,
  isSameInstance,
  isWithdrawalOf,
} from './LeaseHolder.js';
import {
  ANNOUNCEMENT_INTERVAL_MS,
  ANNOUNCEMENT_LEASE_MS,
  CONTENDER_INTERVALS,
  SILENT_HOLDER_INTERVALS,
} from './MembershipConstants.js';

/** Returns a greater number on each call, also after a restart of the daemon. */
export type CreateIncarnation = () => Incarnation;

type DepartedBackendServer = {
  readonly expiresAt: Milliseconds;
  readonly record: BackendServerRecord;
};

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
  readonly #ended = new EndedProcesses();
  #holder: LeaseHolder | undefined;
  /** Last holder whose lease expired, until another process gets the lease. */
  #lapsed: LeaseHolder | undefined;
  readonly #intervalMilliseconds: Milliseconds;
  readonly #leaseMilliseconds: Milliseconds;
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
      this.#releaseTo(announcement);
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
   * if another process holds it. A process that does not hold it gets no lease
   * from then on, either; `earlier` is what an earlier process of this daemon
   * published, if that is known.
   *
   * @example
   * leases.withdraw({instance, processToken, service}, now);
   */
  withdraw(
    withdrawal: Withdrawal,
    now: Milliseconds,
    earlier?: BackendServerRecord,
  ): Result<Unit, Failure> {
    this.expire(now);
    const holder = this.#holder;
    if (
      holder === undefined ||
      !isWithdrawalOf(withdrawal, holder.announcement)
    ) {
      return this.#withdrawOther(withdrawal, now, earlier);
    }
    if (holder.announcement.sequence !== undefined) {
      // A delayed announcement of the process must not restore the lease.
      this.#ended.addToken(holder.announcement.processToken);
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
      this.#lapsed = this.#holder;
      this.#holder = undefined;
      this.#ended.clearTokens();
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

  /** Without a lease, the record of the process comes from its last lease or the fleet. */
  #withdrawOther(
    withdrawal: Withdrawal,
    now: Milliseconds,
    earlier: BackendServerRecord | undefined,
  ): Result<Unit, Failure> {
    const lapsed = this.#lapsed;
    const isLapsed =
      lapsed !== undefined && isWithdrawalOf(withdrawal, lapsed.announcement);
    const record = isLapsed ? createRecord(lapsed) : earlier;
    const isKnown = record?.instance === withdrawal.instance;
    const earliestSuccessor = isKnown ? record.incarnation + 1 : 0;
    this.#ended.addWithdrawal(
      withdrawal,
      Math.max(this.#createIncarnation(), earliestSuccessor),
    );
    if (this.#holder !== undefined) {
      return Result.err(createFailure('announcementConflict'));
    }
    if (isKnown) {
      const incarnation = withdrawal.startedAt ?? record.incarnation;
      this.#depart({...record, incarnation}, now);
    }
    this.#withdrawnAt = now;
    this.#contender.clear();
    return Result.ok();
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
    this.#lapsed = undefined;
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
  #releaseTo(announcement: Announcement): void {
    const {processToken} = announcement;
    if (this.#holder?.announcement.processToken !== processToken) {
      this.#holder = undefined;
    }
    this.#ended.remove(announcement);
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
      this.#ended.addToken(previousToken);
    }
    return startedAt ?? this.#createIncarnation();
  }

  #findLocalConflict(announcement: Announcement): string | undefined {
    const current = this.#holder?.announcement;
    const newest = current ?? this.#lapsed?.announcement;
    if (newest !== undefined && isOutdated(announcement, newest)) {
      return `outdated by ${newest.service}/${newest.instance}`;
    }
    if (this.#ended.has(announcement)) {
      return 'the process has withdrawn, or another one took over the address';
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
