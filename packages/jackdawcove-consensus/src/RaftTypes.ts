/** Options, effects and status of the Raft replica. */

import type {ReplicaSetContext} from './findReplicaSetRefusal.js';
import type {Entry, RaftMessage, Snapshot} from './RaftMessages.js';
import type {Replica, ReplicaSet} from './Replica.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

/** Term and vote, which must be durable before they take effect. */
export type RaftHardState = {
  readonly term: number;
  /** Identity of the replica that received the vote in this term. */
  readonly vote: string | undefined;
};

/** Initial state of a replica, as read from its storage. */
export type RaftInitialState = {
  readonly entries: readonly Entry[];
  readonly hardState: RaftHardState;
  readonly snapshot: Snapshot | undefined;
};

/** Rules of the Raft algorithm, injected so that tests can replace them. */
export type RaftRules = {
  /** Reason to refuse a step of the replica set, or undefined if it is safe. */
  readonly findReplicaSetRefusal: (
    next: ReplicaSet,
    context: ReplicaSetContext,
  ) => string | undefined;
  /** Whether a leader may commit an entry of this term by counting replicas. */
  readonly mayCommit: (entryTerm: number, currentTerm: number) => boolean;
  /** Whether the log of a candidate is complete enough to grant it a vote. */
  readonly mayVote: (candidate: LogEnd, own: LogEnd) => boolean;
};

/** Index and term of the last entry of a log. */
export type LogEnd = {
  readonly lastIndex: number;
  readonly lastTerm: number;
};

/** Options of a replica. */
export type RaftOptions = {
  readonly electionTimeout: Milliseconds;
  readonly heartbeatInterval: Milliseconds;
  /** Returns a command's size, in the unit of MAXIMUM_APPEND_REQUEST_SIZE. */
  readonly measureCommand: (command: unknown) => number;
  readonly randomNumber: RandomNumber;
  /** Entries retained before the snapshot for replicas that lag slightly behind. */
  readonly retainedEntries: number;
  readonly rules: RaftRules;
  readonly snapshotChunkCharacters: number;
};

/** State to write to durable storage. */
export type RaftSave =
  | {
      readonly entries: readonly Entry[];
      readonly hardState: RaftHardState | undefined;
      readonly kind: 'update';
    }
  | {
      readonly entries: readonly Entry[];
      readonly hardState: RaftHardState;
      readonly kind: 'snapshot';
      readonly snapshot: Snapshot;
    };

/** Effect of a command, to be executed by the owner of the replica. */
export type RaftEffect =
  /** Committed entries in log order, reported once per start of the replica. */
  | {readonly entries: readonly Entry[]; readonly kind: 'commit'}
  | {
      readonly identifier: string;
      readonly index: number;
      readonly kind: 'readReady';
    }
  | {readonly identifier: string; readonly kind: 'readRefused'}
  | {readonly kind: 'becameLeader'; readonly term: number}
  /** Replaces the state of the state machine. */
  | {readonly kind: 'installSnapshot'; readonly snapshot: Snapshot}
  | {
      readonly kind: 'leaderChanged';
      readonly leader: Replica | undefined;
      readonly term: number;
    }
  | {readonly kind: 'lostLeadership'; readonly term: number}
  /** The owner calls `persisted` with the number once durable, in order. */
  | {readonly kind: 'persist'; readonly number: number; readonly save: RaftSave}
  | {readonly kind: 'proposalRefused'; readonly reason: string}
  | {
      readonly kind: 'send';
      readonly message: RaftMessage;
      readonly to: Replica;
    };

/** Role of a replica; `stopped` after a storage failure. */
export type RaftRole =
  'candidate' | 'follower' | 'leader' | 'preCandidate' | 'stopped';

/** Status of a replica. */
export type RaftStatus = {
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly leader: Replica | undefined;
  /** Start of the newest heartbeat round that a majority answered this leader. */
  readonly quorumContactAt: Milliseconds | undefined;
  readonly replicaSet: ReplicaSet;
  /** Index of the entry that introduced the replica set. */
  readonly replicaSetIndex: number;
  readonly role: RaftRole;
  readonly term: number;
};
