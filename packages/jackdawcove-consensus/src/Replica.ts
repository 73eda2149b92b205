/** Identity of the replicas of the log. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const MAXIMUM_IDENTITY_LENGTH = 64;

/** Schema of the identity of a data folder: new for every emptied folder. */
export const replicaIdentitySchema = z
  .string()
  .min(1)
  .max(MAXIMUM_IDENTITY_LENGTH);

/** Schema of a replica: the daemon that runs it and its data folder's identity. */
export const replicaSchema = z.object({
  daemon: nameSchema,
  identity: replicaIdentitySchema,
});

/** Identity of a replica's data folder. */
export type ReplicaIdentity = z.infer<typeof replicaIdentitySchema>;

/** A replica of the log. */
export type Replica = z.infer<typeof replicaSchema>;

/** Schema of the replicas that vote and of those that only learn. */
export const replicaSetSchema = z.object({
  learners: z.array(replicaSchema),
  voters: z.array(replicaSchema),
});

/** Replicas that vote and replicas that only learn. */
export type ReplicaSet = z.infer<typeof replicaSetSchema>;
