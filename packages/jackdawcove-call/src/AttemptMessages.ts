/** Schemas of the messages between the two daemons of an attempt. */

import {requestContextSchema} from 'jackdawcove-context';
import {nameSchema, resultNameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const MAXIMUM_IDENTIFIER_LENGTH = 200;
const MAXIMUM_FINGERPRINT_LENGTH = 128;
const MAXIMUM_METHOD_LENGTH = 32;
const MAXIMUM_PATH_LENGTH = 16_384;
const MAXIMUM_TOKENS = 1_000;

/** Schema of the identifier of an attempt, unique in the fleet. */
export const attemptIdentifierSchema = z
  .string()
  .min(1)
  .max(MAXIMUM_IDENTIFIER_LENGTH);

/** Schema of the load report that an instance sends with every answer. */
export const loadReportSchema = z.object({
  /** Highest admission threshold among the nested calls of the request. */
  downstreamThreshold: z.number().nonnegative(),
  inFlight: z.int().nonnegative(),
  limit: z.int().nonnegative(),
  queueingDelayMilliseconds: z.number().nonnegative(),
  /** The instance refuses requests whose priority (rank + cohort) is lower. */
  threshold: z.number().nonnegative(),
});

/** Schema of an attempt, as it is sent to the daemon of the chosen instance. */
export const attemptSchema = z.object({
  attemptIdentifier: attemptIdentifierSchema,
  bodyLength: z.int().nonnegative().optional(),
  callIdentifier: attemptIdentifierSchema,
  context: requestContextSchema,
  daemonIncarnation: z.int().nonnegative(),
  fingerprint: z.string().max(MAXIMUM_FINGERPRINT_LENGTH),
  idempotencyKey: z.string().max(MAXIMUM_IDENTIFIER_LENGTH).optional(),
  instance: nameSchema,
  instanceIncarnation: z.int().nonnegative(),
  isIdempotent: z.boolean(),
  /** True for a retry of a crash suspect, which must run in isolation. */
  isSuspectRetry: z.boolean(),
  method: z.string().max(MAXIMUM_METHOD_LENGTH),
  path: z.string().max(MAXIMUM_PATH_LENGTH),
  remainingMilliseconds: z.number().nonnegative(),
  /** Identifier that the caller gave the request. */
  requestIdentifier: z.string().max(MAXIMUM_IDENTIFIER_LENGTH).optional(),
  service: nameSchema,
  tokensLent: z.int().nonnegative().max(MAXIMUM_TOKENS),
});

/** Schema of a refusal: the attempt was not dispatched and never will be. */
export const attemptRefusalSchema = z.object({
  attemptIdentifier: attemptIdentifierSchema,
  load: loadReportSchema,
  result: resultNameSchema,
  retryAfterMilliseconds: z.number().nonnegative(),
  tokensReturned: z.int().nonnegative(),
});

/** Schema of the head of an answer, without its HTTP headers. */
export const answerHeadSchema = z.object({
  attemptIdentifier: attemptIdentifierSchema,
  load: loadReportSchema,
  /** HTTP status of the backend server. */
  status: z.int().optional(),
});

/** Schema of the end of an answer. */
export const answerEndSchema = z.object({
  attemptIdentifier: attemptIdentifierSchema,
  load: loadReportSchema,
  /** `ok` after a complete answer, otherwise why there is none. */
  result: resultNameSchema,
  tokensReturned: z.int().nonnegative(),
});

/** Schema of a query for the outcome of an attempt. */
export const resolveQuerySchema = z.object({
  /** Time since the attempt was sent, on the asking daemon's clock. */
  ageMilliseconds: z.number().nonnegative(),
  attemptIdentifier: attemptIdentifierSchema,
  /** Incarnation of the daemon that the attempt was sent to. */
  daemonIncarnation: z.int().nonnegative(),
});

/**
 * Schema of the state of an attempt as its daemon knows it. A daemon that
 * answers `neverSeen` also fences the attempt: it refuses a late arrival.
 */
export const resolutionSchema = z.enum([
  'done',
  'neverSeen',
  'running',
  'unknown',
]);

/** Schema of the answer to a resolve query. */
export const resolveAnswerSchema = z.object({
  attemptIdentifier: attemptIdentifierSchema,
  resolution: resolutionSchema,
});

/** Identifier of an attempt. */
export type AttemptIdentifier = z.infer<typeof attemptIdentifierSchema>;

/** An attempt. */
export type Attempt = z.infer<typeof attemptSchema>;

/** Refusal of an attempt. */
export type AttemptRefusal = z.infer<typeof attemptRefusalSchema>;

/** Head of an answer. */
export type AnswerHead = z.infer<typeof answerHeadSchema>;

/** End of an answer. */
export type AnswerEnd = z.infer<typeof answerEndSchema>;

/** Load report of an instance. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Query for the outcome of an attempt. */
export type ResolveQuery = z.infer<typeof resolveQuerySchema>;

/** State of an attempt as its daemon knows it. */
export type Resolution = z.infer<typeof resolutionSchema>;

/** Answer to a resolve query. */
export type ResolveAnswer = z.infer<typeof resolveAnswerSchema>;
