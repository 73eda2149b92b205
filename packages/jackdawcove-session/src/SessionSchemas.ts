/** Schemas of the data that daemons exchange about one call. */

import {failureSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const MAXIMUM_IDENTIFIER_LENGTH = 128;
const MAXIMUM_HEADERS = 256;
const MAXIMUM_TOKENS = 65_535;

const identifierSchema = z.string().min(1).max(MAXIMUM_IDENTIFIER_LENGTH);
const countSchema = z.int().nonnegative();

/** Schema of one header: its name and its value. */
export const headerSchema = z.tuple([z.string(), z.string()]);

/** Schema of the headers of a request or an answer, in order. */
export const headersSchema = z.array(headerSchema).max(MAXIMUM_HEADERS);

/** Schema of the head of a call; `attempt` is validated by its owner. */
export const callHeadSchema = z.object({
  attempt: z.unknown(),
  attemptIdentifier: identifierSchema,
  headers: headersSchema,
  remainingMilliseconds: z.number().nonnegative(),
  /** Retry tokens lent with the call; a refusal returns all of them. */
  tokens: z.int().min(0).max(MAXIMUM_TOKENS),
});

/** Schema of the head of an answer; `load` is validated by its owner. */
export const answerHeadSchema = z.object({
  executed: z.enum(['no', 'unknown', 'yes']),
  headers: headersSchema,
  load: z.unknown(),
  resultNumber: countSchema,
  status: z.int().min(100).max(999),
});

/** Schema of the end of an answer. */
export const answerEndSchema = z.object({
  checksum: countSchema,
  length: countSchema,
  load: z.unknown(),
  tokensReturned: z.int().min(0).max(MAXIMUM_TOKENS),
});

/** Schema of a refusal, which means that the call was not dispatched. */
export const callRefusalSchema = z.object({
  failure: failureSchema,
  load: z.unknown(),
  retryAfterMilliseconds: z.number().nonnegative(),
  tokensReturned: z.int().min(0).max(MAXIMUM_TOKENS),
});

/** One header: its name and its value. */
export type Header = z.infer<typeof headerSchema>;

/** Head of a call. */
export type CallHead = z.infer<typeof callHeadSchema>;

/** Head of an answer. */
export type AnswerHead = z.infer<typeof answerHeadSchema>;

/** End of an answer: length, checksum, load and returned retry tokens. */
export type AnswerEnd = z.infer<typeof answerEndSchema>;

/** Refusal of a call before dispatch. */
export type CallRefusal = z.infer<typeof callRefusalSchema>;
