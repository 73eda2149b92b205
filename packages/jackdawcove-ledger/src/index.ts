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

export type {
  DaemonPresence,
  LedgerClientEffect,
  LedgerClientOptions,
} from './LedgerClientTypes.js';
export type {InjectedClaimBugs} from './ClaimAttempt.js';
export type {
  InjectedMemberBugs,
  LedgerMemberEffect,
  LedgerMemberOptions,
} from './LedgerMember.js';
export type {LedgerMessage} from './LedgerMessages.js';
export type {IdempotencyKey} from './IdempotencyKey.js';
export type {
  LedgerCandidate,
  LedgerPlanInput,
} from './planLedgerAssignments.js';
export {LedgerClient} from './LedgerClient.js';
export {LedgerMember} from './LedgerMember.js';
export {ledgerMessageSchema} from './LedgerMessages.js';
export {decodeLedgerMessage, encodeLedgerMessage} from './LedgerWire.js';
export {planLedgerAssignments} from './planLedgerAssignments.js';
export {mintIdempotencyKey, parseIdempotencyKey} from './IdempotencyKey.js';
export {LEDGER_TICK_INTERVAL_MS, SLICES_PER_ZONE} from './LedgerConstants.js';
