/** Requests to the ledger and their outcomes. */

import type {Failure} from 'jackdawcove-shared';

import {MAXIMUM_HTTP_STATUS, MINIMUM_HTTP_STATUS} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of an answer that is kept for resends of its request. */
export const heldAnswerSchema = z.object({
  body: z.instanceof(Uint8Array),
  headers: z.array(z.tuple([z.string(), z.string()])),
  status: z.int().min(MINIMUM_HTTP_STATUS).max(MAXIMUM_HTTP_STATUS),
});

/** Answer of a completed request, kept for resends. */
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
  /**
   * The request may be dispatched once; `complete` must be called afterwards.
   */
  | {readonly kind: 'granted'}
  /** A resend: the request has already run, and this is its answer. */
  | {readonly answer: HeldAnswer; readonly kind: 'answered'}
  | {readonly failure: Failure; readonly kind: 'refused'};

/** Outcome of a request whose claim was granted. */
export type Completion =
  /** The request ran; `answer` is absent if it cannot be kept. */
  | {readonly answer?: HeldAnswer; readonly kind: 'answered'}
  /** The request certainly did not run: a resend may claim the key again. */
  | {readonly kind: 'notRun'}
  /** The request may have run: resends are refused with `outcomeUnknown`. */
  | {readonly kind: 'unknown'};
