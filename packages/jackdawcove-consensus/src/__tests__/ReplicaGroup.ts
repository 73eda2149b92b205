/** Replicas in one process; a test controls message delivery and time. */

import type {
  Entry,
  RaftEffect,
  RaftHardState,
  RaftMessage,
  RaftRules,
  RaftSave,
  Replica,
  Snapshot,
} from '../index.js';

import {createRaftOptions, RAFT_RULES, RaftReplica} from '../index.js';

const MAXIMUM_ELECTION_ATTEMPTS = 3;
const ELECTION_TIMEOUT_MILLISECONDS = 1_000;

type Disk = {
  entries: readonly Entry[];
  hardState: RaftHardState;
  snapshot: Snapshot | undefined;
};

type Member = {
  committed: Entry[];
  disk: Disk;
  effects: RaftEffect[];
  raft: RaftReplica;
  readonly replica: Replica;
};

/** Options of a group. */
export type ReplicaGroupOptions = {
  readonly names?: readonly string[];
  readonly rules?: Partial<RaftRules>;
};

function applySave(disk: Disk, save: RaftSave): Disk {
  if (save.kind === 'snapshot') {
    return save;
  }
  const start = save.entries[0]?.index ?? Number.POSITIVE_INFINITY;
  return {
    ...disk,
    entries: [
      ...disk.entries.filter(({index}) => index < start),
      ...save.entries,
    ],
    hardState: save.hardState ?? disk.hardState,
  };
}

/** Replicas in one process. */
export class ReplicaGroup {
  /** Messages in flight. */
  messages: RaftMessage[] = [];
  now = 0;
  readonly members: ReadonlyMap<string, Member>;
  readonly #options: ReplicaGroupOptions;

  constructor(options: ReplicaGroupOptions = {}) {
    this.#options = options;
    const names = options.names ?? ['a', 'b', 'c'];
    const voters = names.map((name) => ({daemon: name, identity: name}));
    const snapshot: Snapshot = {
      content: {data: '', replicaSet: {learners: [], voters}},
      index: 1,
      term: 1,
    };
    const hardState = {term: 1, vote: undefined};
    this.members = new Map(
      voters.map((replica) => {
        const disk: Disk = {entries: [], hardState, snapshot};
        const raft = this.#createReplica(replica, disk);
        return [
          replica.identity,
          {committed: [], disk, effects: [], raft, replica},
        ];
      }),
    );
  }

  get(name: string): Member {
    const member = this.members.get(name);
    if (member === undefined) {
      throw new Error(`no member ${name}`);
    }
    return member;
  }

  /** Executes effects; saves are durable immediately. */
  run(name: string, effects: readonly RaftEffect[]): void {
    const member = this.get(name);
    for (const effect of effects) {
      member.effects.push(effect);
      if (effect.kind === 'send') {
        this.messages.push(effect.message);
      } else if (effect.kind === 'commit') {
        member.committed.push(...effect.entries);
      } else if (effect.kind === 'persist') {
        member.disk = applySave(member.disk, effect.save);
        this.run(name, member.raft.persisted(effect.number, this.now));
      }
    }
  }

  /** Elects one member as leader with the votes of the given members. */
  elect(name: string, voters: readonly string[]): void {
    this.now += 3 * ELECTION_TIMEOUT_MILLISECONDS;
    for (const voter of voters) {
      this.restart(voter);
    }
    this.restart(name, this.now - ELECTION_TIMEOUT_MILLISECONDS);
    const isElection = ({kind}: RaftMessage) =>
      kind === 'voteRequest' || kind === 'voteAnswer';
    // A refused vote can carry a higher term; the candidate then tries again.
    for (let attempt = 0; attempt < MAXIMUM_ELECTION_ATTEMPTS; attempt += 1) {
      this.run(name, this.get(name).raft.tick(this.now));
      this.deliver([name, ...voters], isElection);
      if (this.get(name).raft.getStatus().role === 'leader') {
        return;
      }
      this.now += ELECTION_TIMEOUT_MILLISECONDS;
    }
  }

  /** Restarts a member from its disk. */
  restart(name: string, startedAt = this.now): void {
    const member = this.get(name);
    member.raft = this.#createReplica(member.replica, member.disk, startedAt);
  }

  /** Delivers messages between the given members until none is left. */
  deliver(
    names: readonly string[],
    shouldDeliver: (message: RaftMessage) => boolean = () => true,
  ): void {
    const isDeliverable = (message: RaftMessage) =>
      names.includes(message.to) &&
      names.includes(message.from.identity) &&
      shouldDeliver(message);
    for (
      let next = this.messages.find(isDeliverable);
      next !== undefined;
      next = this.messages.find(isDeliverable)
    ) {
      this.messages.splice(this.messages.indexOf(next), 1);
      this.run(next.to, this.get(next.to).raft.receive(next, this.now));
    }
  }

  #createReplica(replica: Replica, disk: Disk, now = this.now): RaftReplica {
    return new RaftReplica(
      replica,
      disk,
      createRaftOptions({
        electionTimeout: ELECTION_TIMEOUT_MILLISECONDS,
        measureCommand: () => Number.POSITIVE_INFINITY,
        randomNumber: () => 0,
        rules: {...RAFT_RULES, ...this.#options.rules},
      }),
      now,
    );
  }
}
