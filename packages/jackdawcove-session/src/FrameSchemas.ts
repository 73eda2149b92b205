/** Schemas of the frames of a session. */

import {addressSchema, failureSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  answerEndSchema,
  answerHeadSchema,
  callHeadSchema,
} from './SessionSchemas.js';

const MAXIMUM_CHANNEL_LENGTH = 64;
const MAXIMUM_PROOFS = 2;

const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
);
const countSchema = z.int().nonnegative();
const channelSchema = z.string().min(1).max(MAXIMUM_CHANNEL_LENGTH);
const endSchema = z.object({checksum: countSchema, length: countSchema});

const greetingSchema = z.object({
  address: addressSchema,
  incarnation: countSchema,
  name: nameSchema,
  nonce: bytesSchema,
  version: countSchema,
});

/** Schemas of the frames by kind; fields are sent in the order of the keys. */
export const FRAME_SCHEMAS = {
  accepted: z.object({}),
  acknowledge: z.object({frames: countSchema}),
  answer: z.object({
    callNumber: countSchema,
    end: answerEndSchema.optional(),
    head: answerHeadSchema,
  }),
  answerBody: z.object({callNumber: countSchema}),
  answerEnd: z.object({callNumber: countSchema, end: answerEndSchema}),
  call: z.object({
    callNumber: countSchema,
    end: endSchema.optional(),
    head: callHeadSchema,
  }),
  callBody: z.object({callNumber: countSchema}),
  callEnd: z.object({callNumber: countSchema, end: endSchema}),
  cancel: z.object({callNumber: countSchema}),
  challenge: greetingSchema.extend({
    proofs: z.array(bytesSchema).max(MAXIMUM_PROOFS),
  }),
  credit: z.object({byteCount: countSchema, callNumber: countSchema}),
  failure: z.object({
    callNumber: countSchema,
    failure: failureSchema,
    tokensReturned: countSchema,
  }),
  goodbye: z.object({}),
  hello: greetingSchema.extend({expectedName: nameSchema.optional()}),
  message: z.object({channel: channelSchema, message: z.unknown()}),
  ping: z.object({frames: countSchema, pingNumber: countSchema}),
  pong: z.object({frames: countSchema, pingNumber: countSchema}),
  proof: z.object({proof: bytesSchema}),
  recordsReset: z.object({}),
  refusal: z.object({
    callNumber: countSchema,
    failure: failureSchema,
    load: z.unknown(),
    retryAfterMilliseconds: z.number().nonnegative(),
    tokensReturned: countSchema,
  }),
  reject: z.object({failure: failureSchema}),
  resolution: z.object({
    callNumber: countSchema,
    resolution: z.enum(['done', 'neverSeen', 'running', 'unknown']),
  }),
  resolve: z.object({
    ageMilliseconds: z.number().nonnegative(),
    attemptIdentifier: z.string().min(1),
    callNumber: countSchema,
    hasHead: z.boolean(),
    receivedBytes: countSchema,
    targetIncarnation: countSchema,
  }),
} as const;

/** Kind of a frame. */
export type FrameKind = keyof typeof FRAME_SCHEMAS;

/** Fields of the frames by kind. */
export type FrameFields = {
  [Kind in FrameKind]: z.infer<(typeof FRAME_SCHEMAS)[Kind]>;
};

/** A decoded frame. */
export type Frame = {
  [Kind in FrameKind]: {
    readonly body: Uint8Array;
    readonly fields: FrameFields[Kind];
    readonly kind: Kind;
  };
}[FrameKind];

/** Kinds of frames by their number on the wire; a number is never reused. */
export const FRAME_KINDS: readonly FrameKind[] = [
  'hello',
  'challenge',
  'proof',
  'accepted',
  'reject',
  'call',
  'callBody',
  'callEnd',
  'cancel',
  'answer',
  'answerBody',
  'answerEnd',
  'refusal',
  'failure',
  'credit',
  'resolve',
  'resolution',
  'message',
  'ping',
  'pong',
  'acknowledge',
  'goodbye',
  'recordsReset',
];

/** Kinds of frames that are not counted in acknowledgements. */
export const UNACKNOWLEDGED_KINDS: ReadonlySet<FrameKind> = new Set<FrameKind>([
  'accepted',
  'acknowledge',
  'challenge',
  'goodbye',
  'hello',
  'ping',
  'pong',
  'proof',
  'recordsReset',
  'reject',
]);
