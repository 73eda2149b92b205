/**
 * Compact encoding of the frequent messages; the other messages are sent
 * unchanged.
 */

import type {
  Attempt,
  HeldClaim,
  LedgerMessage,
  LedgerMessageOf,
} from './LedgerMessages.js';

import {nameSchema} from 'jackdawcove-shared';
import {match} from 'ts-pattern';
import {z} from 'zod';

import {keyIdentifierSchema} from './IdempotencyKey.js';
import {MAXIMUM_COMPLETIONS_PER_MESSAGE} from './LedgerConstants.js';
import {
  attemptStateSchema,
  claimRefusalSchema,
  fingerprintSchema,
  ledgerMessageSchema,
} from './LedgerMessages.js';

const STATES = attemptStateSchema.options;
const CLAIM = 0;
const CLAIM_ANSWER = 1;
const COMPLETIONS = 2;

const countSchema = z.int().min(0);
const stateIndexSchema = z
  .int()
  .min(0)
  .max(STATES.length - 1);

/** owner, incarnation, sequence */
const wireAttemptSchema = z.tuple([nameSchema, countSchema, countSchema]);

/** owner, incarnation, sequence, fingerprint, state */
const wireHeldSchema = z.tuple([
  nameSchema,
  countSchema,
  countSchema,
  fingerprintSchema,
  stateIndexSchema,
]);

/** key, sequence, state */
const wireCompletionSchema = z.tuple([
  keyIdentifierSchema,
  countSchema,
  stateIndexSchema,
]);

/** attempt, fingerprint, generation, key, slice, superseded, zone */
const wireClaimSchema = z.tuple([
  z.literal(CLAIM),
  wireAttemptSchema,
  fingerprintSchema,
  countSchema,
  keyIdentifierSchema,
  countSchema,
  z.array(wireAttemptSchema),
  nameSchema,
]);

/**
 * claimantIncarnation, generation, incarnation, key, sequence, held, refusal
 */
const wireClaimAnswerSchema = z.tuple([
  z.literal(CLAIM_ANSWER),
  countSchema,
  countSchema,
  countSchema,
  keyIdentifierSchema,
  countSchema,
  wireHeldSchema.nullable(),
  claimRefusalSchema.nullable(),
]);

/** incarnation, completions */
const wireCompletionsSchema = z.tuple([
  z.literal(COMPLETIONS),
  countSchema,
  z.array(wireCompletionSchema).max(MAXIMUM_COMPLETIONS_PER_MESSAGE),
]);

const wireMessageSchema = z.union([
  wireClaimSchema,
  wireClaimAnswerSchema,
  wireCompletionsSchema,
]);

type WireAttempt = z.infer<typeof wireAttemptSchema>;
type WireClaim = z.infer<typeof wireClaimSchema>;
type WireClaimAnswer = z.infer<typeof wireClaimAnswerSchema>;
type WireCompletions = z.infer<typeof wireCompletionsSchema>;
type WireHeld = z.infer<typeof wireHeldSchema>;

function encodeAttempt(attempt: Attempt): WireAttempt {
  return [attempt.owner, attempt.incarnation, attempt.sequence];
}

function decodeAttempt([owner, incarnation, sequence]: WireAttempt): Attempt {
  return {incarnation, owner, sequence};
}

function encodeHeld(held: HeldClaim): WireHeld {
  const {fingerprint, incarnation, owner, sequence, state} = held;
  return [owner, incarnation, sequence, fingerprint, STATES.indexOf(state)];
}

function decodeHeld(wire: WireHeld): HeldClaim {
  const [owner, incarnation, sequence, fingerprint, state] = wire;
  return {
    fingerprint,
    incarnation,
    owner,
    sequence,
    state: STATES[state] ?? 'claimed',
  };
}

function encodeClaim(claim: LedgerMessageOf<'claim'>): WireClaim {
  return [
    CLAIM,
    encodeAttempt(claim.attempt),
    claim.fingerprint,
    claim.generation,
    claim.key,
    claim.slice,
    claim.superseded.map(encodeAttempt),
    claim.zone,
  ];
}

function decodeClaim(wire: WireClaim): LedgerMessage {
  const [, attempt, fingerprint, generation, key, slice, superseded, zone] =
    wire;
  return {
    attempt: decodeAttempt(attempt),
    fingerprint,
    generation,
    key,
    kind: 'claim',
    slice,
    superseded: superseded.map(decodeAttempt),
    zone,
  };
}

function encodeClaimAnswer(
  answer: LedgerMessageOf<'claimAnswer'>,
): WireClaimAnswer {
  return [
    CLAIM_ANSWER,
    answer.claimantIncarnation,
    answer.generation,
    answer.incarnation,
    answer.key,
    answer.sequence,
    answer.held === undefined ? null : encodeHeld(answer.held),
    answer.refusal ?? null,
  ];
}

function decodeClaimAnswer(wire: WireClaimAnswer): LedgerMessage {
  const [, claimant, generation, incarnation, key, sequence, held, refusal] =
    wire;
  return {
    claimantIncarnation: claimant,
    generation,
    incarnation,
    key,
    kind: 'claimAnswer',
    sequence,
    ...(held === null ? {} : {held: decodeHeld(held)}),
    ...(refusal === null ? {} : {refusal}),
  };
}

function encodeCompletions({
  completions,
  incarnation,
}: LedgerMessageOf<'completions'>): WireCompletions {
  return [
    COMPLETIONS,
    incarnation,
    completions.map(({key, sequence, state}) => [
      key,
      sequence,
      STATES.indexOf(state),
    ]),
  ];
}

function decodeCompletions([
  ,
  incarnation,
  completions,
]: WireCompletions): LedgerMessage {
  return {
    completions: completions.map(([key, sequence, state]) => ({
      key,
      sequence,
      state: STATES[state] ?? 'claimed',
    })),
    incarnation,
    kind: 'completions',
  };
}

/**
 * Encodes a message for the wire.
 *
 * @example
 * messenger.send(to, 'ledger', encodeLedgerMessage(message));
 */
export function encodeLedgerMessage(message: LedgerMessage): unknown {
  return match(message)
    .with({kind: 'claim'}, encodeClaim)
    .with({kind: 'claimAnswer'}, encodeClaimAnswer)
    .with({kind: 'completions'}, encodeCompletions)
    .otherwise((other) => other);
}

/**
 * Decodes a message from the wire, or returns undefined if it is malformed.
 *
 * @example
 * decodeLedgerMessage(encodeLedgerMessage(message)); // equals message
 */
export function decodeLedgerMessage(value: unknown): LedgerMessage | undefined {
  if (!Array.isArray(value)) {
    return ledgerMessageSchema.safeParse(value).data;
  }
  const wire = wireMessageSchema.safeParse(value).data;
  if (wire === undefined) {
    return undefined;
  }
  if (wire[0] === CLAIM) {
    return decodeClaim(wire);
  }
  return wire[0] === CLAIM_ANSWER
    ? decodeClaimAnswer(wire)
    : decodeCompletions(wire);
}
