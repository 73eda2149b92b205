/** State of a leader: replication progress of other replicas, pending reads. */

import type {Replica, ReplicaIdentity, ReplicaSet} from './Replica.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {EMPTY_REPLICA_SET} from './ConsensusConstants.js';
import {getVoterGroups, hasMajority} from './Replica.js';
import {ReplicationProgress} from './ReplicationProgress.js';

type Round = {readonly number: number; readonly startedAt: Milliseconds};

type PendingRead = {
  readonly identifier: string;
  readonly index: number;
  readonly round: number;
};

/**
 * Returns the highest value that a majority of the values reaches.
 *
 * @example
 * getMajorityValue([7, 5, 3]); // 5
 */
export function getMajorityValue(values: readonly number[]): number {
  const descending = values.toSorted((left, right) => right - left);
  return descending[Math.floor(values.length / 2)] ?? 0;
}

/**
 * State of a leader during one term.
 *
 * @example
 * const leader = new LeaderState(localReplica.identity, 9, now);
 * leader.updateReplicas(replicaSet, 10);
 */
export class LeaderState {
  /** Index of the first entry of the term. */
  readonly firstIndex: number;
  readonly startedAt: Milliseconds;
  readonly #localIdentity: ReplicaIdentity;
  #progress = new Map<ReplicaIdentity, ReplicationProgress>();
  #reads: PendingRead[] = [];
  #round = 0;
  /** Rounds from the newest one that a majority answered on. */
  #rounds: Round[] = [];
  #set = EMPTY_REPLICA_SET;

  constructor(
    localIdentity: ReplicaIdentity,
    firstIndex: number,
    now: Milliseconds,
  ) {
    this.firstIndex = firstIndex;
    this.startedAt = now;
    this.#localIdentity = localIdentity;
  }

  /** Adopts a new replica set and keeps the progress of remaining replicas. */
  updateReplicas(set: ReplicaSet, nextIndex: number): void {
    this.#set = set;
    const others = [...set.voters, ...set.learners].filter(
      ({identity}) => identity !== this.#localIdentity,
    );
    this.#progress = new Map(
      others.map((replica) => [
        replica.identity,
        this.#progress.get(replica.identity) ??
          new ReplicationProgress(replica, nextIndex),
      ]),
    );
  }

  /** Starts a heartbeat round and returns its number. */
  startRound(now: Milliseconds): number {
    this.#round += 1;
    const answered = this.#findAnsweredRound();
    this.#rounds = this.#rounds.slice(Math.max(0, answered));
    this.#rounds.push({number: this.#round, startedAt: now});
    return this.#round;
  }

  /** Start of the newest round that a majority has answered, if there is one. */
  getQuorumContactAt(): Milliseconds | undefined {
    return this.#rounds[this.#findAnsweredRound()]?.startedAt;
  }

  /** Adds a read that waits until a majority answers the current round. */
  addRead(identifier: string, index: number): void {
    this.#reads.push({identifier, index, round: this.#round});
  }

  /** Removes and returns the reads that a majority has confirmed. */
  takeConfirmedReads(): readonly PendingRead[] {
    const round = this.#getMajorityRound();
    const confirmed = this.#reads.filter((read) => read.round <= round);
    this.#reads = this.#reads.filter((read) => read.round > round);
    return confirmed;
  }

  /** Removes and returns every pending read. */
  takeAllReads(): readonly PendingRead[] {
    const reads = this.#reads;
    this.#reads = [];
    return reads;
  }

  /** Returns the highest index that a majority of the voters holds durably. */
  getMajorityIndex(localIndex: number): number {
    return this.#getMajorityOfVoters(localIndex, (progress) =>
      progress.getMatchIndex(),
    );
  }

  getProgress(identity: ReplicaIdentity): ReplicationProgress | undefined {
    return this.#progress.get(identity);
  }

  getProgresses(): readonly ReplicationProgress[] {
    return [...this.#progress.values()];
  }

  getRound(): number {
    return this.#round;
  }

  /** Whether a majority of the voters of a set has answered since a time. */
  isMajorityActive(set: ReplicaSet, since: Milliseconds): boolean {
    const isActive = ({identity}: Replica) => {
      const lastContactAt = this.#progress.get(identity)?.getLastContactAt();
      return (
        identity === this.#localIdentity ||
        (lastContactAt !== undefined && lastContactAt >= since)
      );
    };
    return hasMajority(set, isActive);
  }

  /** Returns the voter with the most complete log, apart from this leader. */
  getMostCompleteVoter(): ReplicationProgress | undefined {
    return this.#set.voters
      .flatMap(({identity}) => this.#progress.get(identity) ?? [])
      .toSorted(
        (left, right) =>
          right.getMatchIndex() - left.getMatchIndex() ||
          right.getLastContactAt() - left.getLastContactAt(),
      )[0];
  }

  #getMajorityRound(): number {
    return this.#getMajorityOfVoters(this.#round, (progress) =>
      progress.getRound(),
    );
  }

  #findAnsweredRound(): number {
    const answered = this.#getMajorityRound();
    return this.#rounds.findLastIndex(({number}) => number <= answered);
  }

  #getMajorityOfVoters(
    localValue: number,
    getValue: (progress: ReplicationProgress) => number,
  ): number {
    const getVoterValue = ({identity}: Replica) => {
      const progress = this.#progress.get(identity);
      if (identity === this.#localIdentity) {
        return localValue;
      }
      return progress === undefined ? 0 : getValue(progress);
    };
    return Math.min(
      ...getVoterGroups(this.#set).map((voters) =>
        getMajorityValue(voters.map(getVoterValue)),
      ),
    );
  }
}
