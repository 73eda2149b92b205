/** Options, effects and views of the Raft replica. */

import type {Entry, RaftMessage, Snapshot} from './RaftMessages.js';
import type {Replica, ReplicaSet} from './Replica.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

/** Term and vote, durable before they count. */
export type RaftHardState = {
  readonly term: number;
  /** Identity of the replica that got the vote in the term. */
  readonly vote: string | undefined;
};

/** State that a replica starts with, as read from its storage. */
export type RaftInitialState = {
  readonly entries: readonly Entry[];
  readonly hardState: RaftHardState;
  readonly snapshot: Snapshot | undefined;
};

/** Rules of the algorithm, passed in so that tests can break them. */
export type RaftRules = {
  /** Whether a leader may count replicas to commit an entry of this term. */
  readonly mayCommit: (entryTerm: number, currentTerm: number) => boolean;
  /** Whether a vote may go to a candidate whose log ends like this. */
  readonly mayVote: (candidate: LogEnd, own: LogEnd) => boolean;
};

/** End of a log. */
export type LogEnd = {
  readonly lastIndex: number;
  readonly lastTerm: number;
};

/** Options of a replica. */
export type RaftOptions = {
  readonly electionTimeout: Milliseconds;
  readonly heartbeatInterval: Milliseconds;
  /** Size of a command, in the unit of MAXIMUM_APPEND_REQUEST_SIZE. */
  readonly measureCommand: (command: unknown) => number;
  readonly randomNumber: RandomNumber;
  /** Entries kept before the snapshot for replicas that are a little behind. */
  readonly retainedEntries: number;
  readonly rules: RaftRules;
  readonly snapshotChunkCharacters: number;
};

/** What has to become durable. */
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

/** Effect of a command on a replica. */
export type RaftEffect =
  /** Committed entries, in order, each once per start of the replica. */
  | {readonly entries: readonly Entry[]; readonly kind: 'commit'}
  | {
      readonly identifier: string;
      readonly index: number;
      readonly kind: 'readReady';
    }
  | {readonly identifier: string; readonly kind: 'readRefused'}
  | {readonly kind: 'becameLeader'; readonly term: number}
  /** Replaces the state machine's state. */
  | {readonly kind: 'installSnapshot'; readonly snapshot: Snapshot}
  | {
      readonly kind: 'leaderChanged';
      readonly leader: Replica | undefined;
      readonly term: number;
    }
  | {readonly kind: 'lostLeadership'; readonly term: number}
  /** Answered by `persisted` with the number once durable, in order. */
  | {readonly kind: 'persist'; readonly number: number; readonly save: RaftSave}
  | {readonly kind: 'proposalRefused'; readonly reason: string}
  | {
      readonly kind: 'send';
      readonly message: RaftMessage;
      readonly to: Replica;
    };

/** Role of a replica; `stopped` after its storage failed. */
export type RaftRole =
  'candidate' | 'follower' | 'leader' | 'preCandidate' | 'stopped';

/** View of a replica. */
export type RaftStatus = {
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly leader: Replica | undefined;
  readonly replicaSet: ReplicaSet;
  /** Index of the entry that set the replica set. */
  readonly replicaSetIndex: number;
  readonly role: RaftRole;
  readonly term: number;
};
