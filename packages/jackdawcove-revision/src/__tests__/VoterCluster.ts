/** Simulated voters under injected faults, reproducible by seed, with checks. */

import type {VoterObserver} from './SimulatedVoter.js';
import type {VoterClusterOptions} from './VoterClusterOptions.js';
import type {RaftMessage, Snapshot} from 'jackdawcove-consensus';
import type {RandomNumber} from 'jackdawcove-shared';

import {createRaftOptions, RAFT_RULES} from 'jackdawcove-consensus';
import {createSeededRandom, pickRandom, shuffle} from 'jackdawcove-shared';

import {INITIAL_CONFIGURATION_STATE} from '../index.js';
import {SimulatedPlacement} from './SimulatedPlacement.js';
import {SimulatedVoter} from './SimulatedVoter.js';
import {VoterChecks} from './VoterChecks.js';
import {VoterClient} from './VoterClient.js';
import {VoterLinks} from './VoterLinks.js';

type Delivery = {
  readonly deliverAt: number;
  readonly from: SimulatedVoter;
  readonly message: RaftMessage;
};

const STEP_MILLISECONDS = 10;
const STEPS_PER_TICK = 5;
const DAEMONS = ['a', 'b', 'c', 'd', 'e'];
const INITIAL_VOTERS = 3;
const CLIENTS = ['x', 'y', 'z'];
const ENTRIES_PER_SNAPSHOT = 12;
const RETAINED_ENTRIES = 3;
const SNAPSHOT_CHUNK_CHARACTERS = 400;
const SHORT_DELAY_MILLISECONDS = 30;
/** Election timeouts take few distinct values, so that candidates compete. */
const ELECTION_TIMEOUT_STEPS = 4;
const HEARTBEATS_PER_TIMEOUT = 5;
const LEADER_FAULT_PROBABILITY = 0.4;
const FAULT_PHASE_MILLISECONDS = 10_000;
const ELECTION_LIMIT_MILLISECONDS = 15_000;
const HEAL_MILLISECONDS = 5_000;
const COMMAND_SIZE = 200_000;

/** Simulated cluster of five daemons, three of which vote initially. */
export class VoterCluster {
  now = 0;
  readonly violations: string[] = [];
  readonly voters: SimulatedVoter[];
  readonly #clients: readonly VoterClient[];
  readonly #checks: VoterChecks;
  /** Voters that crash at the next step. */
  readonly #pendingCrashes = new Set<SimulatedVoter>();
  #isHealing = false;
  readonly #links = new VoterLinks();
  #network: Delivery[] = [];
  readonly #options: VoterClusterOptions;
  readonly #placement: SimulatedPlacement;
  readonly #randomNumber: RandomNumber;
  readonly #restartAt = new Map<SimulatedVoter, number>();

