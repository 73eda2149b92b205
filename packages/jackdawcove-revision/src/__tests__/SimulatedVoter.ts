/** Voter with a simulated disk that loses unsynced writes when it stops. */

import type {ChangeOutcome, ConfigurationChange} from '../index.js';
import type {
  Entry,
  RaftEffect,
  RaftHardState,
  RaftMessage,
  RaftOptions,
  RaftSave,
  Replica,
  Snapshot,
} from 'jackdawcove-consensus';
import type {RandomNumber} from 'jackdawcove-shared';

import {RaftReplica} from 'jackdawcove-consensus';

import {ConfigurationStateMachine} from '../index.js';

/** Injected bugs that the checks must detect. */
export type InjectedBug =
  | 'acknowledgeUnsynced'
  | 'commitOldTerms'
  | 'forgetResults'
  | 'forgetVote'
  | 'removeUnchecked'
  | 'replaceAllAtOnce'
  | 'reuseIdentity'
  | 'staleReads'
  | 'voteForAnyLog';

/** Receives the messages and the events of a voter. */
export type VoterObserver = {
  readonly onCommit: (voter: SimulatedVoter, entry: Entry) => void;
  readonly onLeader: (voter: SimulatedVoter, term: number) => void;
  readonly onSnapshot: (voter: SimulatedVoter, snapshot: Snapshot) => void;
  readonly send: (from: SimulatedVoter, message: RaftMessage) => void;
};

/** Options of a simulated voter. */
export type SimulatedVoterOptions = {
  readonly daemon: string;
  readonly entriesPerSnapshot: number;
  readonly injectedBug: InjectedBug | undefined;
  /** Whether this voter drops what it does not know of a replica set. */
  readonly isOlder: boolean;
  readonly observer: VoterObserver;
  readonly raftOptions: RaftOptions;
  readonly randomNumber: RandomNumber;
  readonly snapshot: Snapshot | undefined;
};

type Disk = {
  entries: readonly Entry[];
  hardState: RaftHardState;
  snapshot: Snapshot | undefined;
};

type PendingSave = {
  readonly number: number;
  readonly readyAt: number;
  readonly save: RaftSave;
};

const MAXIMUM_SYNC_MILLISECONDS = 30;
const EMPTY_DISK: Disk = {
  entries: [],
  hardState: {term: 0, vote: undefined},
  snapshot: undefined,
};

function dropReplacement(key: string, value: unknown): unknown {
  return key === 'replacing' ? undefined : value;
}

/** Voter of the simulated cluster. */
export class SimulatedVoter {
  /** Returns whether this voter, while it leads, accepts changes of clients. */
  acceptsChanges = (): boolean => true;
  readonly daemon: string;
  isUp = false;
  machine = new ConfigurationStateMachine();
  pausedUntil = 0;
  raft: RaftReplica | undefined;
  #clockOffset = 0;
  #disk: Disk;
  #entriesSinceSnapshot = 0;
  #generation = 1;
  readonly #options: SimulatedVoterOptions;
  #pending: PendingSave[] = [];
  readonly #reads = new Map<string, () => void>();
  #now = 0;

  constructor(options: SimulatedVoterOptions) {
    this.daemon = options.daemon;
    this.#options = options;
    this.#disk = {...EMPTY_DISK, snapshot: options.snapshot};
  }

  getReplica(): Replica {
    const identity = `${this.daemon}${String(this.#generation)}`;
    return {daemon: this.daemon, identity};
  }

