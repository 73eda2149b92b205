/**
 * Plays two kinds of requests of one importance, and a more important one, at a service
 * that they cost very different amounts: chains of short calls, and single long runs.
 */

import type {
  InstanceAdmission,
  WaitingRequest,
} from '../server/InstanceAdmission.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {CostOrder} from '../caller/CostOrder.js';
import {RouteGate} from '../caller/RouteGate.js';
import {RANKS_PER_IMPORTANCE} from '../RelayConstants.js';
import {PlayClock} from './PlayClock.js';
import {chooseAdmission, createAdmissions} from './playInstances.js';

export type PlayedKind = {
  readonly callMilliseconds: Milliseconds;
  readonly calls: number;
  readonly importance: number;
  readonly name: string;
  /** Requests relative to the other kinds. */
  readonly share: number;
  readonly timeoutMilliseconds: Milliseconds;
};

export type PlayedCounts = {asked: number; served: number};

export const PLAYED_KINDS: readonly PlayedKind[] = [
  {
    callMilliseconds: 30,
    calls: 8,
    importance: 0,
    name: 'claim',
    share: 1.6,
    timeoutMilliseconds: 1_000,
  },
  {
    callMilliseconds: 30,
    calls: 4,
    importance: 2,
    name: 'chain',
    share: 5.6,
    timeoutMilliseconds: 800,
  },
  {
    callMilliseconds: 480,
    calls: 1,
    importance: 2,
    name: 'long',
    share: 0.9,
    timeoutMilliseconds: 2_500,
  },
];

const SERVICE = 'records';
const SLOTS = 26;
const USABLE_SLOTS = 24;
const DAEMON_COUNT = 12;
const INSTANCE_COUNT = 3;
const LENGTH_MILLISECONDS = 24_000;
const WARM_UP_MILLISECONDS = 4_000;
const COOL_DOWN_MILLISECONDS = 3_000;
const TICK_MILLISECONDS = 40;
const QUEUEING_SHARE = 0.85;
const ROOT_QUEUEING_MILLISECONDS = 480;

type Daemon = {readonly gate: RouteGate; readonly order: CostOrder};

type Tree = {
  callsLeft: number;
  readonly daemon: Daemon;
  readonly deadline: Milliseconds;
  readonly kind: PlayedKind;
  readonly shedRank: number;
  slotMilliseconds: Milliseconds;
  readonly startedAt: Milliseconds;
};

type Call = WaitingRequest & {readonly tree: Tree};

type Admission = InstanceAdmission<Call>;

export class CostOrderPlay {
  readonly counts = new Map<string, PlayedCounts>(
    PLAYED_KINDS.map(({name}) => [name, {asked: 0, served: 0}]),
  );
  readonly #admissions: readonly Admission[];
  readonly #clock: PlayClock;
  readonly #daemons: readonly Daemon[];
  readonly #demand: number;

  /** `demand` is relative to the slots. */
  constructor(demand: number, fairShare: number, seed: number) {
    const random = createSeededRandom(seed);
    this.#clock = new PlayClock(random);
    this.#demand = demand;
    this.#daemons = Array.from({length: DAEMON_COUNT}, () => ({
      gate: new RouteGate(random),
      order: new CostOrder(fairShare),
    }));
    this.#admissions = createAdmissions(INSTANCE_COUNT, SLOTS);
  }

  run(): void {
    const slotMilliseconds = PLAYED_KINDS.reduce(
      (sum, {callMilliseconds, calls, share}) =>
        sum + share * calls * callMilliseconds,
      0,
    );
    const scale =
      (this.#demand * INSTANCE_COUNT * USABLE_SLOTS) / slotMilliseconds;
    while (this.#clock.now < LENGTH_MILLISECONDS) {
      for (const kind of PLAYED_KINDS) {
        let count = this.#clock.drawPoisson(scale * kind.share);
        for (; count > 0; count -= 1) {
          this.#begin(kind);
        }
      }
      if (this.#clock.now % TICK_MILLISECONDS === 0) {
        this.#tick();
      }
      this.#clock.advance();
    }
  }

  #tick(): void {
    const {now} = this.#clock;
    for (const admission of this.#admissions) {
      admission.tick(now);
      for (const {tree} of admission.takeExpired(now)) {
        this.#end(tree, admission, false);
      }
    }
  }

  #begin(kind: PlayedKind): void {
    const {now} = this.#clock;
    const daemon = this.#clock.pick(this.#daemons);
    const cohort = daemon.order.getCohort(
      {
        cohort: this.#clock.random(),
        importance: String(kind.importance),
        route: kind.name,
      },
      now,
    );
    const shedRank = Math.floor(
      (kind.importance + cohort) * RANKS_PER_IMPORTANCE,
    );
    this.#getCounts(kind, now).asked += 1;
    if (!daemon.gate.admits(kind.name, shedRank, now)) {
      return;
    }
    this.#offer({
      callsLeft: kind.calls,
      daemon,
      deadline: now + kind.timeoutMilliseconds,
      kind,
      shedRank,
      slotMilliseconds: 0,
      startedAt: now,
    });
  }

  /** Offers the next call of a tree to the instance with the shorter queue of two. */
  #offer(tree: Tree): void {
    const {now} = this.#clock;
    const admission = chooseAdmission(this.#admissions, this.#clock);
    const patience = Math.min(
      (tree.deadline - now) * QUEUEING_SHARE,
      tree.kind.calls === 1
        ? ROOT_QUEUEING_MILLISECONDS
        : Number.POSITIVE_INFINITY,
    );
    const call: Call = {
      arrivedAt: now,
      expiresAt: now + patience,
      isRateLimitKnown: true,
      shedRank: tree.shedRank,
      tree,
    };
    const decision = admission.offer(call, now);
    if (decision === 'run') {
      this.#start(admission, call);
    } else if (decision === 'full') {
      this.#end(tree, admission, false);
    }
  }

  #start(admission: Admission, {tree}: Call): void {
    const runTime = this.#clock.drawRunTime(tree.kind.callMilliseconds);
    this.#clock.after(runTime, () => {
      const {now} = this.#clock;
      admission.release(now, runTime);
      tree.callsLeft -= 1;
      tree.slotMilliseconds += runTime;
      if (now >= tree.deadline) {
        this.#end(tree, admission, false);
      } else if (tree.callsLeft === 0) {
        this.#end(tree, admission, true);
      } else {
        this.#offer(tree);
      }
      const next = admission.takeNext(now);
      if (next !== undefined) {
        this.#start(admission, next);
      }
    });
  }

  #end(tree: Tree, admission: Admission, isServed: boolean): void {
    const {now} = this.#clock;
    const {daemon, kind, slotMilliseconds, startedAt} = tree;
    const threshold = admission.getThreshold();
    const costs = [{service: SERVICE, slotMilliseconds, threshold}];
    this.#getCounts(kind, startedAt).served += Number(isServed);
    daemon.gate.recordOutcome(kind.name, isServed, now);
    daemon.gate.recordThreshold(kind.name, threshold, now);
    daemon.order.recordRoot(kind.name, costs, isServed, now);
  }

  #getCounts({name}: PlayedKind, startedAt: Milliseconds): PlayedCounts {
    const isCounted =
      startedAt >= WARM_UP_MILLISECONDS &&
      startedAt < LENGTH_MILLISECONDS - COOL_DOWN_MILLISECONDS;
    const counts = isCounted ? this.counts.get(name) : undefined;
    return counts ?? {asked: 0, served: 0};
  }
}
