/** Messages between claimants, ledger members and owners of claims. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {keyIdentifierSchema} from './IdempotencyKey.js';
import {ledgerGroupSchema} from './LedgerAssignments.js';
import {
  MAXIMUM_COMPLETIONS_PER_MESSAGE,
  RECORDS_PER_READ,
} from './LedgerConstants.js';
import {heldAnswerSchema} from './LedgerTypes.js';

const FINGERPRINT_LENGTH = 16;

const countSchema = z.int().min(0);
/** Schema of the fingerprint of the content of a request. */
export const fingerprintSchema = z.string().length(FINGERPRINT_LENGTH);

/** Schema of the identity of an attempt to claim a key. */
export const attemptSchema = z.object({
  incarnation: countSchema,
  owner: nameSchema,
  sequence: countSchema,
});

/**
 * Identity of an attempt: its owner, the daemon that may run the request, and a
 * sequence number.
 */
export type Attempt = z.infer<typeof attemptSchema>;

/** Schema of the state of an attempt at a member. */
export const attemptStateSchema = z.enum(['claimed', 'ran', 'released']);

/** State of an attempt at a member. */
export type AttemptState = z.infer<typeof attemptStateSchema>;

/** Schema of a claim that a member holds. */
export const heldClaimSchema = attemptSchema.extend({
  fingerprint: fingerprintSchema,
  state: attemptStateSchema,
});

/** A claim that a member holds. */
export type HeldClaim = z.infer<typeof heldClaimSchema>;

/** Schema of a record: all claims of one key that a member holds. */
export const ledgerRecordSchema = z.object({
  claims: z.array(heldClaimSchema).min(1),
  key: keyIdentifierSchema,
});

/** All claims of one key that a member holds; usually there is only one. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;

const sliceFields = {
  generation: countSchema,
  slice: countSchema,
  zone: nameSchema,
};

/** Schema of the reasons for which a member refuses a claim. */
export const claimRefusalSchema = z.enum([
  'epochChanged',
  'expired',
  'fromFuture',
]);

/**
 * Schema of the messages between claimants, ledger members and owners of
 * claims.
 */
export const ledgerMessageSchema = z.discriminatedUnion('kind', [
  /** Claimant to member: a claim. */
  z.object({
    ...sliceFields,
    attempt: attemptSchema,
    fingerprint: fingerprintSchema,
    key: keyIdentifierSchema,
    kind: z.literal('claim'),
    superseded: z.array(attemptSchema),
  }),
  /**
   * Member to claimant; ignored if it is addressed to an earlier process of the
   * claimant.
   */
  z.object({
    claimantIncarnation: countSchema,
    generation: countSchema,
    held: heldClaimSchema.optional(),
    incarnation: countSchema,
    key: keyIdentifierSchema,
    kind: z.literal('claimAnswer'),
    refusal: claimRefusalSchema.optional(),
    sequence: countSchema,
  }),
  /** Owner to member: how attempts ended. */
  z.object({
    completions: z
      .array(
        z.object({
          key: keyIdentifierSchema,
          sequence: countSchema,
          state: attemptStateSchema,
        }),
      )
      .max(MAXIMUM_COMPLETIONS_PER_MESSAGE),
    incarnation: countSchema,
    kind: z.literal('completions'),
  }),
  /**
   * Newest group that the sender knows; sent in reply to a message under
   * another generation.
   */
  z.object({group: ledgerGroupSchema, kind: z.literal('group')}),
  /**
   * Claimant to the owner of a conflicting claim: asks for the state of that
   * claim.
   */
  z.object({
    asker: attemptSchema,
    attempt: attemptSchema,
    fingerprint: fingerprintSchema,
    key: keyIdentifierSchema,
    kind: z.literal('inquiry'),
  }),
  /** Owner to claimant: state of the claim. */
  z.object({
    answer: heldAnswerSchema.optional(),
    attempt: attemptSchema,
    key: keyIdentifierSchema,
    kind: z.literal('inquiryAnswer'),
    state: z.enum(['pending', 'ran', 'released', 'running', 'unknown']),
  }),
  /** New member to seed: requests records. */
  z.object({
    cursor: countSchema,
    group: ledgerGroupSchema,
    kind: z.literal('read'),
  }),
  /** Seed to new member: a page of records. */
  z.object({
    ...sliceFields,
    cursor: countSchema,
    incarnation: countSchema,
    kind: z.literal('readAnswer'),
    nextCursor: countSchema.optional(),
    records: z.array(ledgerRecordSchema).max(RECORDS_PER_READ),
  }),
]);

/** Message of the ledger. */
export type LedgerMessage = z.infer<typeof ledgerMessageSchema>;

/** Message of the ledger of a given kind. */
export type LedgerMessageOf<Kind extends LedgerMessage['kind']> = Extract<
  LedgerMessage,
  {kind: Kind}
>;

/**
 * Checks whether two attempts are the same.
 *
 * @example
 * isSameAttempt(held, message.attempt);
 */
export function isSameAttempt(left: Attempt, right: Attempt): boolean {
  return (
    left.owner === right.owner &&
    left.incarnation === right.incarnation &&
    left.sequence === right.sequence
  );
}
