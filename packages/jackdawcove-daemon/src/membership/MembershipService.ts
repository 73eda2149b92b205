/** Membership interface for the other subsystems of the daemon. */

import type {
  Announcement,
  AnnouncementLease,
  MembershipView,
  Withdrawal,
} from 'jackdawcove-membership';
import type {Address, Failure, Incarnation, Teardown} from 'jackdawcove-shared';
import type {Result} from 'true-myth';
import type {Unit} from 'true-myth/unit';

/** Receives each new view. */
export type ViewListener = (view: MembershipView) => void;

/** Address, capacity and state of the local backend server. */
export type LocalBackendServer = Pick<
  Announcement,
  'address' | 'connections' | 'instance' | 'service' | 'slots' | 'state'
> & {
  readonly incarnation: number;
  /** Monotonic time of the last announcement, in milliseconds. */
  readonly renewedAt: number;
};

/** Announcement or withdrawal that was refused. */
export type RefusedAnnouncement = {
  readonly failure: Failure;
  readonly instance: string;
};

/** Membership of the fleet and the lease of the local backend server. */
export type MembershipService = {
  /** Accepts or renews the lease of the local backend server. */
  announce(announcement: Announcement): Result<AnnouncementLease, Failure>;
  /** Declares, on an operator's request, that a daemon will not return. */
  declareLeft(name: string): void;
  /** Marks a process of the local backend server as draining, until it ends. */
  drainBackendServer(incarnation: Incarnation): void;
  /** Marks this daemon as draining, so that other daemons send it no new work. */
  drain(): void;
  /** Logs and counts an announcement or withdrawal that an embedding program refused. */
  recordRefusal(refused: RefusedAnnouncement): void;
  /** Returns the local backend server that holds a lease, or undefined. */
  getLocalBackendServer(): LocalBackendServer | undefined;
  getView(): MembershipView;
  /** Publishes that this daemon leaves the fleet; call it last. */
  leave(): void;
  registerViewListener(listener: ViewListener): Teardown;
  /** Replaces the seeds; one that is not reachable is contacted soon. */
  setSeeds(seeds: readonly Address[]): void;
  /** Publishes the newest ledger generation whose records this daemon has read. */
  setLedgerGeneration(generation: number): void;
  /** Returns the fleet address of a daemon in the view, or undefined. */
  getAddress(name: string): Address | undefined;
  withdraw(withdrawal: Withdrawal): Result<Unit, Failure>;
};
