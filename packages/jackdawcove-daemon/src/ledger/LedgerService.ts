/** The ledger as the call path of the daemon uses it. */

import type {
  ClaimOutcome,
  ClaimRequest,
  Completion,
  LedgerAssignments,
} from 'jackdawcove-ledger';
import type {Teardown} from 'jackdawcove-shared';

/** Replication of the ledger assignments through the voters. */
export type LedgerAssignmentReplication = {
  getAssignments(): LedgerAssignments;
  /** Returns whether this daemon leads the voters and may propose. */
  isLeader(): boolean;
  /** Proposes assignments; they are void unless they follow the current version. */
  propose(assignments: LedgerAssignments): void;
  registerListener(
    listener: (assignments: LedgerAssignments) => void,
  ): Teardown;
};

/** Claims of non-idempotent requests. */
export type LedgerService = {
  /** Claims the right to run a request; joins a running one. */
  claim(request: ClaimRequest): Promise<ClaimOutcome>;
  /** Ends a granted claim; must be called exactly once for each. */
  complete(key: string, completion: Completion): void;
  /** Returns whether no ledger group relies on this daemon any more. */
  isHandedOver(): boolean;
  /** Mints a key whose home is this daemon's availability zone. */
  mintKey(): string;
};
