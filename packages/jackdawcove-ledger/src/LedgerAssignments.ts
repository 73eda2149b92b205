/** Assignment of key slices to ledger groups; replicated by the voters. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of a member of a ledger group: one process of a daemon. */
export const ledgerGroupMemberSchema = z.object({
  incarnation: z.int().min(0),
  name: nameSchema,
});

/** Member of a ledger group. */
export type LedgerGroupMember = z.infer<typeof ledgerGroupMemberSchema>;

/**
 * Schema of the ledger group of one slice of the keys of an availability zone.
 */
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
 * `generation` increases with each change of the group; a claim needs
 * acknowledgements from a majority of the members under the same generation.
 * Members in `continuing` already hold all records and answer claims
 * immediately; the others answer only after they have read the records of all
 * `seeds`. Keys minted before the start of the epoch plus EPOCH_GUARD_MS are
 * refused, because they may have been claimed in an earlier epoch whose records
 * are lost.
 */
export type LedgerGroup = z.infer<typeof ledgerGroupSchema>;

/** Schema of all ledger groups of the fleet. */
export const ledgerAssignmentsSchema = z.object({
  availabilityZones: z.array(nameSchema),
  groups: z.array(ledgerGroupSchema),
  slicesPerZone: z.int().min(1),
  version: z.int().min(0),
});

/** All ledger groups of the fleet. `version` increases with each change. */
export type LedgerAssignments = z.infer<typeof ledgerAssignmentsSchema>;

/** Initial assignments of a fleet, without any group. */
export const EMPTY_LEDGER_ASSIGNMENTS: LedgerAssignments = {
  availabilityZones: [],
  groups: [],
  slicesPerZone: 1,
  version: 0,
};
