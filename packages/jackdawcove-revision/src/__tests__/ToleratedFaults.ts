/** Faults that a cluster must bear: no more lost machines than it tolerates. */

import type {SimulatedVoter} from './SimulatedVoter.js';
import type {VoterCluster} from './VoterCluster.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {pickRandom, shuffle} from 'jackdawcove-shared';

/** A machine counts as lost until it has been back for this long. */
const CATCH_UP_MILLISECONDS = 4_000;
const SUCCESSOR_DELAY_MILLISECONDS = 1_000;
const MAXIMUM_LOSS_MILLISECONDS = 5_000;
const MAXIMUM_OUTAGE_MILLISECONDS = 1_000;
const LOSS_PROBABILITY = 0.01;
const OUTAGE_PROBABILITY = 0.001;
const SPLIT_PROBABILITY = 0.001;
const FREQUENT_SPLIT_PROBABILITY = 0.01;
const SUCCESSOR_LOSS_PROBABILITY = 0.02;
const POWER_LOSS_PROBABILITY = 0.5;

type Loss = 'crash' | 'isolate' | 'pause' | 'replace' | 'wipe';

const LOSSES: readonly Loss[] = [
  'crash',
  'isolate',
  'pause',
  'replace',
  'wipe',
];

/** Losses after which the disk is there again. */
const BRIEF_LOSSES: readonly Loss[] = ['crash', 'isolate', 'pause'];

/** Options of the faults. */
export type ToleratedFaultsOptions = {
  readonly faultTolerance: number;
  /** Whether any number of machines may be lost at once, all with their disks. */
  readonly isOverlapping: boolean;
  /** Whether an empty disk may be lost again while its machine counts as lost. */
  readonly losesSuccessors?: boolean;
};

type RecoveringMachine = {readonly daemon: string; readonly until: number};

type Successor = {readonly daemon: string; readonly startsAt: number};

/**
 * Injects losses of single machines up to the tolerated number, and outages and
 * splits of the whole cluster that lose no disk.
 *
 * @example
 * const faults = new ToleratedFaults({faultTolerance: 1, isOverlapping: false});
 * faults.inject(cluster, randomNumber);
 */
export class ToleratedFaults {
  #lostUntil: number[] = [];
  #nextNumber = 1;
  readonly #options: ToleratedFaultsOptions;
  #recovering: RecoveringMachine[] = [];
  #successors: Successor[] = [];
  /** Time until which disks that were lost cannot be replaced. */
  #undisturbedFrom: number;

  /**
   * A fleet starts with three voters, which bear one loss; machines count as lost
   * until they have been up for a while, so two losses come after the growth.
   */
  constructor(options: ToleratedFaultsOptions) {
    this.#options = options;
    this.#undisturbedFrom =
      options.faultTolerance > 1 ? CATCH_UP_MILLISECONDS : 0;
  }

  inject(cluster: VoterCluster, randomNumber: RandomNumber): void {
    this.#startSuccessors(cluster);
    this.#lostUntil = this.#lostUntil.filter((until) => until > cluster.now);
    if (this.#options.losesSuccessors === true) {
      this.#loseSuccessor(cluster, randomNumber);
    }
    const duration = randomNumber() * MAXIMUM_LOSS_MILLISECONDS;
    if (randomNumber() < LOSS_PROBABILITY && this.#mayLose(cluster.now)) {
      this.#lose(cluster, duration, randomNumber);
    }
    if (randomNumber() < OUTAGE_PROBABILITY) {
      this.#cutPower(cluster, randomNumber);
    }
    const splitProbability = this.#options.isOverlapping
      ? FREQUENT_SPLIT_PROBABILITY
      : SPLIT_PROBABILITY;
    if (randomNumber() < splitProbability) {
      const half = Math.floor(cluster.voters.length / 2);
      const part = shuffle(cluster.voters, randomNumber).slice(0, half);
      cluster.split(part, duration);
      this.#disturb(cluster.now + duration);
    }
  }

