/** Replicas of the log and their identities. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const MAXIMUM_IDENTITY_LENGTH = 64;

/** Schema of the identity of a data folder; an emptied folder gets a new one. */
export const replicaIdentitySchema = z
  .string()
  .min(1)
  .max(MAXIMUM_IDENTITY_LENGTH);

/** Schema of a replica: its daemon and the identity of its data folder. */
export const replicaSchema = z.object({
  daemon: nameSchema,
  identity: replicaIdentitySchema,
});

/** Identity of a replica's data folder. */
export type ReplicaIdentity = z.infer<typeof replicaIdentitySchema>;

/** A replica of the log. */
export type Replica = z.infer<typeof replicaSchema>;

/** Schema of the voters and the learners, which do not vote. */
export const replicaSetSchema = z.object({
  learners: z.array(replicaSchema),
  voters: z.array(replicaSchema),
});

/** Voters, and learners, which receive the log but do not vote. */
export type ReplicaSet = z.infer<typeof replicaSetSchema>;
