/**
 * Plays trees of calls against the decisions of the relay in memory: the requests of 80
 * daemons reach one service directly or through chains of calls, or not at all.
 */

import type {PlayedCaller, TreeReports} from './PlayedService.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {RouteGate} from '../caller/RouteGate.js';
import {TreeAdmission} from '../caller/TreeAdmission.js';
import {ServiceCostSum} from '../packets/ServiceCosts.js';
import {RANK_COUNT, RANKS_PER_IMPORTANCE} from '../RelayConstants.js';
import {PlayClock} from './PlayClock.js';
import {
  createPlacement,
  INSTANCE_SPEEDS,
  PlayedService,
  SERVICE,
  USABLE_SLOTS,
} from './PlayedService.js';

/** A kind of request. */
export type TreeKind = {
  /** Chains of four calls each that its run makes at the same time. */
  readonly chains: number;
  readonly importance: number;
  /** Whether the service itself runs the request. */
  readonly isDirect: boolean;
  readonly name: string;
  readonly ownMilliseconds: Milliseconds;
  /** Requests of the kind, relative to the others. */
  readonly share: number;
  readonly timeoutMilliseconds: Milliseconds;
};

/** A load to play. */
export type PlayedLoad = {
  /** Demand over slots at a point in time, before the factor of a kind. */
  readonly getDemand: (now: Milliseconds) => number;
  readonly getInstanceCount: (now: Milliseconds) => number;
  readonly getKindFactor: (kind: TreeKind, now: Milliseconds) => number;
};

/** Counts of the requests of one kind. */
export type KindCounts = {
  admitted: number;
  asked: number;
  finished: number;
  refused: number;
};

/** What was seen in a tenth of a second. */
export type PlaySample = {
  readonly at: Milliseconds;
  readonly meanThreshold: number;
  slotUse: number;
};

const DAEMON_COUNT = 80;
const CALLS_PER_CHAIN = 4;
const CALL_MILLISECONDS = 47;
const DIRECT_RUN_MILLISECONDS = 64;
const DIRECT_QUEUEING_MILLISECONDS = 120;
/** Run times of the two services on the way to the calls of a chain. */
const HOPS_MILLISECONDS = 30;
const TICK_MILLISECONDS = 40;
const SAMPLE_MILLISECONDS = 100;
const WARM_UP_MILLISECONDS = 2_000;
const COOL_DOWN_MILLISECONDS = 3_000;
/** Bounds of the age of an answer when its daemon reads it. */
const MINIMUM_AGE_MILLISECONDS = 0.5;
const MAXIMUM_AGE_MILLISECONDS = 400;

export const TREE_KINDS: readonly TreeKind[] = [
  {
    chains: 1,
    importance: 0,
    isDirect: false,
    name: 'order',
    ownMilliseconds: 200,
    share: 1.8,
    timeoutMilliseconds: 1_500,
  },
  {
    chains: 0,
    importance: 1,
    isDirect: true,
    name: 'direct',
    ownMilliseconds: 0,
    share: 1.8,
    timeoutMilliseconds: 1_200,
  },
  {
    chains: 2,
    importance: 2,
    isDirect: false,
    name: 'list',
    ownMilliseconds: 160,
    share: 5.8,
    timeoutMilliseconds: 1_000,
  },
  {
    chains: 0,
    importance: 2,
    isDirect: false,
    name: 'untouched',
    ownMilliseconds: 400,
    share: 1.8,
    timeoutMilliseconds: 2_500,
  },
];

type Daemon = PlayedCaller & {readonly gate: RouteGate};

type Tree = {
  readonly kind: TreeKind;
  readonly reports: TreeReports;
  readonly root: Daemon;
  readonly shedRank: number;
  readonly startedAt: Milliseconds;
};

function createCounts(): KindCounts {
  return {admitted: 0, asked: 0, finished: 0, refused: 0};
}

