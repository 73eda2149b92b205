export type {
  LedgerAssignments,
  LedgerGroup,
  LedgerGroupMember,
} from './LedgerAssignments.js';
export type {
  ClaimOutcome,
  ClaimRequest,
  Completion,
  HeldAnswer,
} from './LedgerTypes.js';

export {
  EMPTY_LEDGER_ASSIGNMENTS,
  ledgerAssignmentsSchema,
  ledgerGroupSchema,
} from './LedgerAssignments.js';
export {heldAnswerSchema} from './LedgerTypes.js';
