/** Membership as the other subsystems of the daemon use it. */

import type {
  Announcement,
  AnnouncementLease,
  MembershipView,
  Withdrawal,
} from 'jackdawcove-membership';
import type {Address, Failure, Teardown} from 'jackdawcove-shared';
import type {Result} from 'true-myth';
import type {Unit} from 'true-myth/unit';

/** Receives each new view. */
export type ViewListener = (view: MembershipView) => void;

/** The local backend server as its daemon reaches it. */
export type LocalBackendServer = Pick<
  Announcement,
  'address' | 'connections' | 'instance' | 'service' | 'slots' | 'state'
> & {
  readonly incarnation: number;
  /** When the backend server last announced itself. */
  readonly renewedAt: number;
};

/** Membership of the fleet and the lease of the local backend server. */
export type MembershipService = {
  /** Accepts or renews the lease of the local backend server. */
  announce(announcement: Announcement): Result<AnnouncementLease, Failure>;
  /** Declares, by order of an operator, that a daemon will not return. */
  declareLeft(name: string): void;
  /** Marks this daemon as draining: no new work anywhere. */
  drain(): void;
  /** Returns the local backend server that holds a lease, or undefined. */
  getLocalBackendServer(): LocalBackendServer | undefined;
  getView(): MembershipView;
  /** Tells the fleet that this daemon leaves; the last command. */
  leave(): void;
  registerViewListener(listener: ViewListener): Teardown;
  /** Publishes the newest ledger generation that this daemon has read for. */
  setLedgerGeneration(generation: number): void;
  /** Returns the fleet address of a daemon that the view knows. */
  getAddress(name: string): Address | undefined;
  withdraw(withdrawal: Withdrawal): Result<Unit, Failure>;
};