function getSlotMilliseconds({chains, isDirect}: TreeKind): number {
  const direct = isDirect ? DIRECT_RUN_MILLISECONDS : 0;
  return direct + chains * CALLS_PER_CHAIN * CALL_MILLISECONDS;
}

export class TreePlay {
  /** Calls made, and those that were not answered in time. */
  readonly calls = {made: 0, refused: 0};
  readonly counts = new Map<string, KindCounts>(
    TREE_KINDS.map(({name}) => [name, createCounts()]),
  );
  readonly samples: PlaySample[] = [];
  readonly #clock: PlayClock;
  readonly #daemons: readonly Daemon[];
  readonly #length: Milliseconds;
  readonly #load: PlayedLoad;
  readonly #service: PlayedService;
  readonly #usesCosts: boolean;

  constructor(
    load: PlayedLoad,
    loadModel: 'cost' | 'requests',
    length: Milliseconds,
    seed: number,
  ) {
    const random = createSeededRandom(seed);
    this.#clock = new PlayClock(random);
    this.#daemons = Array.from({length: DAEMON_COUNT}, () => ({
      gate: new RouteGate(random),
      placement: createPlacement(random, loadModel === 'cost'),
      trees: new TreeAdmission(),
    }));
    this.#length = length;
    this.#load = load;
    this.#usesCosts = loadModel === 'cost';
    this.#service = new PlayedService(
      this.#clock,
      this.#usesCosts,
      load.getInstanceCount,
    );
  }

  /** Plays the whole load. */
  run(): void {
    while (this.#clock.now < this.#length) {
      this.#beginRequests();
      if (this.#clock.now % TICK_MILLISECONDS === 0) {
        this.#service.tick();
      }
      this.#sample();
      this.#clock.advance();
    }
  }

  #sample(): void {
    const {now} = this.#clock;
    if (now % SAMPLE_MILLISECONDS === 0) {
      const total = this.#daemons.reduce(
        (sum, {trees}) => sum + trees.getThreshold(SERVICE, now),
        0,
      );
      const meanThreshold = total / DAEMON_COUNT;
      this.samples.push({at: now, meanThreshold, slotUse: 0});
    }
    const sample = this.samples.at(-1);
    if (sample !== undefined) {
      sample.slotUse += this.#service.getSlotUse() / SAMPLE_MILLISECONDS;
    }
  }

  #beginRequests(): void {
    const {getDemand, getKindFactor} = this.#load;
    const {now} = this.#clock;
    const slotMilliseconds = TREE_KINDS.reduce(
      (sum, kind) => sum + kind.share * getSlotMilliseconds(kind),
      0,
    );
    const slots = INSTANCE_SPEEDS.length * USABLE_SLOTS;
    const scale = (getDemand(now) * slots) / slotMilliseconds;
    for (const kind of TREE_KINDS) {
      const mean = scale * kind.share * getKindFactor(kind, now);
      for (let left = this.#clock.drawPoisson(mean); left > 0; left -= 1) {
        this.#begin(kind);
      }
    }
  }

  #begin(kind: TreeKind): void {
    const {now} = this.#clock;
    const root = this.#pickDaemon();
    const cohort = Math.floor(this.#clock.random() * RANKS_PER_IMPORTANCE);
    const shedRank = kind.importance * RANKS_PER_IMPORTANCE + cohort;
    const counts = this.#getCounts(kind, now);
    counts.asked += 1;
    const service = kind.isDirect ? SERVICE : kind.name;
    const request = {route: kind.name, service, shedRank};
    const isAdmitted = this.#usesCosts
      ? root.trees.findBindingService(request, now) === undefined
      : root.gate.admits(kind.name, shedRank, now);
    if (!isAdmitted) {
      counts.refused += 1;
      return;
    }
    counts.admitted += 1;
    const reports = {costs: new ServiceCostSum(), thresholds: []};
    const tree = {kind, reports, root, shedRank, startedAt: now};
    if (kind.isDirect) {
      this.#call(root, tree, (isDone) => {
        this.#end(tree, isDone);
      });
    } else {
      this.#run(tree);
    }
  }

  /** Runs a request that makes calls: half of its own run lies before them. */
  #run(tree: Tree): void {
    const {chains, name, ownMilliseconds} = tree.kind;
    let openChains = chains;
    let isWhole = true;
    const finish = (isDone: boolean): void => {
      openChains -= 1;
      isWhole &&= isDone;
      if (openChains <= 0) {
        this.#clock.after(ownMilliseconds / 2, () => {
          this.#end(tree, isWhole);
        });
      }
    };
    this.#clock.after(this.#clock.drawRunTime(ownMilliseconds / 2), () => {
      tree.reports.costs.add(name, ownMilliseconds, RANK_COUNT);
      if (chains === 0) {
        finish(true);
      }
      for (let chain = 0; chain < chains; chain += 1) {
        this.#clock.after(HOPS_MILLISECONDS, () => {
          this.#runChain(this.#pickDaemon(), tree, CALLS_PER_CHAIN, finish);
        });
      }
    });
  }

  #runChain(
    daemon: Daemon,
    tree: Tree,
    callsLeft: number,
    onEnd: (isDone: boolean) => void,
  ): void {
    if (callsLeft === 0) {
      onEnd(true);
      return;
    }
    this.#call(daemon, tree, (isDone) => {
      if (isDone) {
        this.#runChain(daemon, tree, callsLeft - 1, onEnd);
      } else {
        onEnd(false);
      }
    });
  }

  #call(
    daemon: Daemon,
    {kind, reports, shedRank, startedAt}: Tree,
    onEnd: (isDone: boolean) => void,
  ): void {
    const isCounted = startedAt >= WARM_UP_MILLISECONDS;
    this.calls.made += Number(isCounted);
    this.#service.call(daemon, {
      deadline: startedAt + kind.timeoutMilliseconds,
      onEnd: (isDone) => {
        this.calls.refused += Number(isCounted && !isDone);
        onEnd(isDone);
      },
      queueingMilliseconds: kind.isDirect
        ? DIRECT_QUEUEING_MILLISECONDS
        : undefined,
      reports,
      runMilliseconds: kind.isDirect
        ? DIRECT_RUN_MILLISECONDS
        : CALL_MILLISECONDS,
      shedRank,
    });
  }

  #end({kind, reports, root, startedAt}: Tree, isWhole: boolean): void {
    const isFinished =
      isWhole && this.#clock.now < startedAt + kind.timeoutMilliseconds;
    this.#getCounts(kind, startedAt).finished += Number(isFinished);
    const {costs, thresholds} = reports;
    const ageRange = MAXIMUM_AGE_MILLISECONDS / MINIMUM_AGE_MILLISECONDS;
    const age = MINIMUM_AGE_MILLISECONDS * ageRange ** this.#clock.random();
    this.#clock.after(age, () => {
      const {now} = this.#clock;
      root.trees.recordThresholds(costs.list(), now);
      root.trees.recordRoot(kind.name, costs.list(), isFinished, now);
      root.gate.recordOutcome(kind.name, isFinished, now);
      if (thresholds.length > 0) {
        const total = thresholds.reduce((sum, threshold) => sum + threshold, 0);
        root.gate.recordThreshold(kind.name, total / thresholds.length, now);
      }
    });
  }

  /** Trees that begin in the warm-up, or too late to finish, are not counted. */
  #getCounts({name}: TreeKind, startedAt: Milliseconds): KindCounts {
    const isCounted =
      startedAt >= WARM_UP_MILLISECONDS &&
      startedAt <= this.#length - COOL_DOWN_MILLISECONDS;
    return (isCounted && this.counts.get(name)) || createCounts();
  }

  #pickDaemon(): Daemon {
    const index = Math.floor(this.#clock.random() * DAEMON_COUNT);
    const daemon = this.#daemons[index];
    if (daemon === undefined) {
      throw new Error(`No daemon has the index ${String(index)}.`);
    }
    return daemon;
  }
}
