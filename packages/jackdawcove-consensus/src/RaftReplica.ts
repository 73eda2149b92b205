/** Log replica that runs the Raft algorithm (Ongaro and Ousterhout, 2014). */

import type {RaftMessage, RaftMessageOf} from './RaftMessages.js';
import type {
  RaftEffect,
  RaftInitialState,
  RaftOptions,
  RaftRole,
  RaftStatus,
} from './RaftTypes.js';
import type {Replica, ReplicaIdentity, ReplicaSet} from './Replica.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {match} from 'ts-pattern';

import {RaftCore} from './RaftCore.js';
import {RaftFollower} from './RaftFollower.js';
import {RaftLeader} from './RaftLeader.js';
import {hasMajority} from './Replica.js';

type ElectionKind = {
  readonly isPreVote: boolean;
  readonly isTransfer: boolean;
};

const NOT_LEADER_REASON = 'this replica is not the leader';

/**
 * Replica of the log. Commands return effects for the owner to execute. After a
 * `persist` effect is durable, the owner calls `persisted`, which returns the
 * effects that depend on it.
 *
 * @example
 * const replica = new RaftReplica(localReplica, initialState, options, now);
 * const effects = replica.tick(now + 50);
 */
export class RaftReplica {
  readonly #core: RaftCore;
  readonly #follower: RaftFollower;
  #leader: RaftLeader | undefined;
  #role: RaftRole = 'follower';
  #grantedVotes = new Set<ReplicaIdentity>();

  constructor(
    localReplica: Replica,
    state: RaftInitialState,
    options: RaftOptions,
    now: Milliseconds,
  ) {
    this.#core = new RaftCore(localReplica, state, options, now);
    this.#follower = new RaftFollower(this.#core);
  }

