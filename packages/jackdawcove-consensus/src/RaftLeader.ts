/** Leader role: replicates and commits entries, confirms reads, steps down. */

import type {RaftCore} from './RaftCore.js';
import type {EntryContent, RaftMessageOf} from './RaftMessages.js';
import type {ReplicaIdentity, ReplicaSet} from './Replica.js';
import type {ReplicationProgress} from './ReplicationProgress.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {createReplicationMessage} from './createReplicationMessage.js';
import {LeaderState} from './LeaderState.js';

type Transfer = {
  readonly deadline: Milliseconds;
  readonly target: ReplicaIdentity;
};

/**
 * Leader of one term.
 *
 * @example
 * const leader = new RaftLeader(core);
 * leader.append({command, kind: 'command'});
 */
export class RaftLeader {
  readonly #core: RaftCore;
  #nextHeartbeatAt: Milliseconds = 0;
  readonly #state: LeaderState;
  #transfer: Transfer | undefined;

  constructor(core: RaftCore) {
    this.#core = core;
    const {lastIndex} = core.log.getEnd();
    this.#state = new LeaderState(
      core.localReplica.identity,
      lastIndex + 1,
      core.getNow(),
    );
    this.#updateReplicas();
    this.append({kind: 'noop'});
  }

  /** Sends due heartbeats and ends an expired leadership transfer. */
  tick(): void {
    const now = this.#core.getNow();
    if (this.#transfer !== undefined && now >= this.#transfer.deadline) {
      this.#transfer = undefined;
    }
    if (now >= this.#nextHeartbeatAt) {
      this.#startRound();
    }
  }

  /** Appends an entry, or refuses it during a leadership transfer. */
  append(content: EntryContent): void {
    if (this.#transfer !== undefined) {
      const reason = 'a leadership transfer is in progress';
      this.#core.output.add({kind: 'proposalRefused', reason});
      return;
    }
    const {lastIndex} = this.#core.log.getEnd();
    const entry = {content, index: lastIndex + 1, term: this.#core.getTerm()};
    this.#core.log.append([entry]);
    this.#core.output.saveEntries([entry]);
    if (content.kind === 'replicaSet') {
      this.#updateReplicas();
    }
    this.#startRound();
  }

  /** Appends one step of a replica set change, or refuses it. */
  changeReplicaSet(replicaSet: ReplicaSet): void {
    const reason = this.findReplicaSetRefusal(replicaSet);
    if (reason === undefined) {
      this.append({kind: 'replicaSet', replicaSet});
    } else {
      this.#core.output.add({kind: 'proposalRefused', reason});
    }
  }

  /** Starts a heartbeat round that confirms leadership for a read. */
  read(identifier: string): void {
    if (!this.hasCommittedInTerm()) {
      this.#core.output.add({identifier, kind: 'readRefused'});
      return;
    }
    this.#startRound();
    this.#state.addRead(identifier, this.#core.getCommitIndex());
  }

  /** Transfers leadership to the voter with the most complete log. */
  transfer(): void {
    const target = this.#state.getMostCompleteVoter();
    if (target === undefined) {
      return;
    }
    this.#transfer = {
      deadline: this.#core.getNow() + this.#core.options.electionTimeout,
      target: target.replica.identity,
    };
    this.#replicate(target);
    this.#continueTransfer(target);
  }

  /**
   * Asks the voter with the most complete log to start an election immediately;
   * used when this leader was removed from the voters.
   */
  triggerElection(): void {
    const target = this.#state.getMostCompleteVoter();
    if (target !== undefined) {
      this.#sendTimeoutNow(target);
    }
  }

  /** Refuses pending reads when leadership ends. */
  stepDown(): void {
    for (const {identifier} of this.#state.takeAllReads()) {
      this.#core.output.add({identifier, kind: 'readRefused'});
    }
  }

  handleAppendAnswer(answer: RaftMessageOf<'appendAnswer'>): void {
    const progress = this.#recordAnswer(answer);
    if (progress === undefined) {
      return;
    }
    if (answer.isSuccess) {
      progress.acknowledge(answer.index);
      this.advanceCommit();
    } else {
      progress.backtrack(answer.index);
    }
    if (progress.getNextIndex() <= this.#core.log.getEnd().lastIndex) {
      this.#replicate(progress);
    }
    this.#continueTransfer(progress);
  }

  handleSnapshotAnswer(answer: RaftMessageOf<'snapshotAnswer'>): void {
    const progress = this.#recordAnswer(answer);
    if (progress !== undefined) {
      progress.continueSnapshot(answer.snapshotIndex, answer.nextOffset);
      this.#replicate(progress);
    }
  }

  /** Commits the entries that a majority holds durably. */
  advanceCommit(): void {
    const core = this.#core;
    const index = this.#state.getMajorityIndex(core.getPersistedIndex());
    const term = core.log.getTerm(index) ?? 0;
    if (core.options.rules.mayCommit(term, core.getTerm())) {
      core.commitTo(index);
    }
  }

  findReplicaSetRefusal(next: ReplicaSet): string | undefined {
    return this.#core.options.rules.findReplicaSetRefusal(next, {
      activeSince: this.#core.getNow() - this.#core.options.electionTimeout,
      commitIndex: this.#core.getCommitIndex(),
      leader: this.#state,
      log: this.#core.log,
    });
  }

  /** Whether a replica holds the committed log. */
  isCaughtUp(identity: ReplicaIdentity): boolean {
    const progress = this.#state.getProgress(identity);
    const matchIndex = progress?.getMatchIndex() ?? 0;
    return matchIndex >= this.#core.getCommitIndex();
  }

  /**
   * Returns the time since a replica last answered; 0 for this replica. One that
   * has not answered in this term has been silent since the election began, at
   * least: an election follows an election timeout without a leader.
   */
  getSilence(identity: ReplicaIdentity): Milliseconds {
    const progress = this.#state.getProgress(identity);
    const electionStartedAt =
      this.#state.startedAt - this.#core.options.electionTimeout;
    return progress === undefined
      ? 0
      : this.#core.getNow() -
          Math.max(progress.getLastContactAt(), electionStartedAt);
  }

  /** Whether an entry of this term is committed. */
  hasCommittedInTerm(): boolean {
    return this.#core.getCommitIndex() >= this.#state.firstIndex;
  }

  /**
   * Time at which the newest heartbeat round began that a majority answered; undefined
   * until an entry of this term is committed. No other leader had committed by then.
   */
  getQuorumContactAt(): Milliseconds | undefined {
    return this.hasCommittedInTerm()
      ? this.#state.getQuorumContactAt()
      : undefined;
  }

  /** Whether a majority of the voters answered within an election timeout. */
  hasQuorum(): boolean {
    const {electionTimeout} = this.#core.options;
    const since = this.#core.getNow() - electionTimeout;
    const {replicaSet} = this.#core.log.getReplicaSet();
    return (
      this.#state.startedAt >= since ||
      this.#state.isMajorityActive(replicaSet, since)
    );
  }

  /** Whether the removal of this replica from the voters is committed. */
  isRemoved(): boolean {
    const {index} = this.#core.log.getReplicaSet();
    return index <= this.#core.getCommitIndex() && !this.#core.isVoter();
  }

  #updateReplicas(): void {
    const {replicaSet} = this.#core.log.getReplicaSet();
    const {lastIndex} = this.#core.log.getEnd();
    this.#state.updateReplicas(replicaSet, lastIndex + 1);
  }

  #recordAnswer(
    answer: RaftMessageOf<'appendAnswer' | 'snapshotAnswer'>,
  ): ReplicationProgress | undefined {
    const progress = this.#state.getProgress(answer.from.identity);
    progress?.recordContact(answer.round, this.#core.getNow());
    for (const {identifier, index} of this.#state.takeConfirmedReads()) {
      this.#core.output.add({identifier, index, kind: 'readReady'});
    }
    return progress;
  }

  #startRound(): void {
    const {heartbeatInterval} = this.#core.options;
    const now = this.#core.getNow();
    const isHeartbeat = now >= this.#nextHeartbeatAt;
    this.#nextHeartbeatAt = now + heartbeatInterval;
    this.#state.startRound(now);
    for (const progress of this.#state.getProgresses()) {
      if (isHeartbeat) {
        progress.rewind();
      }
      this.#replicate(progress);
    }
  }

  #replicate(progress: ReplicationProgress): void {
    const core = this.#core;
    const message = createReplicationMessage(
      {
        commitIndex: core.getCommitIndex(),
        from: core.localReplica,
        log: core.log,
        options: core.options,
        round: this.#state.getRound(),
        term: core.getTerm(),
      },
      progress,
    );
    core.send(message, progress.replica);
  }

  #continueTransfer(progress: ReplicationProgress): void {
    const {identity} = progress.replica;
    const core = this.#core;
    const isComplete = progress.getMatchIndex() === core.log.getEnd().lastIndex;
    if (this.#transfer?.target === identity && isComplete) {
      this.#sendTimeoutNow(progress);
    }
  }

  #sendTimeoutNow({replica}: ReplicationProgress): void {
    const {localReplica} = this.#core;
    const term = this.#core.getTerm();
    const to = replica.identity;
    this.#core.send(
      {from: localReplica, kind: 'timeoutNow', term, to},
      replica,
    );
  }
}
