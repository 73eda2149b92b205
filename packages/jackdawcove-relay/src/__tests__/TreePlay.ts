/**
 * Plays trees of calls against the decisions of the relay in memory: 80 daemons whose
 * requests reach one service through chains of calls, and six instances of it.
 */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {WaitingRequest} from '../server/InstanceAdmission.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {InstancePlacement} from '../caller/InstancePlacement.js';
import {RouteGate} from '../caller/RouteGate.js';
import {TreeAdmission} from '../caller/TreeAdmission.js';
import {ServiceCostSum} from '../packets/ServiceCosts.js';
import {RANK_COUNT} from '../RelayConstants.js';
import {InstanceAdmission} from '../server/InstanceAdmission.js';
import {PressureThreshold} from '../server/PressureThreshold.js';
import {WorkThreshold} from '../server/WorkThreshold.js';

export type LoadModel = 'cost' | 'requests';

/** A kind of request: its importance, its own run, and chains of calls that it makes. */
export type TreeKind = {
  readonly chains: number;
  readonly importance: number;
  readonly name: string;
  readonly ownMilliseconds: Milliseconds;
  readonly share: number;
  readonly timeoutMilliseconds: Milliseconds;
};

export type TreePlayOptions = {
  /** Demand over slots at a point in time, before the factor of a kind. */
  readonly getDemand: (now: Milliseconds) => number;
  readonly getKindFactor: (kind: TreeKind, now: Milliseconds) => number;
  /** Instances in service at a point in time. */
  readonly getInstanceCount: (now: Milliseconds) => number;
  readonly length: Milliseconds;
  readonly model: LoadModel;
  readonly seed: number;
};

/** Counts of one kind. */
export type KindCounts = {
  admitted: number;
  asked: number;
  finished: number;
  refused: number;
};

/** What was seen in a tenth of a second. */
export type TreePlaySample = {
  readonly at: Milliseconds;
  admittedShare: number;
  meanThreshold: number;
  slotUse: number;
};

const DAEMON_COUNT = 80;
const INSTANCE_SPEEDS = [0.6, 1, 1.4, 0.6, 1, 1.4];
const SLOTS = 62;
const USABLE_SLOTS = 58;
const SERVICE = 'audio';
const CALLS_PER_CHAIN = 4;
const CALL_MILLISECONDS = 47;
const DIRECT_RUN_MILLISECONDS = 64;
const CALL_TIMEOUT_MILLISECONDS = 700;
const QUEUEING_SHARE = 0.85;
const ROOT_QUEUEING_MILLISECONDS = 120;
const HOP_MILLISECONDS = 15;
const TICK_MILLISECONDS = 40;
const SAMPLE_MILLISECONDS = 100;
const RETRY_MILLISECONDS = 30;
const WARM_UP_MILLISECONDS = 2_000;
const COOL_DOWN_MILLISECONDS = 3_000;

export const TREE_KINDS: readonly TreeKind[] = [
  {
    chains: 1,
    importance: 0,
    name: 'order',
    ownMilliseconds: 200,
    share: 1.8,
    timeoutMilliseconds: 1_500,
  },
  {
    chains: 0,
    importance: 1,
    name: 'direct',
    ownMilliseconds: 0,
    share: 1.8,
    timeoutMilliseconds: 1_200,
  },
  {
    chains: 2,
    importance: 2,
    name: 'list',
    ownMilliseconds: 160,
    share: 5.8,
    timeoutMilliseconds: 1_000,
  },
  {
    chains: 0,
    importance: 2,
    name: 'untouched',
    ownMilliseconds: 400,
    share: 1.8,
    timeoutMilliseconds: 2_500,
  },
];

/** Mean slot time of a request of the kind at the service. */
export function getSlotMilliseconds({chains, name}: TreeKind): number {
  const direct = name === 'direct' ? DIRECT_RUN_MILLISECONDS : 0;
  return direct + chains * CALLS_PER_CHAIN * CALL_MILLISECONDS;
}

type Daemon = {
  readonly gate: RouteGate;
  readonly placement: InstancePlacement;
  readonly trees: TreeAdmission;
};

type Offer = WaitingRequest & {
  readonly end: (isRun: boolean, runTime: Milliseconds) => void;
  readonly meanRun: Milliseconds;
};

