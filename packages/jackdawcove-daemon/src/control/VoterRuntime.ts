/** Runs the replica of one voter with its storage, state machine and messages. */

import type {
  RaftEffect,
  RaftInitialState,
  RaftMessage,
  RaftSave,
  RaftStatus,
  Replica,
  ReplicaSet,
  Snapshot,
} from 'jackdawcove-consensus';
import type {RaftReplica} from 'jackdawcove-consensus';
import type {ConfirmedRevision} from 'jackdawcove-organisations';
import type {
  ChangeOutcome,
  ConfigurationChange,
  ConfigurationCommand,
  VoterChange,
} from 'jackdawcove-revision';
import type {Failure, Milliseconds, MonotonicClock} from 'jackdawcove-shared';
import type {ReplicaStorage} from 'jackdawcove-storage';
import type {Result} from 'true-myth/result';

import {EMPTY_REPLICA_SET} from 'jackdawcove-consensus';
import {
  ConfigurationStateMachine,
  ENTRIES_PER_SNAPSHOT,
  INITIAL_CONFIGURATION_STATE,
} from 'jackdawcove-revision';
import {isErr} from 'true-myth/result';
import {match} from 'ts-pattern';

import {STORAGE_RETRY_MILLISECONDS} from './ControlConstants.js';

/** Event of a voter for the log or the timeline. */
export type VoterEvent =
  | {readonly failure: Failure; readonly kind: 'storageFailed'}
  | {readonly kind: 'becameLeader'; readonly term: number}
  | {readonly kind: 'lostLeadership'; readonly term: number}
  | {readonly kind: 'proposalRefused'; readonly reason: string}
  | {readonly kind: 'storageRecovered'};

/** Callbacks of a voter to its owner. */
export type VoterHandlers = {
  /** Called when the state machine or the committed replica set has changed. */
  readonly onChange: () => void;
  readonly onEvent: (event: VoterEvent) => void;
  readonly send: (to: Replica, message: RaftMessage) => void;
};

/** Storage of a voter, opened, and the state that it holds. */
export type OpenedVoterStorage = {
  readonly initialState: RaftInitialState;
  readonly storage: VoterStorage;
};

/** Storage that a voter writes to. */
export type VoterStorage = Pick<
  ReplicaStorage,
  'close' | 'save' | 'saveSnapshot'
>;

/** Options of a voter. */
export type VoterOptions = {
  readonly clock: MonotonicClock;
  readonly createReplica: (state: RaftInitialState) => RaftReplica;
  readonly handlers: VoterHandlers;
  readonly initialState: RaftInitialState;
  /** Opens the storage again after a failure; fails while the disk refuses. */
  readonly reopenStorage: () => Promise<Result<OpenedVoterStorage, Failure>>;
  readonly storage: VoterStorage;
};

/** State of a replica whose log starts at its first entry. */
const EMPTY_SNAPSHOT: Snapshot = Object.freeze({
  content: {
    data: JSON.stringify(INITIAL_CONFIGURATION_STATE),
    replicaSet: EMPTY_REPLICA_SET,
  },
  index: 0,
  term: 0,
});

type Waiter = {
  readonly change: ConfigurationChange | VoterChange;
  readonly resolve: (outcome: ChangeOutcome) => void;
};

/**
 * Voter of this daemon.
 *
 * @example
 * const voter = new VoterRuntime(options);
 * voter.tick();
 * const outcome = await voter.submit(command);
 */
export class VoterRuntime {
  #appliedIndex = 0;
  readonly #clock: MonotonicClock;
  #committedReplicaSet: {index: number; replicaSet: ReplicaSet} | undefined;
  #entriesSinceSnapshot = 0;
  readonly #handlers: VoterHandlers;
  #isBootstrapping = false;
  #isClosed = false;
  readonly #stateMachine = new ConfigurationStateMachine();
  readonly #options: VoterOptions;
  readonly #pendingReads = new Map<string, (isConfirmed: boolean) => void>();
  #reopenAt: Milliseconds | undefined;
  #replica: RaftReplica;
  #storage: VoterStorage;
  #waiters: Waiter[] = [];

  constructor(options: VoterOptions) {
    this.#clock = options.clock;
    this.#handlers = options.handlers;
    this.#options = options;
    this.#replica = options.createReplica(options.initialState);
    this.#storage = options.storage;
    const {snapshot} = options.initialState;
    if (snapshot !== undefined) {
      this.#restore(snapshot);
    }
  }

