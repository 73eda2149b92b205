/** Default options and algorithm rules of a replica. */

import type {RaftOptions, RaftRules} from './RaftTypes.js';

import {
  ELECTION_TIMEOUT_MILLISECONDS,
  HEARTBEAT_INTERVAL_MILLISECONDS,
  RETAINED_ENTRIES,
  SNAPSHOT_CHUNK_CHARACTERS,
} from './ConsensusConstants.js';
import {findReplicaSetRefusal} from './findReplicaSetRefusal.js';

/** Rules of the Raft algorithm. */
export const RAFT_RULES: RaftRules = Object.freeze({
  findReplicaSetRefusal,
  // An entry of an earlier term is committed only by a later entry of the current
  // term.
  mayCommit: (entryTerm, currentTerm) => entryTerm === currentTerm,
  mayVote: (candidate, own) =>
    candidate.lastTerm > own.lastTerm ||
    (candidate.lastTerm === own.lastTerm &&
      candidate.lastIndex >= own.lastIndex),
});

/** Options without a default value. */
export type RequiredRaftOptions = Pick<
  RaftOptions,
  'measureCommand' | 'randomNumber'
>;

/**
 * Creates the options of a replica; omitted options get their default values.
 *
 * @example
 * createRaftOptions({measureCommand: () => 1, randomNumber: Math.random});
 */
export function createRaftOptions(
  options: Partial<RaftOptions> & RequiredRaftOptions,
): RaftOptions {
  return {
    electionTimeout: ELECTION_TIMEOUT_MILLISECONDS,
    heartbeatInterval: HEARTBEAT_INTERVAL_MILLISECONDS,
    retainedEntries: RETAINED_ENTRIES,
    rules: RAFT_RULES,
    snapshotChunkCharacters: SNAPSHOT_CHUNK_CHARACTERS,
    ...options,
  };
}
