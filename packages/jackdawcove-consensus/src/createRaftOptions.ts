/** Options of a replica with the rules of the algorithm. */

import type {RaftOptions, RaftRules} from './RaftTypes.js';

import {
  ELECTION_TIMEOUT_MILLISECONDS,
  HEARTBEAT_INTERVAL_MILLISECONDS,
  RETAINED_ENTRIES,
  SNAPSHOT_CHUNK_CHARACTERS,
} from './ConsensusConstants.js';

/** Rules of the algorithm. */
export const RAFT_RULES: RaftRules = Object.freeze({
  // Entries of earlier terms commit only with one of the current term after them.
  mayCommit: (entryTerm, currentTerm) => entryTerm === currentTerm,
  mayVote: (candidate, own) =>
    candidate.lastTerm > own.lastTerm ||
    (candidate.lastTerm === own.lastTerm &&
      candidate.lastIndex >= own.lastIndex),
});

/** Options that every replica has to be given. */
export type RequiredRaftOptions = Pick<
  RaftOptions,
  'measureCommand' | 'randomNumber'
>;

/**
 * Creates the options of a replica.
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