  /** Processes the timeouts of the replica; reopens a failed storage when due. */
  tick(): void {
    const now = this.#clock();
    const isReopenDue = this.#reopenAt !== undefined && now >= this.#reopenAt;
    if (isReopenDue && !this.#isClosed) {
      this.#reopenAt = undefined;
      void this.#reopenStorage();
    }
    this.#applyEffects(this.#replica.tick(now));
  }

  /** Closes the storage once all earlier saves have finished. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#storage.close();
  }

  /** Handles a message from another replica; ignored during a bootstrap. */
  receive(message: RaftMessage): void {
    if (!this.#isBootstrapping) {
      this.#applyEffects(this.#replica.receive(message, this.#clock()));
    }
  }

  /** Proposes a command without waiting for its commit. */
  propose(command: ConfigurationCommand): void {
    this.#applyEffects(this.#replica.propose(command, this.#clock()));
  }

  /** Proposes a change and resolves with its outcome once it is committed. */
  submit(
    command: Extract<ConfigurationCommand, {change: unknown}>,
  ): Promise<ChangeOutcome> {
    return new Promise((resolve) => {
      this.#waiters.push({change: command.change, resolve});
      this.propose(command);
    });
  }

  /** Removes the waiters for a change; their promises never settle. */
  removeWaiters(change: ConfigurationChange | VoterChange): void {
    this.#waiters = this.#waiters.filter((waiter) => waiter.change !== change);
  }

  /**
   * Resolves with true once the replica confirms that it leads and its state machine
   * is current, with false if the replica refuses the read.
   */
  confirmRead(identifier: string): Promise<boolean> {
    return new Promise((resolve) => {
      this.#pendingReads.set(identifier, resolve);
      this.#applyEffects(this.#replica.read(identifier, this.#clock()));
    });
  }

  /** Proposes a replica set unless an earlier one is still uncommitted. */
  changeReplicaSet(replicaSet: ReplicaSet): void {
    const {status} = this.getView();
    if (status.replicaSetIndex <= status.commitIndex) {
      const now = this.#clock();
      this.#applyEffects(this.#replica.proposeReplicaSet(replicaSet, now));
    }
  }

  /** Starts a leadership transfer to another voter. */
  transferLeadership(): void {
    this.#applyEffects(this.#replica.transferLeadership(this.#clock()));
  }

