/** Messages of the control subsystem between daemons. */

import {raftMessageSchema} from 'jackdawcove-consensus';
import {
  configurationChangeSchema,
  configurationRecordSchema,
  historyRecordSchema,
  replicaAnnouncementSchema,
  revisionSchema,
  spreadMessageSchema,
  voterChangeSchema,
} from 'jackdawcove-revision';
import {failureSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of a message on the `consensus` channel. */
export const consensusChannelSchema = z.discriminatedUnion('kind', [
  z.object({
    announcement: replicaAnnouncementSchema,
    kind: z.literal('announcement'),
  }),
  z.object({kind: z.literal('raft'), message: raftMessageSchema}),
]);

/** Schema of a control request. */
export const controlRequestSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('applied')}),
  z.object({change: voterChangeSchema, kind: z.literal('changeVoters')}),
  z.object({kind: z.literal('history')}),
  z.object({change: configurationChangeSchema, kind: z.literal('propose')}),
  z.object({kind: z.literal('read'), revision: revisionSchema.optional()}),
]);

/** Schema of the answer to a control request. */
export const controlAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    digest: z.string(),
    kind: z.literal('applied'),
    revision: revisionSchema,
  }),
  z.object({failure: failureSchema, kind: z.literal('failure')}),
  z.object({kind: z.literal('history'), records: z.array(historyRecordSchema)}),
  z.object({kind: z.literal('notLeader'), leader: nameSchema.optional()}),
  z.object({kind: z.literal('record'), record: configurationRecordSchema}),
  z.object({kind: z.literal('voters'), voters: z.array(nameSchema)}),
]);

/** Schema of a message on the `revision` channel. */
export const revisionChannelSchema = z.discriminatedUnion('kind', [
  z.object({
    answer: controlAnswerSchema,
    identifier: z.string(),
    kind: z.literal('answer'),
  }),
  z.object({
    identifier: z.string(),
    kind: z.literal('request'),
    request: controlRequestSchema,
  }),
  z.object({kind: z.literal('spread'), message: spreadMessageSchema}),
]);

/** Message on the `consensus` channel. */
export type ConsensusChannelMessage = z.infer<typeof consensusChannelSchema>;

/** Message on the `revision` channel. */
export type RevisionChannelMessage = z.infer<typeof revisionChannelSchema>;

/** Control request. */
export type ControlRequest = z.infer<typeof controlRequestSchema>;

/** Answer to a control request. */
export type ControlAnswer = z.infer<typeof controlAnswerSchema>;
