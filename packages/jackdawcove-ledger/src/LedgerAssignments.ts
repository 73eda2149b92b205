/** Which daemons hold the claims of which keys; replicated by the voters. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of a member of a ledger group: one process of a daemon. */
export const ledgerGroupMemberSchema = z.object({
  incarnation: z.int().min(0),
  name: nameSchema,
});

/** Member of a ledger group. */
export type LedgerGroupMember = z.infer<typeof ledgerGroupMemberSchema>;

/** Schema of the ledger group of one slice of an availability zone's keys. */
export const ledgerGroupSchema = z.object({
  availabilityZone: nameSchema,
  continuing: z.array(nameSchema),
  epochStartedAtMilliseconds: z.number().min(0),
  generation: z.int().min(1),
  members: z.array(ledgerGroupMemberSchema).min(1),
  seeds: z.array(ledgerGroupMemberSchema),
  slice: z.int().min(0),
});

/**
 * Ledger group of one slice.
 *
 * `generation` grows with each change of the group; a claim needs a majority of
 * members under one generation. Members in `continuing` hold their records and
 * answer at once, others answer after they have read all `seeds`. Keys minted
 * before the start of the epoch (plus clock skew) are refused as unknown.
 */
export type LedgerGroup = z.infer<typeof ledgerGroupSchema>;

/** Schema of all ledger groups of the fleet. */
export const ledgerAssignmentsSchema = z.object({
  availabilityZones: z.array(nameSchema),
  groups: z.array(ledgerGroupSchema),
  slicesPerZone: z.int().min(1),
  version: z.int().min(0),
});

/** All ledger groups of the fleet. `version` grows with each change. */
export type LedgerAssignments = z.infer<typeof ledgerAssignmentsSchema>;

/** Assignments of a fleet that has none yet. */
export const EMPTY_LEDGER_ASSIGNMENTS: LedgerAssignments = {
  availabilityZones: [],
  groups: [],
  slicesPerZone: 1,
  version: 0,
};