  /** Bootstraps the first replica set from a snapshot if the replica is fresh. */
  async bootstrap(snapshot: Snapshot): Promise<void> {
    if (this.#isBootstrapping || !this.isFresh()) {
      return;
    }
    this.#isBootstrapping = true;
    const hardState = {term: snapshot.term, vote: undefined};
    const saved = await this.#storage.saveSnapshot({
      entries: [],
      hardState,
      snapshot,
    });
    this.#isBootstrapping = false;
    if (isErr(saved)) {
      this.#handleStorageFailure(saved.error);
      return;
    }
    this.#replica = this.#options.createReplica({
      entries: [],
      hardState,
      snapshot,
    });
    this.#restore(snapshot);
  }

  /** Returns the committed replica set and the index of its entry or snapshot. */
  getCommittedReplicaSet():
    {index: number; replicaSet: ReplicaSet} | undefined {
    return this.#committedReplicaSet;
  }

  getStateMachine(): ConfigurationStateMachine {
    return this.#stateMachine;
  }

  /** Returns the Raft status of the replica and whether it is a ready leader. */
  getView(): {isReadyLeader: boolean; status: RaftStatus} {
    return {
      isReadyLeader: this.#replica.isReadyLeader(),
      status: this.#replica.getStatus(),
    };
  }

  /** Returns since when this leader knows its revision to be the newest. */
  getQuorumContact(): ConfirmedRevision | undefined {
    const at = this.#replica.getStatus().quorumContactAt;
    const revision = this.#stateMachine.getRevision();
    return at === undefined ? undefined : {at, revision};
  }

  /** Returns whether this leader knows that a replica holds the committed log. */
  isCaughtUp(identity: string): boolean {
    return this.#replica.isCaughtUp(identity);
  }

  /** Returns the time since a replica last answered this leader; else 0. */
  getSilence(identity: string): Milliseconds {
    return this.#replica.getSilence(identity);
  }

  /** Returns whether the replica has neither log entries nor a vote. */
  isFresh(): boolean {
    const {lastIndex, role, term} = this.#replica.getStatus();
    return lastIndex === 0 && term === 0 && role === 'follower';
  }

  #applyEffects(effects: readonly RaftEffect[]): void {
    for (const effect of effects) {
      this.#execute(effect);
    }
  }

  #execute(effect: RaftEffect): void {
    match(effect)
      .with({kind: 'persist'}, ({number, save}) => {
        void this.#persist(number, save);
      })
      .with({kind: 'send'}, ({message, to}) => {
        this.#handlers.send(to, message);
      })
      .with({kind: 'commit'}, ({entries}) => {
        for (const {content, index} of entries) {
          if (content.kind === 'command') {
            this.#stateMachine.apply(content.command);
          } else if (content.kind === 'replicaSet') {
            const {replicaSet} = content;
            this.#committedReplicaSet = {index, replicaSet};
          }
        }
        this.#appliedIndex = entries.at(-1)?.index ?? this.#appliedIndex;
        this.#entriesSinceSnapshot += entries.length;
        this.#handleStateChange();
      })
      .with({kind: 'installSnapshot'}, ({snapshot}) => {
        this.#restore(snapshot);
      })
      .with({kind: 'readReady'}, ({identifier}) => {
        this.#resolveRead(identifier, true);
      })
      .with({kind: 'readRefused'}, ({identifier}) => {
        this.#resolveRead(identifier, false);
      })
      .with({kind: 'leaderChanged'}, () => undefined)
      .with(
        {kind: 'becameLeader'},
        {kind: 'lostLeadership'},
        {kind: 'proposalRefused'},
        (event) => {
          this.#handlers.onEvent(event);
        },
      )
      .exhaustive();
  }

  async #persist(number: number, save: RaftSave): Promise<void> {
    const storage = this.#storage;
    const saved: Result<undefined, Failure> =
      save.kind === 'snapshot'
        ? await storage.saveSnapshot(save)
        : await storage.save({
            entries: [...save.entries],
            hardState: save.hardState,
          });
    if (storage !== this.#storage) {
      // The storage was opened again meanwhile, with a replica that starts over.
      return;
    }
    if (isErr(saved)) {
      this.#handleStorageFailure(saved.error);
      return;
    }
    this.#applyEffects(this.#replica.persisted(number, this.#clock()));
  }

  #handleStorageFailure(failure: Failure): void {
    this.#reopenAt ??= this.#clock() + STORAGE_RETRY_MILLISECONDS;
    if (this.#replica.getStatus().role !== 'stopped') {
      this.#handlers.onEvent({failure, kind: 'storageFailed'});
      this.#applyEffects(this.#replica.failStorage(this.#clock()));
    }
  }

  /**
   * Starts over from what the disk holds, as after a restart of the process: the
   * state machine goes back to the snapshot and gets the entries after it again.
   */
  async #reopenStorage(): Promise<void> {
    const opened = await this.#options.reopenStorage();
    if (isErr(opened)) {
      this.#reopenAt = this.#clock() + STORAGE_RETRY_MILLISECONDS;
      return;
    }
    const {initialState, storage} = opened.value;
    if (this.#isClosed) {
      await storage.close();
      return;
    }
    await this.#storage.close();
    this.#storage = storage;
    this.#replica = this.#options.createReplica(initialState);
    this.#restore(initialState.snapshot ?? EMPTY_SNAPSHOT);
    this.#handlers.onEvent({kind: 'storageRecovered'});
  }

  #restore({content, index}: Snapshot): void {
    const {data, replicaSet} = content;
    const restored = this.#stateMachine.restore(data);
    if (isErr(restored)) {
      this.#handleStorageFailure(restored.error);
      return;
    }
    this.#committedReplicaSet = {index, replicaSet};
    this.#entriesSinceSnapshot = 0;
    this.#handleStateChange();
  }

  #handleStateChange(): void {
    this.#waiters = this.#waiters.filter(({change, resolve}) => {
      const outcome = this.#stateMachine.findOutcome(change);
      if (outcome !== undefined) {
        resolve(outcome);
      }
      return outcome === undefined;
    });
    this.#handlers.onChange();
    if (this.#entriesSinceSnapshot >= ENTRIES_PER_SNAPSHOT) {
      this.#entriesSinceSnapshot = 0;
      const data = this.#stateMachine.createSnapshot();
      const index = this.#appliedIndex;
      this.#applyEffects(this.#replica.compact(index, data, this.#clock()));
    }
  }

  #resolveRead(identifier: string, isConfirmed: boolean): void {
    const resolve = this.#pendingReads.get(identifier);
    this.#pendingReads.delete(identifier);
    resolve?.(isConfirmed);
  }
}
