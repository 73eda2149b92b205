export type {
  Entry,
  EntryContent,
  RaftMessage,
  Snapshot,
} from './RaftMessages.js';
export type {
  LogEnd,
  RaftEffect,
  RaftHardState,
  RaftInitialState,
  RaftOptions,
  RaftRole,
  RaftRules,
  RaftSave,
  RaftStatus,
} from './RaftTypes.js';
export type {Replica, ReplicaIdentity, ReplicaSet} from './Replica.js';

export {EMPTY_REPLICA_SET} from './ConsensusConstants.js';
export {createRaftOptions, RAFT_RULES} from './createRaftOptions.js';
export {
  entryContentSchema,
  entrySchema,
  raftMessageSchema,
  snapshotContentSchema,
  snapshotSchema,
} from './RaftMessages.js';
export {RaftReplica} from './RaftReplica.js';
export {
  replicaIdentitySchema,
  replicaSchema,
  replicaSetSchema,
} from './Replica.js';
