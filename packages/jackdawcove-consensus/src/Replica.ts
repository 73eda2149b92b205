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
  /** Voter that a new voter replaces, until the next step removes it. */
  replacing: z
    .object({added: replicaIdentitySchema, removed: replicaIdentitySchema})
    .optional(),
  voters: z.array(replicaSchema),
});

/** Voters, and learners, which receive the log but do not vote. */
export type ReplicaSet = z.infer<typeof replicaSetSchema>;

/**
 * Returns the groups of voters of which each needs a majority. While one voter
 * replaces another, these are the voters before and after the replacement, so that
 * neither of the two is needed (joint consensus; Ongaro and Ousterhout, 2014).
 *
 * @example
 * getVoterGroups({learners: [], voters}); // [voters]
 */
export function getVoterGroups({
  replacing,
  voters,
}: ReplicaSet): readonly (readonly Replica[])[] {
  return replacing === undefined
    ? [voters]
    : [replacing.added, replacing.removed].map((excluded) =>
        voters.filter(({identity}) => identity !== excluded),
      );
}

/**
 * Returns whether a majority of each group of voters fulfils a condition.
 *
 * @example
 * hasMajority(replicaSet, ({identity}) => granted.has(identity));
 */
export function hasMajority(
  set: ReplicaSet,
  isCounted: (voter: Replica) => boolean,
): boolean {
  return getVoterGroups(set).every(
    (voters) => voters.filter(isCounted).length > Math.floor(voters.length / 2),
  );
}
