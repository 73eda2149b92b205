/** Connects the ledger to the daemon. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {
  LedgerAssignmentReplication,
  LedgerService,
} from './LedgerService.js';
import type {Teardown} from 'jackdawcove-shared';

import {mergeTeardowns} from 'jackdawcove-shared';

import {LedgerPlanner, PLAN_INTERVAL_MS} from './LedgerPlanner.js';
import {LedgerRunner} from './LedgerRunner.js';

/** Ledger of the running daemon and the function that stops it. */
export type LedgerRegistration = {
  readonly service: LedgerService;
  readonly teardown: Teardown;
};

/**
 * Starts the ledger: answers claims as a group member, makes claims for the call
 * path, and plans ledger groups while this daemon leads the voters.
 *
 * @example
 * const {service, teardown} = registerLedger(host, membership, replication);
 * const outcome = await service.claim({fingerprint, key});
 */
export function registerLedger(
  host: DaemonHost,
  membership: MembershipService,
  replication: LedgerAssignmentReplication,
): LedgerRegistration {
  const planner = new LedgerPlanner(host, membership, replication);
  const runner = new LedgerRunner(host, membership, replication);
  const removePlanner = host.registerTicker(PLAN_INTERVAL_MS, () => {
    planner.plan();
  });
  return {
    service: runner,
    teardown: mergeTeardowns(runner.register(), removePlanner),
  };
}
