/** Connects the record spread, the voter, control requests and the service. */

import type {DaemonHost, MessageSource} from '../DaemonHost.js';
import type {ControlDependencies} from './ConfigurationService.js';
import type {ControlRequest} from './ControlMessages.js';
import type {RunningConfigurationService} from './createConfigurationService.js';
import type {LedgerReplication} from './createLedgerReplication.js';
import type {Voter} from './createVoter.js';
import type {InitialVoters} from './InitialVoters.js';
import type {ReplicaSetManager} from './ReplicaSetManager.js';
import type {SpreadEvent} from './SpreadRuntime.js';
import type {RaftMessage, Replica} from 'jackdawcove-consensus';
import type {SpreadRecord} from 'jackdawcove-revision';
import type {DaemonName, Failure, Teardown} from 'jackdawcove-shared';
import type {RecordFile} from 'jackdawcove-storage';
import type {Result} from 'true-myth/result';

import {
  isNewerVersion,
  ReplicaAnnouncements,
  RevisionSpread,
} from 'jackdawcove-revision';
import {mergeTeardowns} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {
  getAppliedRevision,
  getKnownVoters,
  getLeaderHint,
} from './AppliedRecords.js';
import {checkVoterNames} from './checkVoterNames.js';
import {ControlClient} from './ControlClient.js';
import {
  LEADER_RETRY_MILLISECONDS,
  LEADERSHIP_TRANSFER_TIMEOUT_MILLISECONDS,
  SPREAD_TICK_MILLISECONDS,
  VOTER_TICK_MILLISECONDS,
} from './ControlConstants.js';
import {
  consensusChannelSchema,
  revisionChannelSchema,
} from './ControlMessages.js';
import {ControlServer} from './ControlServer.js';
import {ControlTimers} from './ControlTimers.js';
import {createConfigurationService} from './createConfigurationService.js';
import {createLedgerReplication} from './createLedgerReplication.js';
import {createReplicaSetManager} from './createReplicaSetManager.js';
import {SpreadRuntime} from './SpreadRuntime.js';
import {VoterCoordinator} from './VoterCoordinator.js';

/** Options of the control runtime. */
export type ControlRuntimeOptions = {
  readonly recordFile: RecordFile | undefined;
  readonly dependencies: ControlDependencies;
  readonly host: DaemonHost;
  readonly initialVoters: InitialVoters;
  readonly storedRecords: readonly SpreadRecord[];
};

/**
 * Control subsystem of one daemon.
 *
 * @example
 * const runtime = new ControlRuntime(options);
 * const teardown = runtime.register();
 */
export class ControlRuntime {
  readonly ledgerReplication: LedgerReplication;
  readonly service: RunningConfigurationService;
  readonly #announcements = new ReplicaAnnouncements();
  readonly #client: ControlClient;
  #coordinator: VoterCoordinator | undefined;
  readonly #dependencies: ControlDependencies;
  readonly #host: DaemonHost;
  readonly #initialVoters: InitialVoters;
  #nextIdentifier = 1;
  #replicaSetManager: ReplicaSetManager | undefined;
  readonly #server: ControlServer;
  readonly #spread: RevisionSpread;
  readonly #spreadRuntime: SpreadRuntime;
  readonly #timers: ControlTimers;
  #voter: Voter | undefined;