  start(now: number): void {
    this.#now = now;
    const hardState =
      this.#options.injectedBug === 'forgetVote'
        ? {...this.#disk.hardState, vote: undefined}
        : this.#disk.hardState;
    this.machine = new ConfigurationStateMachine();
    this.isUp = true;
    this.raft = new RaftReplica(
      this.getReplica(),
      {...this.#disk, hardState},
      this.#options.raftOptions,
      this.#getLocalTime(),
    );
    if (this.#disk.snapshot !== undefined) {
      this.#restore(this.#disk.snapshot);
    }
  }

  /** Stops immediately; a random number of the oldest pending saves is durable. */
  stop(): void {
    const durable = Math.floor(
      this.#options.randomNumber() * (this.#pending.length + 1),
    );
    const losesPendingSaves =
      this.#options.injectedBug === 'acknowledgeUnsynced';
    for (const {save} of this.#pending.slice(
      0,
      losesPendingSaves ? 0 : durable,
    )) {
      this.#write(save);
    }
    this.#pending = [];
    this.#reads.clear();
    this.isUp = false;
    this.raft = undefined;
  }

  /** Empties the disk and, unless `reuseIdentity` is injected, changes identity. */
  wipe(): void {
    this.#disk = EMPTY_DISK;
    this.#generation += this.#options.injectedBug === 'reuseIdentity' ? 0 : 1;
  }

  jumpClock(milliseconds: number): void {
    this.#clockOffset += milliseconds;
  }

  isRunning(now: number): boolean {
    return this.isUp && now >= this.pausedUntil;
  }

  tick(now: number): void {
    this.#now = now;
    this.#run(this.raft?.tick(this.#getLocalTime()));
  }

  receive(message: RaftMessage, now: number): void {
    this.#now = now;
    const known = this.#dropUnknown(message);
    this.#run(this.raft?.receive(known, this.#getLocalTime()));
  }

  /** Completes the saves whose sync is due. */
  sync(now: number): void {
    this.#now = now;
    for (
      let [first] = this.#pending;
      first !== undefined && first.readyAt <= now;
      [first] = this.#pending
    ) {
      this.#pending.shift();
      this.#write(first.save);
      if (this.#options.injectedBug !== 'acknowledgeUnsynced') {
        const {number} = first;
        this.#run(this.raft?.persisted(number, this.#getLocalTime()));
      }
    }
  }

  propose(command: unknown, now: number): void {
    this.#now = now;
    this.#run(this.raft?.propose(command, this.#getLocalTime()));
  }

  proposeReplicaSet(
    replicaSet: Parameters<RaftReplica['proposeReplicaSet']>[0],
    now: number,
  ): void {
    this.#now = now;
    const known = this.#dropUnknown(replicaSet);
    this.#run(this.raft?.proposeReplicaSet(known, this.#getLocalTime()));
  }

  /** Proposes the daemons that should be voters. */
  proposeVoters(voters: readonly string[], now: number): void {
    const change = {
      author: 'operator',
      changeIdentifier: `voters-${String(now)}`,
      reason: '',
      voters: [...voters],
    };
    this.propose({acceptedAt: 0, change, kind: 'voterChange'}, now);
  }

  transfer(now: number): void {
    this.#now = now;
    this.#run(this.raft?.transferLeadership(this.#getLocalTime()));
  }

  /** Calls a function once the state machine is confirmed to be current. */
  read(identifier: string, onReady: () => void, now: number): void {
    this.#now = now;
    if (this.#options.injectedBug === 'staleReads') {
      onReady();
      return;
    }
    this.#reads.set(identifier, onReady);
    this.#run(this.raft?.read(identifier, this.#getLocalTime()));
  }

  /** Whether this voter accepts reads. */
  mayRead(): boolean {
    return (
      this.#options.injectedBug === 'staleReads' ||
      this.raft?.isReadyLeader() === true
    );
  }

  findOutcome(change: ConfigurationChange): ChangeOutcome | undefined {
    return this.machine.findOutcome(change);
  }

  #dropUnknown<Content>(content: Content): Content {
    return this.#options.isOlder
      ? (JSON.parse(JSON.stringify(content, dropReplacement)) as Content)
      : content;
  }

  #getLocalTime(): number {
    return this.#now + this.#clockOffset;
  }

  #write(save: RaftSave): void {
    const {entries, hardState} = this.#disk;
    if (save.kind === 'snapshot') {
      this.#disk = save;
      return;
    }
    const [first] = save.entries;
    const kept =
      first === undefined
        ? entries
        : entries.filter(({index}) => index < first.index);
    this.#disk = {
      ...this.#disk,
      entries: [...kept, ...save.entries],
      hardState: save.hardState ?? hardState,
    };
  }

  #run(effects: readonly RaftEffect[] | undefined): void {
    for (const effect of effects ?? []) {
      this.#execute(effect);
    }
  }

  #execute(effect: RaftEffect): void {
    const {observer} = this.#options;
    switch (effect.kind) {
      case 'becameLeader':
        observer.onLeader(this, effect.term);
        break;
      case 'commit':
        this.#apply(effect.entries);
        break;
      case 'installSnapshot':
        observer.onSnapshot(this, effect.snapshot);
        this.#restore(effect.snapshot);
        break;
      case 'persist':
        this.#persist(effect.number, effect.save);
        break;
      case 'readReady':
        this.#reads.get(effect.identifier)?.();
        this.#reads.delete(effect.identifier);
        break;
      case 'readRefused':
        this.#reads.delete(effect.identifier);
        break;
      case 'send':
        observer.send(this, effect.message);
        break;
      default:
        break;
    }
  }

  #persist(number: number, save: RaftSave): void {
    const delay = this.#options.randomNumber() * MAXIMUM_SYNC_MILLISECONDS;
    const last = this.#pending.at(-1)?.readyAt ?? 0;
    const readyAt = Math.max(last, this.#now + delay);
    this.#pending.push({number, readyAt, save});
    if (this.#options.injectedBug === 'acknowledgeUnsynced') {
      this.#run(this.raft?.persisted(number, this.#getLocalTime()));
    }
  }

  #apply(entries: readonly Entry[]): void {
    for (const entry of entries) {
      if (entry.content.kind === 'command') {
        this.machine.apply(entry.content.command);
      }
      this.#options.observer.onCommit(this, entry);
    }
    this.#entriesSinceSnapshot += entries.length;
    if (this.#entriesSinceSnapshot >= this.#options.entriesPerSnapshot) {
      this.#entriesSinceSnapshot = 0;
      const index = this.raft?.getStatus().commitIndex ?? 0;
      const data = this.#createSnapshotData();
      this.#run(this.raft?.compact(index, data, this.#getLocalTime()));
    }
  }

  #createSnapshotData(): string {
    const data = this.machine.createSnapshot();
    return this.#options.injectedBug === 'forgetResults'
      ? JSON.stringify({...(JSON.parse(data) as object), results: []})
      : data;
  }

  #restore(snapshot: Snapshot): void {
    if (this.machine.restore(snapshot.content.data).isErr) {
      throw new Error('the snapshot data does not match its schema');
    }
    this.#entriesSinceSnapshot = 0;
  }
}
