/** Leases of the backend server that announces itself to the local daemon. */

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

import {
  ANNOUNCEMENT_LEASE_MS,
  MAXIMUM_SUPERSEDED_TOKENS,
} from './MembershipConstants.js';

/** Returns a number greater than all it returned before, restarts included. */
export type CreateIncarnation = () => Incarnation;

/** The announcement that holds the lease. */
export type HeldAnnouncement = {
  readonly announcement: Announcement;
  readonly expiresAt: Milliseconds;
  readonly incarnation: Incarnation;
  readonly renewedAt: Milliseconds;
};

function isSameInstance(
  left: Pick<Announcement, 'instance' | 'service'>,
  right: Pick<Announcement, 'instance' | 'service'>,
): boolean {
  return left.instance === right.instance && left.service === right.service;
}

/** Tells whether an announcement was overtaken by the one that is held. */
function isOutdated(announcement: Announcement, held: Announcement): boolean {
  if (announcement.processToken === held.processToken) {
    return (announcement.sequence ?? 0) < (held.sequence ?? 0);
  }
  return (announcement.startedAt ?? 0) < (held.startedAt ?? 0);
}

function isSameAddress(left: Address, right: Address): boolean {
  return formatAddress(left) === formatAddress(right);
}

/**
 * Lease of the local backend server: one process of one instance at a time.
 *
 * @example
 * const leases = new AnnouncementLeases(createIncarnation);
 * leases.announce(announcement, membership.getView(), now);
 */
export class AnnouncementLeases {
  readonly #createIncarnation: CreateIncarnation;
  #held: HeldAnnouncement | undefined;
  readonly #leaseMilliseconds: Milliseconds;
  #supersededTokens: readonly string[] = [];

  constructor(
    createIncarnation: CreateIncarnation,
    leaseMilliseconds = ANNOUNCEMENT_LEASE_MS,
  ) {
    this.#createIncarnation = createIncarnation;
    this.#leaseMilliseconds = leaseMilliseconds;
  }

  /**
   * Grants or renews the lease, or refuses with `announcementConflict` while
   * another process holds it, here or at another daemon.
   *
   * A process under the address of the holder has taken its place: two processes
   * cannot listen on one address. The replaced process is refused from then on.
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
    const held = this.#held;
    if (held !== undefined && isOutdated(announcement, held.announcement)) {
      return Result.ok(this.#createLease(held.incarnation));
    }
    const conflict =
      this.#findLocalConflict(announcement) ??
      this.#findRemoteConflict(announcement, view);
    if (conflict !== undefined) {
      return Result.err(createFailure('announcementConflict', conflict));
    }
    const isRenewal =
      held?.announcement.processToken === announcement.processToken &&
      isSameInstance(held.announcement, announcement);
    const incarnation = isRenewal
      ? held.incarnation
      : this.#replaceHolder(held);
    const expiresAt = now + this.#leaseMilliseconds;
    this.#held = {announcement, expiresAt, incarnation, renewedAt: now};
    return Result.ok(this.#createLease(incarnation));
  }

  /**
   * Ends the lease at the wish of its holder.
   *
   * @example
   * leases.withdraw({instance, processToken, service}, now);
   */
  withdraw(withdrawal: Withdrawal, now: Milliseconds): Result<Unit, Failure> {
    this.expire(now);
    const held = this.#held;
    if (held === undefined) {
      return Result.ok();
    }
    const {instance, processToken, service} = held.announcement;
    const isHolder =
      withdrawal.instance === instance &&
      (withdrawal.processToken ?? processToken) === processToken &&
      (withdrawal.service ?? service) === service;
    if (!isHolder) {
      return Result.err(createFailure('announcementConflict'));
    }
    if (held.announcement.sequence !== undefined) {
      // A late announcement of the process must not bring it back.
      this.#supersede(processToken);
    }
    this.#held = undefined;
    return Result.ok();
  }

  /** Ends the lease when it ran out, a pause of the process included. */
  expire(now: Milliseconds): void {
    if (this.#held !== undefined && now >= this.#held.expiresAt) {
      this.#held = undefined;
      this.#supersededTokens = [];
    }
  }

  /**
   * Gives the lease up if another daemon announced the instance earlier.
   *
   * @example
   * leases.resolveConflict(view); // on each new view
   */
  resolveConflict(view: MembershipView): void {
    const held = this.#held;
    if (held === undefined) {
      return;
    }
    const holder = this.#findRemoteHolder(held.announcement, view);
    if (holder !== undefined && this.#isEarlier(holder, held, view)) {
      this.#held = undefined;
    }
  }

  /** Returns the announcement that holds the lease now, or undefined. */
  getHeld(now: Milliseconds): HeldAnnouncement | undefined {
    return this.#held !== undefined && now < this.#held.expiresAt
      ? this.#held
      : undefined;
  }

  /** Returns what the fleet is told of the backend server, or undefined. */
  getRecord(): BackendServerRecord | undefined {
    if (this.#held === undefined) {
      return undefined;
    }
    const {announcement, incarnation} = this.#held;
    const {connections, instance, service, slots, state} = announcement;
    return {connections, incarnation, instance, service, slots, state};
  }

  #createLease(incarnation: Incarnation): AnnouncementLease {
    return {incarnation, leaseMilliseconds: this.#leaseMilliseconds};
  }

  #replaceHolder(held: HeldAnnouncement | undefined): Incarnation {
    if (held !== undefined) {
      this.#supersede(held.announcement.processToken);
    }
    return this.#createIncarnation();
  }

  #supersede(processToken: string): void {
    this.#supersededTokens = [processToken, ...this.#supersededTokens].slice(
      0,
      MAXIMUM_SUPERSEDED_TOKENS,
    );
  }

  #findLocalConflict(announcement: Announcement): string | undefined {
    const held = this.#held?.announcement;
    if (this.#supersededTokens.includes(announcement.processToken)) {
      return 'another process took over the address';
    }
    if (held === undefined || held.processToken === announcement.processToken) {
      return undefined;
    }
    return isSameAddress(held.address, announcement.address)
      ? undefined
      : `held by ${held.service}/${held.instance} at ${formatAddress(held.address)}`;
  }

  #findRemoteConflict(
    announcement: Announcement,
    view: MembershipView,
  ): string | undefined {
    const holder = this.#findRemoteHolder(announcement, view);
    const held = this.#held;
    if (holder === undefined) {
      return undefined;
    }
    const isOwnKept =
      held !== undefined &&
      isSameInstance(held.announcement, announcement) &&
      !this.#isEarlier(holder, held, view);
    return isOwnKept ? undefined : `announced at ${holder.daemon.name}`;
  }

  #findRemoteHolder(
    announcement: Announcement,
    view: MembershipView,
  ): InstanceView | undefined {
    const localName = view.getLocalDaemon()?.name;
    return view
      .getAnnouncements(announcement.service, announcement.instance)
      .find(({daemon}) => daemon.name !== localName);
  }

  #isEarlier(
    holder: InstanceView,
    held: HeldAnnouncement,
    view: MembershipView,
  ): boolean {
    const {incarnation} = holder.backendServer;
    if (incarnation !== held.incarnation) {
      return incarnation < held.incarnation;
    }
    return holder.daemon.name < (view.getLocalDaemon()?.name ?? '');
  }
}
