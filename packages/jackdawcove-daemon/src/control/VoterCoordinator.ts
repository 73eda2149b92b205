/** Announces a voter, bootstraps a replica set and publishes its committed state. */

import type {InitialVoters} from './InitialVoters.js';
import type {ReplicaSetManager} from './ReplicaSetManager.js';
import type {VoterRuntime} from './VoterRuntime.js';
import type {Replica, Snapshot} from 'jackdawcove-consensus';
import type {
  ConfigurationState,
  ReplicaAnnouncement,
  ReplicaAnnouncements,
  SpreadRecord,
  SpreadTopic,
} from 'jackdawcove-revision';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {
  ANNOUNCEMENT_INTERVAL_MILLISECONDS,
  configurationRecordSchema,
  createConfigurationSpreadRecord,
  createLeaderSpreadRecord,
  createLedgerSpreadRecord,
  createVotersSpreadRecord,
  INITIAL_CONFIGURATION_STATE,
} from 'jackdawcove-revision';

/** Options of a voter coordinator. */
export type VoterCoordinatorOptions = {
  readonly announce: (
    to: DaemonName,
    announcement: ReplicaAnnouncement,
  ) => void;
  readonly announcements: ReplicaAnnouncements;
  readonly clock: () => Milliseconds;
  readonly getApplied: (topic: SpreadTopic) => SpreadRecord | undefined;
  /** Returns the names of the voters according to the applied records. */
  readonly getKnownVoters: () => readonly DaemonName[];
  readonly initialVoters: Pick<InitialVoters, 'getNames'>;
  /**
   * Returns whether the start-up gate has finished; until then, a bootstrap could
   * miss records that the fleet already has.
   */
  readonly isStartUpComplete: () => boolean;
  readonly localReplica: Replica;
  readonly publish: (records: readonly SpreadRecord[]) => void;
  readonly replicaSetManager: ReplicaSetManager;
  readonly voter: VoterRuntime;
};

/**
 * Coordinates one voter with the fleet.
 *
 * @example
 * coordinator.tick();
 */
export class VoterCoordinator {
  #nextAnnouncementAt: Milliseconds = 0;
  readonly #options: VoterCoordinatorOptions;

  constructor(options: VoterCoordinatorOptions) {
    this.#options = options;
  }

  /**
   * Announces the replica at intervals, bootstraps the first replica set, manages
   * the replica set and publishes the leader.
   */
  tick(): void {
    const now = this.#options.clock();
    if (now >= this.#nextAnnouncementAt) {
      this.#nextAnnouncementAt = now + ANNOUNCEMENT_INTERVAL_MILLISECONDS;
      this.#announce(now);
    }
    this.#bootstrap(now);
    this.#options.replicaSetManager.tick(now);
    this.#publishLeader();
  }

  /** Publishes the committed configuration, ledger assignments and voters. */
  publishCommitted(): void {
    const {publish, voter} = this.#options;
    const stateMachine = voter.getStateMachine();
    const configuration = stateMachine.getConfiguration();
    const {content, version} = stateMachine.getLedgerAssignments();
    const committed = voter.getCommittedReplicaSet();
    publish([
      ...(configuration === undefined
        ? []
        : [createConfigurationSpreadRecord(configuration)]),
      ...(version === 0 ? [] : [createLedgerSpreadRecord(version, content)]),
      ...(committed === undefined
        ? []
        : [
            createVotersSpreadRecord(
              committed.index,
              committed.replicaSet.voters,
            ),
          ]),
    ]);
  }

  #announce(now: Milliseconds): void {
    const {announce, announcements, initialVoters, localReplica, voter} =
      this.#options;
    const isFresh = voter.isFresh();
    const announcement: ReplicaAnnouncement = {
      isFresh,
      replica: localReplica,
      ...(isFresh ? {initialVoters: [...initialVoters.getNames()]} : {}),
    };
    announcements.record(announcement, now);
    for (const daemon of this.#getAnnouncementReceivers()) {
      announce(daemon, announcement);
    }
  }

  #getAnnouncementReceivers(): readonly DaemonName[] {
    const {getKnownVoters, initialVoters, localReplica} = this.#options;
    const names = new Set([...getKnownVoters(), ...initialVoters.getNames()]);
    names.delete(localReplica.daemon);
    return [...names];
  }

  #bootstrap(now: Milliseconds): void {
    const options = this.#options;
    if (!options.voter.isFresh() || !options.isStartUpComplete()) {
      return;
    }
    const replicaSet = options.announcements.planBootstrap(
      {
        initialVoters: options.initialVoters.getNames(),
        knownVoters: options.getKnownVoters(),
        localDaemon: options.localReplica.daemon,
      },
      now,
    );
    if (replicaSet !== undefined) {
      const snapshot = this.#createBootstrapSnapshot(replicaSet);
      void options.voter.bootstrap(snapshot).then(() => {
        this.publishCommitted();
      });
    }
  }

  /** Creates a snapshot from the applied records, so that no version decreases. */
  #createBootstrapSnapshot(
    replicaSet: Snapshot['content']['replicaSet'],
  ): Snapshot {
    const {getApplied} = this.#options;
    const record = configurationRecordSchema.safeParse(
      getApplied('configuration')?.content,
    );
    const ledger = getApplied('ledgerAssignments');
    const state: ConfigurationState = {
      ...INITIAL_CONFIGURATION_STATE,
      ledgerAssignments: {
        content: ledger?.content,
        version: ledger?.version ?? 0,
      },
      voterTarget: replicaSet.voters.map(({daemon}) => daemon),
    };
    if (record.success) {
      const {documentText, ...historyRecord} = record.data;
      const {revision} = historyRecord;
      state.documents = [{documentText, revision}];
      state.history = [historyRecord];
      state.revision = revision;
    }
    return {
      content: {data: JSON.stringify(state), replicaSet},
      index: (getApplied('voters')?.version ?? 0) + 1,
      term: (getApplied('leader')?.version ?? 0) + 1,
    };
  }

  #publishLeader(): void {
    const {localReplica, publish, voter} = this.#options;
    const {isReadyLeader, status} = voter.getView();
    if (isReadyLeader) {
      publish([createLeaderSpreadRecord(status.term, localReplica.daemon)]);
    }
  }
}