  constructor(options: ControlRuntimeOptions) {
    const {dependencies, host, recordFile, storedRecords} = options;
    this.#dependencies = dependencies;
    this.#host = host;
    this.#initialVoters = options.initialVoters;
    this.#timers = new ControlTimers(host.clock);
    this.#spread = new RevisionSpread(
      {
        getReachableDaemons: () =>
          dependencies
            .getMembers()
            .filter(({isReachable}) => isReachable)
            .map(({daemon}) => daemon),
        localDaemon: host.settings.daemon.name,
        mayReplace: isNewerVersion,
        randomNumber: host.randomNumber,
      },
      storedRecords,
      host.clock(),
    );
    this.#spreadRuntime = this.#createSpreadRuntime(recordFile);
    this.#server = this.#createServer();
    this.#client = this.#createClient();
    this.service = this.#createService();
    this.ledgerReplication = this.#createLedgerReplication();
  }

  /** Runs a voter from now on; publishes the state that it restored. */
  attachVoter(voter: Voter): void {
    this.#voter = voter;
    this.#replicaSetManager = createReplicaSetManager({
      announcements: this.#announcements,
      getMembers: this.#dependencies.getMembers,
      host: this.#host,
      voter,
    });
    this.#coordinator = this.#createCoordinator(voter, this.#replicaSetManager);
    this.#coordinator.publishCommitted();
  }

  /** Registers ticker and listeners. */
  register(): Teardown {
    const {messenger, registerTicker, settings} = this.#host;
    return mergeTeardowns(
      messenger.registerListener('consensus', (message, source) => {
        this.#handleConsensusMessage(message, source);
      }),
      messenger.registerListener('revision', (message, source) => {
        this.#handleRevisionMessage(message, source);
      }),
      registerTicker(
        settings.control.voter
          ? VOTER_TICK_MILLISECONDS
          : SPREAD_TICK_MILLISECONDS,
        () => {
          this.#tick();
        },
      ),
    );
  }

  /** Returns the voters; the initial ones until any are known. */
  getVoters(): readonly DaemonName[] {
    const known = getKnownVoters(this.#spread);
    return known.length > 0 ? known : this.#initialVoters.getNames();
  }

  handleVoterChange(): void {
    this.#coordinator?.publishCommitted();
  }

  /** Sends a Raft message to a replica. */
  sendRaftMessage({daemon}: Replica, message: RaftMessage): void {
    this.#host.messenger.send(daemon, 'consensus', {kind: 'raft', message});
  }

  #createIdentifier(): string {
    const number = this.#nextIdentifier;
    this.#nextIdentifier += 1;
    return `${String(this.#host.incarnation)}-${String(number)}`;
  }

  #createSpreadRuntime(recordFile: RecordFile | undefined): SpreadRuntime {
    const {clock, messenger} = this.#host;
    return new SpreadRuntime({
      clock,
      onEvent: (event) => {
        this.#handleSpreadEvent(event);
      },
      recordFile,
      send: (to, message) => {
        // A session with each random peer would cost more than the digest.
        const envelope = {kind: 'spread', message};
        if (message.kind === 'digest') {
          messenger.sendBrief(to, 'revision', envelope);
        } else {
          messenger.send(to, 'revision', envelope);
        }
      },
      spread: this.#spread,
    });
  }

  #createServer(): ControlServer {
    const {checkDocument} = this.#dependencies;
    return new ControlServer({
      checkDocument,
      checkVoters: (voters) => this.#checkVoters(voters),
      createIdentifier: () => this.#createIdentifier(),
      getApplied: () => getAppliedRevision(this.#spread),
      getLeaderHint: () => getLeaderHint(this.#spread),
      getVoter: () => this.#voter?.runtime,
      isAcceptingChanges: () =>
        this.#replicaSetManager?.isAcceptingChanges(this.#host.clock()) ===
        true,
      timers: this.#timers,
      wallClock: this.#host.wallClock,
    });
  }

  #createClient(): ControlClient {
    const {clock, messenger, randomNumber, settings} = this.#host;
    return new ControlClient({
      answerLocally: (request) => this.#server.answer(request),
      clock,
      createIdentifier: () => this.#createIdentifier(),
      getLeaderHint: () => getLeaderHint(this.#spread),
      getVoters: () => this.getVoters(),
      localDaemon: settings.daemon.name,
      randomNumber,
      send: (to, identifier, request) => {
        messenger.send(to, 'revision', {identifier, kind: 'request', request});
      },
      timers: this.#timers,
    });
  }

  #createService(): RunningConfigurationService {
    return createConfigurationService({
      client: this.#client,
      getApplied: () => this.#spread.getApplied('configuration'),
      getLeader: () => getLeaderHint(this.#spread),
      getMembers: this.#dependencies.getMembers,
      getVoters: () => getKnownVoters(this.#spread),
      isConfirmed: () => this.#spread.getConfirmation() === 'confirmed',
      isReady: () => this.#spread.getConfirmation() !== 'starting',
      prepareStop: () => this.#prepareStop(),
    });
  }

  #createLedgerReplication(): LedgerReplication {
    return createLedgerReplication({
      getApplied: () => this.#spread.getApplied('ledgerAssignments'),
      isLeader: () => this.#voter?.runtime.getView().isReadyLeader ?? false,
      propose: (command) => {
        this.#voter?.runtime.propose(command);
      },
    });
  }

  #createCoordinator(
    voter: Voter,
    replicaSetManager: ReplicaSetManager,
  ): VoterCoordinator {
    const {clock, messenger} = this.#host;
    return new VoterCoordinator({
      announce: (to, announcement) => {
        messenger.send(to, 'consensus', {announcement, kind: 'announcement'});
      },
      announcements: this.#announcements,
      clock,
      getApplied: (topic) => this.#spread.getApplied(topic),
      getKnownVoters: () => getKnownVoters(this.#spread),
      initialVoters: this.#initialVoters,
      isStartUpComplete: () => this.#spread.getConfirmation() !== 'starting',
      localReplica: voter.replica,
      publish: (records) => {
        this.#spreadRuntime.publish(records);
      },
      replicaSetManager,
      voter: voter.runtime,
    });
  }

  #checkVoters(voters: readonly DaemonName[]): Result<unknown, Failure> {
    const now = this.#host.clock();
    return checkVoterNames({
      isCandidate: (daemon) =>
        this.#announcements.getReplica(daemon, now) !== undefined ||
        getKnownVoters(this.#spread).includes(daemon),
      members: this.#dependencies.getMembers(),
      voters,
    });
  }

  async #prepareStop(): Promise<void> {
    const voter = this.#voter?.runtime;
    const {clock} = this.#host;
    const deadline = clock() + LEADERSHIP_TRANSFER_TIMEOUT_MILLISECONDS;
    voter?.transferLeadership();
    while (voter?.getView().status.role === 'leader' && clock() < deadline) {
      await this.#timers.sleep(LEADER_RETRY_MILLISECONDS);
    }
  }

  #tick(): void {
    this.#timers.tick();
    this.#voter?.runtime.tick();
    this.#coordinator?.tick();
    this.#spreadRuntime.tick();
  }

  #handleSpreadEvent(event: SpreadEvent): void {
    const {log, recordEvent} = this.#host;
    match(event)
      .with({kind: 'applied'}, ({record}) => {
        this.#handleAppliedRecord(record);
      })
      .with({kind: 'copyFailed'}, ({failure}) => {
        log.error({failure}, 'cannot store the applied records');
        recordEvent('copyFailed', {result: failure.result});
      })
      .with({kind: 'diverged'}, ({detail}) => {
        log.error(
          {detail},
          'a peer holds a different record with the same version',
        );
        recordEvent('recordDiverged', {detail});
      })
      .exhaustive();
  }

  #handleAppliedRecord(record: SpreadRecord): void {
    const {topic, version} = record;
    this.#host.recordEvent('recordApplied', {topic, version});
    if (topic === 'configuration') {
      this.service.notifyAppliedListeners();
    } else if (topic === 'ledgerAssignments') {
      this.ledgerReplication.notifyListeners(record);
    }
  }

  #handleConsensusMessage(message: unknown, source: MessageSource): void {
    const parsed = consensusChannelSchema.safeParse(message);
    if (!parsed.success) {
      this.#host.metrics.increment('control.malformed');
      return;
    }
    match(parsed.data)
      .with({kind: 'announcement'}, ({announcement}) => {
        if (announcement.replica.daemon === source.daemon) {
          this.#announcements.record(announcement, this.#host.clock());
          this.#initialVoters.adopt(announcement.initialVoters);
        }
      })
      .with({kind: 'raft'}, (raft) => {
        if (raft.message.from.daemon === source.daemon) {
          this.#voter?.runtime.receive(raft.message);
        }
      })
      .exhaustive();
  }

  #handleRevisionMessage(message: unknown, source: MessageSource): void {
    const parsed = revisionChannelSchema.safeParse(message);
    if (!parsed.success) {
      this.#host.metrics.increment('control.malformed');
      return;
    }
    match(parsed.data)
      .with({kind: 'answer'}, ({answer, identifier}) => {
        this.#client.receive(identifier, answer, source.daemon);
      })
      .with({kind: 'request'}, ({identifier, request}) => {
        void this.#answerRequest(source.daemon, identifier, request);
      })
      .with({kind: 'spread'}, (spread) => {
        this.#spreadRuntime.receive(spread.message, source.daemon);
      })
      .exhaustive();
  }

  async #answerRequest(
    to: DaemonName,
    identifier: string,
    request: ControlRequest,
  ): Promise<void> {
    const answer = await this.#server.answer(request);
    const message = {answer, identifier, kind: 'answer'};
    this.#host.messenger.send(to, 'revision', message);
  }
}
