/** Constants of the Raft replica. */

import type {ReplicaSet} from './Replica.js';

/** Shortest time without a leader after which a voter seeks election. */
export const ELECTION_TIMEOUT_MILLISECONDS = 1_000;

/** Time between two heartbeats of a leader. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 200;

/** Characters of a snapshot in one message. */
export const SNAPSHOT_CHUNK_CHARACTERS = 49_152;

/** Sum of the command sizes in one append request, beyond its first entry. */
export const MAXIMUM_APPEND_REQUEST_SIZE = 196_608;

/** Entries kept before the snapshot for voters that are a little behind. */
export const RETAINED_ENTRIES = 64;

/** Replica set of a replica that belongs to no fleet yet. */
export const EMPTY_REPLICA_SET: ReplicaSet = Object.freeze({
  learners: [],
  voters: [],
});
