/** Messages between replicas. */

import {z} from 'zod';

import {
  replicaIdentitySchema,
  replicaSchema,
  replicaSetSchema,
} from './Replica.js';

const indexSchema = z.int().min(0);
const termSchema = z.int().min(0);

/** Schema of the content of a log entry. */
export const entryContentSchema = z.discriminatedUnion('kind', [
  z.object({command: z.unknown(), kind: z.literal('command')}),
  z.object({kind: z.literal('noop')}),
  z.object({kind: z.literal('replicaSet'), replicaSet: replicaSetSchema}),
]);

/** Schema of a log entry. */
export const entrySchema = z.object({
  content: entryContentSchema,
  index: indexSchema,
  term: termSchema,
});

/** Schema of the content of a snapshot. */
export const snapshotContentSchema = z.object({
  /** State of the state machine, in the encoding of the state machine. */
  data: z.string(),
  replicaSet: replicaSetSchema,
});

/** Schema of a snapshot: the state after applying the entry at its index. */
export const snapshotSchema = z.object({
  content: snapshotContentSchema,
  index: indexSchema,
  term: termSchema,
});

const envelopeSchema = z.object({
  from: replicaSchema,
  term: termSchema,
  to: replicaIdentitySchema,
});

/** Schema of a message between replicas. */
export const raftMessageSchema = z.discriminatedUnion('kind', [
  envelopeSchema.extend({
    isPreVote: z.boolean(),
    /** Whether the current leader requested this election to transfer leadership. */
    isTransfer: z.boolean(),
    kind: z.literal('voteRequest'),
    lastIndex: indexSchema,
    lastTerm: termSchema,
  }),
  envelopeSchema.extend({
    isGranted: z.boolean(),
    isPreVote: z.boolean(),
    kind: z.literal('voteAnswer'),
  }),
  envelopeSchema.extend({
    commitIndex: indexSchema,
    entries: z.array(entrySchema),
    kind: z.literal('appendRequest'),
    previousIndex: indexSchema,
    previousTerm: termSchema,
    /** Number of the heartbeat round; the answer repeats it. */
    round: z.int().min(0),
  }),
  envelopeSchema.extend({
    /** On success the last matching index, otherwise the highest possible match. */
    index: indexSchema,
    isSuccess: z.boolean(),
    kind: z.literal('appendAnswer'),
    round: z.int().min(0),
  }),
  envelopeSchema.extend({
    /** Part of the snapshot data, starting at the offset. */
    chunk: z.string(),
    isLast: z.boolean(),
    kind: z.literal('snapshotRequest'),
    offset: indexSchema,
    replicaSet: replicaSetSchema,
    round: z.int().min(0),
    snapshotIndex: indexSchema,
    snapshotTerm: termSchema,
  }),
  envelopeSchema.extend({
    kind: z.literal('snapshotAnswer'),
    nextOffset: indexSchema,
    round: z.int().min(0),
    snapshotIndex: indexSchema,
  }),
  envelopeSchema.extend({kind: z.literal('timeoutNow')}),
]);

/** Content of a log entry. */
export type EntryContent = z.infer<typeof entryContentSchema>;

/** Log entry. */
export type Entry = z.infer<typeof entrySchema>;

/** Snapshot of the state machine and of the replica set. */
export type Snapshot = z.infer<typeof snapshotSchema>;

/** Message between replicas. */
export type RaftMessage = z.infer<typeof raftMessageSchema>;

/** Message of one kind. */
export type RaftMessageOf<Kind extends RaftMessage['kind']> = Extract<
  RaftMessage,
  {kind: Kind}
>;
