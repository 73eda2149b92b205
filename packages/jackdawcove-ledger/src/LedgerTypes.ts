/** Requests to the ledger and their outcomes. */

import type {Failure} from 'jackdawcove-shared';

import {z} from 'zod';

/** Schema of an answer that is held for resends. */
export const heldAnswerSchema = z.object({
  body: z.instanceof(Uint8Array),
  headers: z.array(z.tuple([z.string(), z.string()])),
  status: z.int().min(100).max(599),
});

/** Answer of a completed request, held for resends. */
export type HeldAnswer = z.infer<typeof heldAnswerSchema>;

/** Request for the right to run a non-idempotent request. */
export type ClaimRequest = {
  /** Digest of method, route and body. */
  readonly fingerprint: string;
  /** `[availabilityZone.]UUIDv7`. */
  readonly key: string;
};

/** Outcome of a claim. */
export type ClaimOutcome =
  /** The request may be dispatched once, then `complete` must be called. */
  | {readonly kind: 'granted'}
  /** A resend: the request has run and this is its first answer. */
  | {readonly answer: HeldAnswer; readonly kind: 'answered'}
  | {readonly failure: Failure; readonly kind: 'refused'};

/** How a request that had its claim granted ended. */
export type Completion =
  /** The request ran; `answer` is absent if it cannot be held. */
  | {readonly answer?: HeldAnswer; readonly kind: 'answered'}
  /** Proved never to have run: a resend may claim the key again. */
  | {readonly kind: 'notRun'}
  /** May have run: resends are refused as unknown. */
  | {readonly kind: 'unknown'};