type Tree = {
  readonly deadline: Milliseconds;
  readonly kind: TreeKind;
  readonly rank: number;
  readonly startedAt: Milliseconds;
  readonly sum: ServiceCostSum;
  thresholds: number[];
};

function createCounts(): KindCounts {
  return {admitted: 0, asked: 0, finished: 0, refused: 0};
}

export class TreePlay {
  readonly counts = new Map<string, KindCounts>();
  callsMade = 0;
  callsRefused = 0;
  readonly samples: TreePlaySample[] = [];
  readonly #daemons: Daemon[];
  readonly #instances: InstanceAdmission<Offer>[];
  readonly #options: TreePlayOptions;
  readonly #random: RandomNumber;
  readonly #running = INSTANCE_SPEEDS.map(() => 0);
  readonly #timers = new Map<number, (() => void)[]>();
  #now = 0;

  constructor(options: TreePlayOptions) {
    const random = createSeededRandom(options.seed);
    this.#options = options;
    this.#random = random;
    this.#daemons = Array.from({length: DAEMON_COUNT}, () => ({
      gate: new RouteGate(random),
      placement: new InstancePlacement('zone', random),
      trees: new TreeAdmission(),
    }));
    this.#instances = INSTANCE_SPEEDS.map(() => {
      const threshold =
        options.model === 'cost'
          ? new WorkThreshold(0)
          : new PressureThreshold(0);
      const admission = new InstanceAdmission<Offer>(0, {threshold});
      admission.setSlots(SLOTS);
      return admission;
    });
    for (const {name} of TREE_KINDS) {
      this.counts.set(name, createCounts());
    }
  }

  /** Plays the whole load. */
  run(): void {
    const {length} = this.#options;
    for (this.#now = 0; this.#now < length; this.#now += 1) {
      this.#sendRequests();
      const due = this.#timers.get(this.#now) ?? [];
      this.#timers.delete(this.#now);
      for (const action of due) {
        action();
      }
      if (this.#now % TICK_MILLISECONDS === 0) {
        this.#tick();
      }
      this.#sample();
    }
  }

  #tick(): void {
    for (const admission of this.#instances) {
      admission.tick(this.#now);
      for (const offer of admission.takeExpired(this.#now)) {
        offer.end(false, 0);
      }
    }
  }

  #sample(): void {
    if (this.#now % SAMPLE_MILLISECONDS === 0) {
      let total = 0;
      for (const {trees} of this.#daemons) {
        total += trees.getThreshold(SERVICE, this.#now);
      }
      this.samples.push({
        admittedShare: 0,
        at: this.#now,
        meanThreshold: total / DAEMON_COUNT,
        slotUse: 0,
      });
    }
    const count = this.#options.getInstanceCount(this.#now);
    let inUse = 0;
    for (let index = 0; index < count; index += 1) {
      inUse += this.#running[index] ?? 0;
    }
    const sample = this.samples.at(-1);
    if (sample !== undefined) {
      sample.slotUse += inUse / (count * USABLE_SLOTS) / SAMPLE_MILLISECONDS;
    }
  }

  #after(delay: Milliseconds, action: () => void): void {
    const at = this.#now + Math.max(1, Math.round(delay));
    const actions = this.#timers.get(at);
    if (actions === undefined) {
      this.#timers.set(at, [action]);
    } else {
      actions.push(action);
    }
  }

  #sendRequests(): void {
    const {getDemand, getKindFactor} = this.#options;
    let slotMilliseconds = 0;
    for (const kind of TREE_KINDS) {
      slotMilliseconds += kind.share * getSlotMilliseconds(kind);
    }
    const slots = INSTANCE_SPEEDS.length * USABLE_SLOTS;
    const scale = (getDemand(this.#now) * slots) / slotMilliseconds;
    for (const kind of TREE_KINDS) {
      const mean = scale * kind.share * getKindFactor(kind, this.#now);
      for (let count = this.#drawPoisson(mean); count > 0; count -= 1) {
        this.#begin(kind);
      }
    }
  }

  #drawPoisson(mean: number): number {
    const limit = Math.exp(-mean);
    let count = 0;
    for (
      let product = this.#random();
      product > limit;
      product *= this.#random()
    ) {
      count += 1;
    }
    return count;
  }

  #begin(kind: TreeKind): void {
    const daemon = this.#pickDaemon();
    const rank = kind.importance * 1_000 + Math.floor(this.#random() * 1_000);
    const counts = this.#getCounts(kind, this.#now);
    counts.asked += 1;
    const request = {
      route: kind.name,
      service: kind.name === 'direct' ? SERVICE : kind.name,
      shedRank: rank,
    };
    const isAdmitted =
      this.#options.model === 'cost'
        ? daemon.trees.findBindingService(request, this.#now) === undefined
        : daemon.gate.admits(kind.name, rank, this.#now);
    if (!isAdmitted) {
      counts.refused += 1;
      return;
    }
    counts.admitted += 1;
    const tree = {
      deadline: this.#now + kind.timeoutMilliseconds,
      kind,
      rank,
      startedAt: this.#now,
      sum: new ServiceCostSum(),
      thresholds: [],
    };
    if (kind.name === 'direct') {
      this.#call(
        daemon,
        tree,
        DIRECT_RUN_MILLISECONDS,
        ROOT_QUEUEING_MILLISECONDS,
        (isDone) => {
          this.#end(daemon, tree, isDone);
        },
      );
      return;
    }
    let open = kind.chains;
    let isWhole = true;
    const finish = (isDone: boolean): void => {
      open -= 1;
      isWhole &&= isDone;
      if (open <= 0) {
        this.#after(kind.ownMilliseconds / 2, () => {
          this.#end(daemon, tree, isWhole);
        });
      }
    };
    this.#after(this.#drawRun(kind.ownMilliseconds / 2), () => {
      tree.sum.add(kind.name, kind.ownMilliseconds, RANK_COUNT);
      if (kind.chains === 0) {
        finish(true);
      }
      for (let chain = 0; chain < kind.chains; chain += 1) {
        this.#after(2 * HOP_MILLISECONDS, () => {
          this.#runChain(this.#pickDaemon(), tree, CALLS_PER_CHAIN, finish);
        });
      }
    });
  }

  #runChain(
    daemon: Daemon,
    tree: Tree,
    calls: number,
    onEnd: (isDone: boolean) => void,
  ): void {
    if (calls === 0) {
      onEnd(true);
      return;
    }
    this.#call(daemon, tree, CALL_MILLISECONDS, undefined, (isDone) => {
      if (isDone) {
        this.#runChain(daemon, tree, calls - 1, onEnd);
      } else {
        onEnd(false);
      }
    });
  }

  /** Makes one call; a refusal by an instance leads to another one. */
  #call(
    daemon: Daemon,
    tree: Tree,
    meanRun: Milliseconds,
    queueing: Milliseconds | undefined,
    onEnd: (isDone: boolean) => void,
  ): void {
    const deadline = Math.min(
      tree.deadline,
      this.#now + CALL_TIMEOUT_MILLISECONDS,
    );
    const excluded = new Set<number>();
    const isCounted = tree.startedAt >= WARM_UP_MILLISECONDS;
    this.callsMade += isCounted ? 1 : 0;
    const dispatch = (): void => {
      if (this.#now >= deadline) {
        this.callsRefused += isCounted ? 1 : 0;
        onEnd(false);
        return;
      }
      const chosen = this.#choose(daemon, excluded);
      if (chosen === undefined) {
        excluded.clear();
        this.#after(RETRY_MILLISECONDS, dispatch);
        return;
      }
      this.#offer(
        daemon,
        tree,
        chosen,
        meanRun,
        deadline,
        queueing,
        (isRun) => {
          if (isRun) {
            onEnd(this.#now < deadline);
          } else if (queueing !== undefined && excluded.size >= 3) {
            this.callsRefused += isCounted ? 1 : 0;
            onEnd(false);
          } else {
            excluded.add(chosen);
            dispatch();
          }
        },
      );
    };
    dispatch();
  }

  #choose(daemon: Daemon, excluded: ReadonlySet<number>): number | undefined {
    const count = this.#options.getInstanceCount(this.#now);
    const candidates = [];
    for (let index = 0; index < count; index += 1) {
      if (!excluded.has(index)) {
        candidates.push({
          availabilityZone: 'zone',
          daemon: String(index),
          daemonIncarnation: 1,
          incarnation: 1,
          instance: String(index),
          slots: SLOTS,
        });
      }
    }
    const request = {objectiveMilliseconds: 300, route: 'call'};
    const chosen = daemon.placement.choose(candidates, request, this.#now);
    return chosen === undefined ? undefined : Number(chosen.instance);
  }

  #offer(
    daemon: Daemon,
    tree: Tree,
    index: number,
    meanRun: Milliseconds,
    deadline: Milliseconds,
    queueing: Milliseconds | undefined,
    onEnd: (isRun: boolean) => void,
  ): void {
    const admission = this.#instances[index];
    if (admission === undefined) {
      throw new Error('no instance');
    }
    const instance = String(index);
    daemon.placement.recordSent(instance, this.#now);
    this.#after(1, () => {
      const now = this.#now;
      const patience = Math.min(
        (deadline - now) * QUEUEING_SHARE,
        queueing ?? Number.POSITIVE_INFINITY,
      );
      const offer: Offer = {
        arrivedAt: now,
        end: (isRun, runTime) => {
          const load = admission.getLoad(this.#now);
          const threshold = load.threshold;
          this.#after(1, () => {
            daemon.placement.recordEnded(
              {incarnation: 1, instance},
              load,
              this.#now,
            );
            if (isRun) {
              daemon.placement.recordRun(
                instance,
                'call',
                runTime,
                false,
                this.#now,
              );
            }
            const costs: ServiceCost[] = [
              {service: SERVICE, slotMilliseconds: runTime, threshold},
            ];
            daemon.trees.recordThresholds(costs, this.#now);
            tree.sum.addAll(costs);
            tree.thresholds.push(threshold);
            onEnd(isRun);
          });
        },
        expiresAt: now + patience,
        isRateLimitKnown: true,
        meanRun,
        shedRank: tree.rank,
      };
      if (index >= this.#options.getInstanceCount(now)) {
        offer.end(false, 0);
        return;
      }
      const decision = admission.offer(offer, now);
      if (decision === 'run') {
        this.#start(index, offer);
      } else if (decision === 'full') {
        offer.end(false, 0);
      }
    });
  }

  #start(index: number, offer: Offer): void {
    const admission = this.#instances[index];
    const runTime =
      this.#drawRun(offer.meanRun) / (INSTANCE_SPEEDS[index] ?? 1);
    this.#running[index] = (this.#running[index] ?? 0) + 1;
    this.#after(runTime, () => {
      this.#running[index] = (this.#running[index] ?? 0) - 1;
      admission?.release(this.#now, runTime);
      offer.end(true, runTime);
      const next = admission?.takeNext(this.#now);
      if (next !== undefined) {
        this.#start(index, next);
      }
    });
  }

  #end(daemon: Daemon, tree: Tree, isWhole: boolean): void {
    const {kind, startedAt, sum, thresholds} = tree;
    const isFinished = isWhole && this.#now < tree.deadline;
    const counts = this.#getCounts(kind, startedAt);
    counts.finished += isFinished ? 1 : 0;
    const age = 0.5 * 800 ** this.#random();
    this.#after(age, () => {
      const costs = sum.list();
      daemon.trees.recordThresholds(costs, this.#now);
      daemon.trees.recordRoot(kind.name, costs, isFinished, this.#now);
      daemon.gate.recordOutcome(kind.name, isFinished, this.#now);
      if (thresholds.length > 0) {
        const total = thresholds.reduce((left, right) => left + right, 0);
        daemon.gate.recordThreshold(
          kind.name,
          total / thresholds.length,
          this.#now,
        );
      }
    });
  }

  /** Draws an exponential run time with a floor, half of it constant. */
  #drawRun(mean: Milliseconds): Milliseconds {
    return mean * (0.5 - 0.5 * Math.log(1 - this.#random()));
  }

  /** Trees that begin in the warm-up, or too late to finish, are not counted. */
  #getCounts({name}: TreeKind, startedAt: Milliseconds): KindCounts {
    const {length} = this.#options;
    if (
      startedAt < WARM_UP_MILLISECONDS ||
      startedAt > length - COOL_DOWN_MILLISECONDS
    ) {
      return createCounts();
    }
    const counts = this.counts.get(name);
    if (counts === undefined) {
      throw new Error(`no kind ${name}`);
    }
    return counts;
  }

  #pickDaemon(): Daemon {
    const daemon = this.#daemons[Math.floor(this.#random() * DAEMON_COUNT)];
    if (daemon === undefined) {
      throw new Error('no daemon');
    }
    return daemon;
  }
}
