/** Plans ledger groups while this daemon leads the voters. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {LedgerAssignmentReplication} from './LedgerService.js';
import type {LedgerCandidate} from 'jackdawcove-ledger';
import type {DaemonRecord} from 'jackdawcove-membership';
import type {Milliseconds} from 'jackdawcove-shared';

import {planLedgerAssignments, SLICES_PER_ZONE} from 'jackdawcove-ledger';
import {isDaemonReachable} from 'jackdawcove-membership';

/** Interval between two plans. */
export const PLAN_INTERVAL_MS: Milliseconds = 1_000;

/** Time in which a new leader completes its membership view before it plans. */
const INITIAL_PLAN_DELAY_MS: Milliseconds = 2_000;

function createCandidate(record: DaemonRecord): LedgerCandidate {
  const {availabilityZone, incarnation, isDraining, ledgerGeneration, name} =
    record;
  return {
    availabilityZone,
    hasLeft: record.state === 'left',
    incarnation,
    isDraining,
    isReachable: isDaemonReachable(record),
    ledgerGeneration,
    name,
  };
}

/** Proposes new assignments when daemons join, leave, fail or drain. */
export class LedgerPlanner {
  readonly #host: DaemonHost;
  #leaderSince: Milliseconds | undefined;
  readonly #membership: MembershipService;
  readonly #replication: LedgerAssignmentReplication;

  constructor(
    host: DaemonHost,
    membership: MembershipService,
    replication: LedgerAssignmentReplication,
  ) {
    this.#host = host;
    this.#membership = membership;
    this.#replication = replication;
  }

  /** Plans and proposes once; called every PLAN_INTERVAL_MS. */
  plan(): void {
    const now = this.#host.clock();
    if (!this.#replication.isLeader()) {
      this.#leaderSince = undefined;
      return;
    }
    this.#leaderSince ??= now;
    if (now - this.#leaderSince < INITIAL_PLAN_DELAY_MS) {
      return;
    }
    const previous = this.#replication.getAssignments();
    const next = planLedgerAssignments({
      availabilityZones: this.#host.settings.fleet.availabilityZones,
      candidates: this.#membership.getView().getDaemons().map(createCandidate),
      now: this.#host.wallClock(),
      previous,
      slicesPerZone: SLICES_PER_ZONE,
    });
    if (next.version > previous.version) {
      this.#host.recordEvent('ledgerProposed', {version: next.version});
      this.#replication.propose(next);
    }
  }
}
