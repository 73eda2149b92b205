/** State that all roles of a replica share. */

import type {RaftMessage} from './RaftMessages.js';
import type {
  LogEnd,
  RaftEffect,
  RaftInitialState,
  RaftOptions,
} from './RaftTypes.js';
import type {Replica, ReplicaIdentity, ReplicaSet} from './Replica.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {ELECTION_RETRY_SHARE} from './ConsensusConstants.js';
import {RaftLog} from './RaftLog.js';
import {RaftOutput} from './RaftOutput.js';

/**
 * Term, vote, log and commit index of a replica.
 *
 * @example
 * core.adoptTerm(message.term);
 * core.commitTo(7);
 */
export class RaftCore {
  readonly log: RaftLog;
  readonly options: RaftOptions;
  readonly output: RaftOutput;
  readonly localReplica: Replica;
  #appliedIndex: number;
  #commitIndex: number;
  #electionDeadline: Milliseconds = 0;
  #leader: Replica | undefined;
  #lastLeaderContactAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #now: Milliseconds;
  #persistedIndex: number;
  #term: number;
  #vote: ReplicaIdentity | undefined;

  constructor(
    localReplica: Replica,
    state: RaftInitialState,
    options: RaftOptions,
    now: Milliseconds,
  ) {
    this.log = new RaftLog(state.snapshot, state.entries);
    this.options = options;
    this.output = new RaftOutput(this.log, state.hardState);
    this.localReplica = localReplica;
    this.#appliedIndex = state.snapshot?.index ?? 0;
    this.#commitIndex = this.#appliedIndex;
    this.#now = now;
    this.#persistedIndex = this.log.getEnd().lastIndex;
    this.#term = state.hardState.term;
    this.#vote = state.hardState.vote;
    this.resetElectionDeadline();
  }

  /** Advances the time; returns whether the process was paused. */
  advanceTime(now: Milliseconds): boolean {
    const wasPaused = now - this.#now > this.options.electionTimeout;
    this.#now = Math.max(now, this.#now);
    return wasPaused;
  }

  /** Adopts a higher term and clears the vote. */
  adoptTerm(term: number): void {
    if (term > this.#term) {
      this.#term = term;
      this.#vote = undefined;
    }
  }

  /** Votes for a replica in the current term. */
  voteFor(identity: ReplicaIdentity): void {
    this.#vote = identity;
    this.resetElectionDeadline();
  }

  resetElectionDeadline(): void {
    const {electionTimeout, randomNumber} = this.options;
    this.#electionDeadline = this.#now + electionTimeout * (1 + randomNumber());
  }

  /**
   * Schedules the next election after one that this replica started. It comes
   * sooner than the first, because two candidates may just have split the votes.
   */
  scheduleElectionRetry(): void {
    const {electionTimeout, randomNumber} = this.options;
    const minimum = electionTimeout * ELECTION_RETRY_SHARE;
    this.#electionDeadline =
      this.#now + minimum + (electionTimeout - minimum) * randomNumber();
  }

  /** Records that the leader sent a message. */
  recordLeaderContact(leader: Replica): void {
    this.#lastLeaderContactAt = this.#now;
    this.resetElectionDeadline();
    this.setLeader(leader);
  }

  setLeader(leader: Replica | undefined): void {
    if (leader?.identity !== this.#leader?.identity) {
      this.#leader = leader;
      this.output.add({kind: 'leaderChanged', leader, term: this.#term});
    }
  }

  /** Commits the entries up to an index, as far as the log holds them. */
  commitTo(index: number): void {
    const last = Math.min(index, this.log.getEnd().lastIndex);
    if (last <= this.#commitIndex) {
      return;
    }
    this.#commitIndex = last;
    const entries = this.log.getEntriesBetween(this.#appliedIndex, last);
    this.#appliedIndex = last;
    this.output.add({entries, kind: 'commit'});
  }

  /** Sets the applied and the commit index to those of an installed snapshot. */
  resetToSnapshot(index: number): void {
    this.#appliedIndex = index;
    this.#commitIndex = index;
    this.#persistedIndex = Math.min(this.#persistedIndex, index);
  }

  /**
   * Records that the log is durable up to an end; ignored if the entry there was
   * replaced in the meantime.
   */
  markPersisted(end: LogEnd): void {
    if (this.log.getTerm(end.lastIndex) === end.lastTerm) {
      this.#persistedIndex = end.lastIndex;
    }
  }

  /** Records that the entries from an index on were replaced. */
  markTruncated(from: number): void {
    this.#persistedIndex = Math.min(this.#persistedIndex, from - 1);
  }

  /** Returns the effects of the current command. */
  takeEffects(): readonly RaftEffect[] {
    return this.output.flush({term: this.#term, vote: this.#vote});
  }

  getAppliedIndex(): number {
    return this.#appliedIndex;
  }

  getCommitIndex(): number {
    return this.#commitIndex;
  }

  getElectionDeadline(): Milliseconds {
    return this.#electionDeadline;
  }

  getLeader(): Replica | undefined {
    return this.#leader;
  }

  getNow(): Milliseconds {
    return this.#now;
  }

  getPersistedIndex(): number {
    return this.#persistedIndex;
  }

  getTerm(): number {
    return this.#term;
  }

  getVote(): ReplicaIdentity | undefined {
    return this.#vote;
  }

  getOtherVoters(): readonly Replica[] {
    const {voters} = this.log.getReplicaSet().replicaSet;
    return voters.filter(
      ({identity}) => identity !== this.localReplica.identity,
    );
  }

  /** Whether the leader sent a message within the shortest election timeout. */
  hasRecentLeaderContact(): boolean {
    return this.#now - this.#lastLeaderContactAt < this.options.electionTimeout;
  }

  isVoter(): boolean {
    return this.#isVoterIn(this.log.getReplicaSet().replicaSet);
  }

  /**
   * Whether this replica may start an election. A voter whose removal is not yet
   * committed may, because it can be the only one with a log complete enough to win.
   */
  mayCampaign(): boolean {
    const {index, replicaSet} = this.log.getReplicaSet();
    return (
      this.#isVoterIn(replicaSet) ||
      (index > this.#commitIndex &&
        this.#isVoterIn(this.log.getReplicaSetBefore(index)))
    );
  }

  /** Sends a message to a replica. */
  send(message: RaftMessage, to: Replica): void {
    this.output.send(message, to);
  }

  #isVoterIn({voters}: ReplicaSet): boolean {
    return voters.some(({identity}) => identity === this.localReplica.identity);
  }
}
