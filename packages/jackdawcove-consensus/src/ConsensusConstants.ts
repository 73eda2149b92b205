/** Constants of the Raft replica. */

import type {ReplicaSet} from './Replica.js';

/** Shortest time without contact to a leader before a voter starts an election. */
export const ELECTION_TIMEOUT_MILLISECONDS = 1_000;

/** Shortest delay of another election, as a share of the election timeout. */
export const ELECTION_RETRY_SHARE = 0.25;

/** Interval between the heartbeats of a leader. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 200;

/** Maximum number of characters of snapshot data in one message. */
export const SNAPSHOT_CHUNK_CHARACTERS = 49_152;

/**
 * Maximum sum of the command sizes in one append request. The first entry is
 * sent whatever its size.
 */
export const MAXIMUM_APPEND_REQUEST_SIZE = 196_608;

/** Entries retained before the snapshot for replicas that lag slightly behind. */
export const RETAINED_ENTRIES = 64;

/** Replica set of a replica that has not joined a fleet yet. */
export const EMPTY_REPLICA_SET: ReplicaSet = Object.freeze({
  learners: [],
  voters: [],
});