  /** Empties the disk of a machine that counts as lost once more. */
  #loseSuccessor(cluster: VoterCluster, randomNumber: RandomNumber): void {
    this.#recovering = this.#recovering.filter(
      ({until}) => until > cluster.now,
    );
    const voter = cluster.voters.find(
      ({daemon, isUp}) =>
        isUp && this.#recovering.some((machine) => machine.daemon === daemon),
    );
    if (voter === undefined || randomNumber() >= SUCCESSOR_LOSS_PROBABILITY) {
      return;
    }
    const lostFor = randomNumber() * MAXIMUM_OUTAGE_MILLISECONDS;
    const until = cluster.now + lostFor + CATCH_UP_MILLISECONDS;
    this.#lostUntil.push(until);
    this.#applyLoss('wipe', cluster, voter, lostFor);
    if (randomNumber() < POWER_LOSS_PROBABILITY) {
      this.#cutPower(cluster, randomNumber);
    }
  }

  #cutPower(cluster: VoterCluster, randomNumber: RandomNumber): void {
    const outage = randomNumber() * MAXIMUM_OUTAGE_MILLISECONDS;
    for (const voter of cluster.voters) {
      cluster.crash(voter, outage);
    }
    this.#disturb(cluster.now + outage);
  }

  #mayLose(now: number): boolean {
    const {faultTolerance, isOverlapping} = this.#options;
    return (
      isOverlapping ||
      (this.#lostUntil.length < faultTolerance && now >= this.#undisturbedFrom)
    );
  }

  /** No further machine is lost until all others have had time to catch up. */
  #disturb(until: number): void {
    const undisturbedFrom = until + CATCH_UP_MILLISECONDS;
    this.#undisturbedFrom = Math.max(this.#undisturbedFrom, undisturbedFrom);
  }

  #startSuccessors(cluster: VoterCluster): void {
    const due = this.#successors.filter(
      ({startsAt}) => startsAt <= cluster.now,
    );
    this.#successors = this.#successors.filter(
      (successor) => !due.includes(successor),
    );
    for (const {daemon} of due) {
      cluster.add(daemon);
    }
  }

  #lose(
    cluster: VoterCluster,
    duration: number,
    randomNumber: RandomNumber,
  ): void {
    const voter = pickRandom(
      cluster.voters.filter(({isUp}) => isUp),
      randomNumber,
    );
    const loss = pickRandom(
      this.#options.isOverlapping ? BRIEF_LOSSES : LOSSES,
      randomNumber,
    );
    if (voter === undefined || loss === undefined) {
      return;
    }
    const isReplaced = loss === 'replace';
    const lostFor = isReplaced ? SUCCESSOR_DELAY_MILLISECONDS : duration;
    this.#lostUntil.push(cluster.now + lostFor + CATCH_UP_MILLISECONDS);
    this.#applyLoss(loss, cluster, voter, lostFor);
  }

  #applyLoss(
    loss: Loss,
    cluster: VoterCluster,
    voter: SimulatedVoter,
    duration: number,
  ): void {
    switch (loss) {
      case 'crash':
        cluster.crash(voter, duration);
        break;
      case 'isolate':
        cluster.isolate(voter, duration);
        break;
      case 'pause':
        voter.pausedUntil = cluster.now + duration;
        break;
      case 'replace':
        this.#replace(cluster, voter, duration);
        break;
      case 'wipe':
        cluster.crash(voter, duration);
        voter.wipe();
        this.#recordRecovery(voter.daemon, cluster.now + duration);
        break;
    }
  }

  #replace(
    cluster: VoterCluster,
    voter: SimulatedVoter,
    duration: number,
  ): void {
    const daemon = `${voter.daemon.charAt(0)}-${String(this.#nextNumber)}`;
    const startsAt = cluster.now + duration;
    cluster.retire(voter);
    this.#successors.push({daemon, startsAt});
    this.#nextNumber += 1;
    this.#recordRecovery(daemon, startsAt);
  }

  #recordRecovery(daemon: string, startsAt: number): void {
    const until = startsAt + CATCH_UP_MILLISECONDS;
    this.#recovering.push({daemon, until});
  }
}