  /** Advances time: starts elections, sends heartbeats, checks the quorum. */
  tick(now: Milliseconds): readonly RaftEffect[] {
    return this.#run(now, () => {
      if (this.#leader !== undefined) {
        this.#tickLeader(this.#leader);
      } else if (now >= this.#core.getElectionDeadline()) {
        this.#tickFollower();
      }
    });
  }

  /** Handles a message from another replica. */
  receive(message: RaftMessage, now: Milliseconds): readonly RaftEffect[] {
    return this.#run(now, () => {
      if (message.to === this.#core.localReplica.identity) {
        this.#dispatch(message);
      }
    });
  }

  /** Records that a persist and all persists before it are durable. */
  persisted(number: number, now: Milliseconds): readonly RaftEffect[] {
    return this.#run(now, () => {
      const end = this.#core.output.release(number);
      if (end !== undefined) {
        this.#core.markPersisted(end);
      }
      this.#leader?.advanceCommit();
    });
  }

  /** Appends a command, or refuses it when this replica is not the leader. */
  propose(command: unknown, now: Milliseconds): readonly RaftEffect[] {
    return this.#runLeader(now, (leader) => {
      leader.append({command, kind: 'command'});
    });
  }

  /** Appends one step of a replica set change, or refuses it. */
  proposeReplicaSet(
    replicaSet: ReplicaSet,
    now: Milliseconds,
  ): readonly RaftEffect[] {
    return this.#runLeader(now, (leader) => {
      leader.changeReplicaSet(replicaSet);
    });
  }

  /** Confirms leadership with a heartbeat round, then reports the read index. */
  read(identifier: string, now: Milliseconds): readonly RaftEffect[] {
    return this.#run(now, () => {
      if (this.#leader === undefined) {
        this.#core.output.add({identifier, kind: 'readRefused'});
      } else {
        this.#leader.read(identifier);
      }
    });
  }

  /** Replaces applied entries by a snapshot of the state machine. */
  compact(
    index: number,
    data: string,
    now: Milliseconds,
  ): readonly RaftEffect[] {
    return this.#run(now, () => {
      const {log, options, output} = this.#core;
      const snapshotIndex = log.getSnapshot()?.index ?? 0;
      if (index > snapshotIndex && index <= this.#core.getAppliedIndex()) {
        output.saveSnapshot(log.compact(index, data, options.retainedEntries));
      }
    });
  }

  /** Transfers leadership to the voter with the most complete log. */
  transferLeadership(now: Milliseconds): readonly RaftEffect[] {
    return this.#run(now, () => {
      this.#leader?.transfer();
    });
  }

  /** Stops permanently because the storage can no longer persist anything. */
  failStorage(now: Milliseconds): readonly RaftEffect[] {
    return this.#run(now, () => {
      this.#becomeFollower(this.#core.getTerm());
      this.#core.setLeader(undefined);
      this.#role = 'stopped';
    });
  }

  /** Returns the reason to refuse a replica set change, or undefined if safe. */
  findReplicaSetRefusal(next: ReplicaSet): string | undefined {
    const leader = this.#leader;
    return leader ? leader.findReplicaSetRefusal(next) : NOT_LEADER_REASON;
  }

  /** Returns whether this leader knows that a replica holds the committed log. */
  isCaughtUp(identity: ReplicaIdentity): boolean {
    return this.#leader?.isCaughtUp(identity) ?? false;
  }

  /** Returns the time since a replica last answered this leader; else 0. */
  getSilence(identity: ReplicaIdentity): Milliseconds {
    return this.#leader?.getSilence(identity) ?? 0;
  }

  /**
   * Returns whether this replica is the leader and may serve requests, because it
   * has committed an entry of its term.
   */
  isReadyLeader(): boolean {
    return this.#leader?.hasCommittedInTerm() ?? false;
  }

  getStatus(): RaftStatus {
    const {index, replicaSet} = this.#core.log.getReplicaSet();
    return {
      commitIndex: this.#core.getCommitIndex(),
      lastIndex: this.#core.log.getEnd().lastIndex,
      leader: this.#core.getLeader(),
      quorumContactAt: this.#leader?.getQuorumContactAt(),
      replicaSet,
      replicaSetIndex: index,
      role: this.#role,
      term: this.#core.getTerm(),
    };
  }

  #run(now: Milliseconds, command: () => void): readonly RaftEffect[] {
    if (this.#role === 'stopped') {
      return [];
    }
    if (this.#core.advanceTime(now)) {
      this.#becomeFollower(this.#core.getTerm());
    }
    command();
    if (this.#leader?.isRemoved() === true) {
      this.#leader.triggerElection();
      this.#becomeFollower(this.#core.getTerm());
    }
    return this.#core.takeEffects();
  }

  #runLeader(
    now: Milliseconds,
    command: (leader: RaftLeader) => void,
  ): readonly RaftEffect[] {
    return this.#run(now, () => {
      if (this.#leader === undefined) {
        const reason = NOT_LEADER_REASON;
        this.#core.output.add({kind: 'proposalRefused', reason});
      } else {
        command(this.#leader);
      }
    });
  }

  #tickLeader(leader: RaftLeader): void {
    if (leader.hasQuorum()) {
      leader.tick();
    } else {
      this.#becomeFollower(this.#core.getTerm());
    }
  }

  #tickFollower(): void {
    this.#core.setLeader(undefined);
    if (this.#core.mayCampaign()) {
      this.#startElection({isPreVote: true, isTransfer: false});
    }
  }

  #becomeFollower(term: number): void {
    if (this.#leader !== undefined) {
      this.#leader.stepDown();
      this.#leader = undefined;
      this.#core.output.add({
        kind: 'lostLeadership',
        term: this.#core.getTerm(),
      });
      this.#core.setLeader(undefined);
    }
    this.#core.adoptTerm(term);
    this.#core.resetElectionDeadline();
    this.#role = 'follower';
  }

  #startElection({isPreVote, isTransfer}: ElectionKind): void {
    const core = this.#core;
    const {identity} = core.localReplica;
    core.setLeader(undefined);
    this.#role = isPreVote ? 'preCandidate' : 'candidate';
    this.#grantedVotes = new Set([identity]);
    if (!isPreVote) {
      core.adoptTerm(core.getTerm() + 1);
      core.voteFor(identity);
    }
    core.scheduleElectionRetry();
    for (const voter of core.getOtherVoters()) {
      core.send(
        {
          ...core.log.getEnd(),
          from: core.localReplica,
          isPreVote,
          isTransfer,
          kind: 'voteRequest',
          term: isPreVote ? core.getTerm() + 1 : core.getTerm(),
          to: voter.identity,
        },
        voter,
      );
    }
  }

  #dispatch(message: RaftMessage): void {
    match(message)
      .with({kind: 'appendRequest'}, (request) => {
        if (this.#acceptLeader(request)) {
          this.#follower.handleAppendRequest(request);
        }
      })
      .with({kind: 'snapshotRequest'}, (request) => {
        if (this.#acceptLeader(request)) {
          this.#follower.handleSnapshotRequest(request);
        }
      })
      .with({kind: 'appendAnswer'}, (answer) => {
        this.#getLeaderForAnswer(answer)?.handleAppendAnswer(answer);
      })
      .with({kind: 'snapshotAnswer'}, (answer) => {
        this.#getLeaderForAnswer(answer)?.handleSnapshotAnswer(answer);
      })
      .with({kind: 'voteRequest'}, (request) => {
        this.#handleVoteRequest(request);
      })
      .with({kind: 'voteAnswer'}, (answer) => {
        this.#handleVoteAnswer(answer);
      })
      .with({kind: 'timeoutNow'}, ({term}) => {
        if (term === this.#core.getTerm() && this.#core.mayCampaign()) {
          this.#startElection({isPreVote: false, isTransfer: true});
        }
      })
      .exhaustive();
  }

  #handleVoteRequest(request: RaftMessageOf<'voteRequest'>): void {
    const core = this.#core;
    const isLeaderAlive =
      this.#leader !== undefined || core.hasRecentLeaderContact();
    if (isLeaderAlive && !request.isTransfer) {
      return;
    }
    if (!request.isPreVote && request.term > core.getTerm()) {
      this.#becomeFollower(request.term);
    }
    const isGranted = this.#mayGrantVote(request);
    if (isGranted && !request.isPreVote) {
      core.voteFor(request.from.identity);
    }
    core.send(
      {
        from: core.localReplica,
        isGranted,
        isPreVote: request.isPreVote,
        kind: 'voteAnswer',
        term: isGranted ? request.term : core.getTerm(),
        to: request.from.identity,
      },
      request.from,
    );
  }

  #mayGrantVote(request: RaftMessageOf<'voteRequest'>): boolean {
    const core = this.#core;
    if (!core.options.rules.mayVote(request, core.log.getEnd())) {
      return false;
    }
    if (request.isPreVote) {
      return request.term > core.getTerm();
    }
    const vote = core.getVote() ?? request.from.identity;
    return request.term === core.getTerm() && vote === request.from.identity;
  }

  #handleVoteAnswer(answer: RaftMessageOf<'voteAnswer'>): void {
    const core = this.#core;
    if (!answer.isGranted) {
      if (answer.term > core.getTerm()) {
        this.#becomeFollower(answer.term);
      }
      return;
    }
    const isExpected = answer.isPreVote
      ? this.#role === 'preCandidate' && answer.term === core.getTerm() + 1
      : this.#role === 'candidate' && answer.term === core.getTerm();
    if (!isExpected) {
      return;
    }
    this.#grantedVotes.add(answer.from.identity);
    if (!this.#hasMajorityOfVotes()) {
      return;
    }
    if (answer.isPreVote) {
      this.#startElection({isPreVote: false, isTransfer: false});
    } else {
      this.#becomeLeader();
    }
  }

  #hasMajorityOfVotes(): boolean {
    const {replicaSet} = this.#core.log.getReplicaSet();
    return hasMajority(replicaSet, ({identity}) =>
      this.#grantedVotes.has(identity),
    );
  }

  #becomeLeader(): void {
    const core = this.#core;
    this.#role = 'leader';
    core.setLeader(core.localReplica);
    core.output.add({kind: 'becameLeader', term: core.getTerm()});
    this.#leader = new RaftLeader(core);
  }

  /** Follows the sender unless its term is stale; returns whether it was accepted. */
  #acceptLeader(
    request: RaftMessageOf<'appendRequest' | 'snapshotRequest'>,
  ): boolean {
    if (request.term < this.#core.getTerm()) {
      this.#follower.rejectStaleRequest(request);
      return false;
    }
    this.#becomeFollower(request.term);
    this.#core.recordLeaderContact(request.from);
    return true;
  }

  #getLeaderForAnswer(
    answer: RaftMessageOf<'appendAnswer' | 'snapshotAnswer'>,
  ): RaftLeader | undefined {
    if (answer.term > this.#core.getTerm()) {
      this.#becomeFollower(answer.term);
    }
    return answer.term === this.#core.getTerm() ? this.#leader : undefined;
  }
}
