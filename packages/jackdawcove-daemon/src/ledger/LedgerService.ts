/** Ledger interface for the call path of the daemon. */

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
  /** Proposes assignments; ignored unless their version follows the current one. */
  propose(assignments: LedgerAssignments): void;
  registerListener(
    listener: (assignments: LedgerAssignments) => void,
  ): Teardown;
};

/** Claims of non-idempotent requests. */
export type LedgerService = {
  /** Claims the right to run a request; waits for the outcome if it is running. */
  claim(request: ClaimRequest): Promise<ClaimOutcome>;
  /** Completes a granted claim; must be called exactly once for each. */
  complete(key: string, completion: Completion): void;
  /**
   * Returns whether the ledger records of this daemon are handed over, or no other
   * daemon of its zone can take them over.
   */
  isHandedOver(): boolean;
  /** Mints a key whose home is this daemon's availability zone. */
  mintKey(): string;
};
