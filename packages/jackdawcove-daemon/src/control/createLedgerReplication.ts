/** Replication of the ledger assignments through the voters. */

import type {LedgerAssignmentReplication} from '../ledger/LedgerService.js';
import type {LedgerAssignments} from 'jackdawcove-ledger';
import type {ConfigurationCommand, SpreadRecord} from 'jackdawcove-revision';

import {
  EMPTY_LEDGER_ASSIGNMENTS,
  ledgerAssignmentsSchema,
} from 'jackdawcove-ledger';

/** Listener for new assignments. */
type AssignmentsListener = (assignments: LedgerAssignments) => void;

/** Options of the replication of the assignments. */
export type LedgerReplicationOptions = {
  readonly getApplied: () => SpreadRecord | undefined;
  readonly isLeader: () => boolean;
  readonly propose: (command: ConfigurationCommand) => void;
};

/** Replication of the assignments and the notification of its listeners. */
export type LedgerReplication = LedgerAssignmentReplication & {
  /** Calls the listeners with the assignments of an applied record. */
  notifyListeners(record: SpreadRecord): void;
};

function parseAssignments(record: SpreadRecord | undefined): LedgerAssignments {
  const parsed = ledgerAssignmentsSchema.safeParse(record?.content);
  return parsed.success ? parsed.data : EMPTY_LEDGER_ASSIGNMENTS;
}

/**
 * Creates the replication of the ledger assignments.
 *
 * @example
 * const replication = createLedgerReplication(options);
 * replication.getAssignments().version;
 */
export function createLedgerReplication(
  options: LedgerReplicationOptions,
): LedgerReplication {
  const listeners = new Set<AssignmentsListener>();
  return {
    getAssignments: () => parseAssignments(options.getApplied()),
    isLeader: options.isLeader,
    notifyListeners: (record) => {
      const assignments = parseAssignments(record);
      for (const listener of listeners) {
        listener(assignments);
      }
    },
    propose: (assignments) => {
      options.propose({
        content: assignments,
        kind: 'ledgerAssignments',
        version: assignments.version,
      });
    },
    registerListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}