  constructor(options: VoterClusterOptions) {
    this.#options = options;
    this.#randomNumber = createSeededRandom(options.seed);
    this.#checks = new VoterChecks(this.violations);
    this.#placement = new SimulatedPlacement({
      faultTolerance: options.deployment?.faultTolerance,
      getVotersInReach: (voter) => this.#getVotersInReach(voter),
      injectedBug: options.injectedBug,
    });
    this.voters = this.#createVoters();
    this.#clients = CLIENTS.map(
      (name) =>
        new VoterClient({
          getVoters: () =>
            this.voters.filter((voter) => voter.isRunning(this.now)),
          name,
          randomNumber: this.#randomNumber,
        }),
    );
    for (const voter of this.voters) {
      voter.start(0);
    }
  }

  /** Runs with faults, then without them, and checks the final state. */
  run(): readonly string[] {
    this.runFor(FAULT_PHASE_MILLISECONDS, () => {
      this.#injectFaults();
    });
    return this.heal();
  }

  /** Ends all faults, continues the run and checks the final state. */
  heal(): readonly string[] {
    this.#isHealing = true;
    this.runFor(HEAL_MILLISECONDS, () => undefined);
    this.#runUntilElected();
    this.#checks.checkFinalState(this.#clients, this.getLeader());
    return this.violations;
  }

  /** Runs until there is a leader; with few distinct timeouts votes can split. */
  #runUntilElected(): void {
    const end = this.now + ELECTION_LIMIT_MILLISECONDS;
    while (
      this.getLeader() === undefined &&
      this.now < end &&
      this.violations.length === 0
    ) {
      this.runFor(STEP_MILLISECONDS, () => undefined);
    }
  }

  /** Runs for a duration and calls the function at each step. */
  runFor(milliseconds: number, onStep: () => void): void {
    const end = this.now + milliseconds;
    while (this.now < end && this.violations.length === 0) {
      this.now += STEP_MILLISECONDS;
      try {
        onStep();
        this.#restartDueVoters();
        this.#step();
      } catch (error) {
        this.violations.push(String(error));
      }
    }
  }

  getLeader(): SimulatedVoter | undefined {
    return this.voters
      .filter(({raft}) => raft?.isReadyLeader() === true)
      .toSorted(
        (left, right) =>
          (right.raft?.getStatus().term ?? 0) -
          (left.raft?.getStatus().term ?? 0),
      )[0];
  }

  /** Stops a voter and restarts it after a delay. */
  crash(voter: SimulatedVoter, milliseconds: number): void {
    if (voter.isUp) {
      voter.stop();
      this.#restartAt.set(voter, this.now + milliseconds);
    }
  }

  /** Isolates a voter from the network for a duration. */
  isolate(voter: SimulatedVoter, milliseconds: number): void {
    this.#links.isolate(voter, this.now + milliseconds);
  }

  /** Cuts a part of the voters off from the others for a duration. */
  split(part: readonly SimulatedVoter[], milliseconds: number): void {
    this.#links.split(part, this.now + milliseconds);
  }

  /** Stops a voter for good. */
  retire(voter: SimulatedVoter): void {
    voter.stop();
    this.#restartAt.delete(voter);
    this.voters.splice(this.voters.indexOf(voter), 1);
  }

  /** Adds a machine with an empty disk. */
  add(daemon: string): SimulatedVoter {
    const voter = this.#createVoter(daemon, undefined);
    this.voters.push(voter);
    voter.start(this.now);
    return voter;
  }

  /** Returns the number of changes acknowledged to clients as accepted. */
  getAcceptedCount(): number {
    return this.#clients.flatMap((client) => client.getAccepted()).length;
  }

  /** Returns the number of terms with a leader. */
  getTermCount(): number {
    return this.#checks.getTermCount();
  }

  /** Whether every voter in every known replica set still has its disk. */
  hasAllVoterDisks(): boolean {
    const current = new Set(
      this.voters.map((voter) => voter.getReplica().identity),
    );
    return this.voters.every((voter) => {
      const voters = voter.raft?.getStatus().replicaSet.voters;
      return voters?.every(({identity}) => current.has(identity)) ?? false;
    });
  }

  #getDaemons(): readonly string[] {
    return this.#options.deployment?.daemons ?? DAEMONS;
  }

  #createVoters(): SimulatedVoter[] {
    const initial = this.#getDaemons().slice(0, INITIAL_VOTERS);
    const replicas = initial.map((daemon) => ({
      daemon,
      identity: `${daemon}1`,
    }));
    const data = JSON.stringify({
      ...INITIAL_CONFIGURATION_STATE,
      voterTarget: initial,
    });
    const snapshot: Snapshot = {
      content: {data, replicaSet: {learners: [], voters: replicas}},
      index: 1,
      term: 1,
    };
    return this.#getDaemons().map((daemon) =>
      this.#createVoter(
        daemon,
        initial.includes(daemon) ? snapshot : undefined,
      ),
    );
  }

  #createVoter(daemon: string, snapshot: Snapshot | undefined): SimulatedVoter {
    const {faults, injectedBug: bug} = this.#options;
    const voter = new SimulatedVoter({
      daemon,
      entriesPerSnapshot: ENTRIES_PER_SNAPSHOT,
      injectedBug: bug,
      isOlder: this.#options.isOlder?.(daemon) ?? false,
      observer: this.#createObserver(),
      raftOptions: createRaftOptions({
        electionTimeout: faults.electionTimeout,
        heartbeatInterval: faults.electionTimeout / HEARTBEATS_PER_TIMEOUT,
        measureCommand: () => COMMAND_SIZE,
        randomNumber: () =>
          Math.floor(this.#randomNumber() * ELECTION_TIMEOUT_STEPS) /
          ELECTION_TIMEOUT_STEPS,
        retainedEntries: RETAINED_ENTRIES,
        rules: {
          findReplicaSetRefusal:
            bug === 'replaceAllAtOnce' || bug === 'removeUnchecked'
              ? () => undefined
              : RAFT_RULES.findReplicaSetRefusal,
          mayCommit:
            bug === 'commitOldTerms' ? () => true : RAFT_RULES.mayCommit,
          mayVote: bug === 'voteForAnyLog' ? () => true : RAFT_RULES.mayVote,
        },
        snapshotChunkCharacters: SNAPSHOT_CHUNK_CHARACTERS,
      }),
      randomNumber: this.#randomNumber,
      snapshot,
    });
    voter.acceptsChanges = () => this.#placement.isAcceptingChanges(voter);
    return voter;
  }

  #createObserver(): VoterObserver {
    return {
      onCommit: (voter, entry) => {
        this.#checks.checkCommit(voter, entry);
        if (this.#occurs(this.#options.faults.crashOnCommit)) {
          this.#pendingCrashes.add(voter);
        }
      },
      onLeader: (voter, term) => {
        this.#checks.checkLeader(voter, term);
      },
      onSnapshot: (voter, snapshot) => {
        this.#checks.checkSnapshot(voter, snapshot);
      },
      send: (from, message) => {
        this.#send(from, message);
      },
    };
  }

  #occurs(probability: number): boolean {
    return !this.#isHealing && this.#randomNumber() < probability;
  }

  #send(from: SimulatedVoter, message: RaftMessage): void {
    const {drop, duplicate, longDelay, longDelayLimit} = this.#options.faults;
    if (this.#occurs(drop)) {
      return;
    }
    const copies = this.#occurs(duplicate) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const limit = this.#occurs(longDelay)
        ? longDelayLimit
        : SHORT_DELAY_MILLISECONDS;
      const deliverAt = this.now + this.#randomNumber() * limit;
      this.#network.push({deliverAt, from, message});
    }
  }

  #deliver({from, message}: Delivery): void {
    const target = this.voters.find(
      (voter) => voter.getReplica().identity === message.to,
    );
    const isReachable =
      target?.isUp === true && this.#links.areConnected(from, target, this.now);
    if (isReachable && target.isRunning(this.now)) {
      target.receive(message, this.now);
    } else if (isReachable) {
      this.#network.push({deliverAt: target.pausedUntil, from, message});
    }
  }

  #getVotersInReach(voter: SimulatedVoter): readonly SimulatedVoter[] {
    return this.voters.filter(
      (other) =>
        other.isRunning(this.now) &&
        this.#links.areConnected(voter, other, this.now),
    );
  }

  #step(): void {
    const due = this.#network.filter(({deliverAt}) => deliverAt <= this.now);
    this.#network = this.#network.filter(({deliverAt}) => deliverAt > this.now);
    for (const delivery of due) {
      this.#deliver(delivery);
    }
    const isTick = (this.now / STEP_MILLISECONDS) % STEPS_PER_TICK === 0;
    for (const voter of this.voters) {
      if (voter.isRunning(this.now)) {
        voter.sync(this.now);
        if (isTick) {
          voter.tick(this.now);
          this.#placement.tick(voter, this.now);
        }
      }
    }
    for (const client of this.#clients) {
      client.step(this.now);
    }
  }

  #injectFaults(): void {
    const {deployment, faults} = this.#options;
    deployment?.injectFaults(this, this.#randomNumber);
    const isLeaderTargeted = this.#randomNumber() < LEADER_FAULT_PROBABILITY;
    const voter =
      (isLeaderTargeted ? this.getLeader() : undefined) ??
      pickRandom(this.voters, this.#randomNumber);
    if (voter === undefined) {
      return;
    }
    const duration = this.#randomNumber() * faults.maximumDuration;
    this.#injectStops(voter, duration);
    if (this.#occurs(faults.isolate)) {
      this.isolate(voter, duration);
    }
    if (this.#occurs(faults.pause)) {
      voter.pausedUntil = this.now + duration;
    }
    if (this.#occurs(faults.clockJump)) {
      voter.jumpClock(duration);
    }
    if (this.#occurs(faults.transfer)) {
      voter.transfer(this.now);
    }
    if (this.#occurs(faults.wipe) && this.hasAllVoterDisks()) {
      this.crash(voter, duration);
      voter.wipe();
    }
    if (this.#occurs(faults.voterChange)) {
      this.#proposeVoterTarget(voter);
    }
  }

  #injectStops(voter: SimulatedVoter, duration: number): void {
    const {faults} = this.#options;
    if (this.#occurs(faults.crash)) {
      this.#pendingCrashes.add(voter);
    }
    if (this.#occurs(faults.powerLoss)) {
      this.voters.forEach((other) => this.#pendingCrashes.add(other));
    }
    for (const crashing of this.#pendingCrashes) {
      this.crash(crashing, duration);
    }
    this.#pendingCrashes.clear();
  }

  #proposeVoterTarget(voter: SimulatedVoter): void {
    const count = this.#randomNumber() < 0.5 ? DAEMONS.length : INITIAL_VOTERS;
    const voters = shuffle(DAEMONS, this.#randomNumber).slice(0, count);
    voter.proposeVoters(voters, this.now);
  }

  #restartDueVoters(): void {
    for (const [voter, restartAt] of this.#restartAt) {
      if (restartAt <= this.now || this.#isHealing) {
        this.#restartAt.delete(voter);
        voter.start(this.now);
      }
    }
    if (this.#isHealing) {
      this.#links.heal();
      for (const voter of this.voters) {
        voter.pausedUntil = 0;
      }
    }
  }
}
