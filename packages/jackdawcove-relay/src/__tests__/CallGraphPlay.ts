/**
 * Plays a graph in which requests of every importance end in calls of one service, through
 * a service in between whose runs hold their slots while they call. Many daemons take
 * requests at their root, so that each of them sees few answers.
 */

import type {
  InstanceAdmission,
  WaitingRequest,
} from '../server/InstanceAdmission.js';
import type {GraphCounts, GraphKind} from './callGraphKinds.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {RouteGate} from '../caller/RouteGate.js';
import {ShedRanks} from '../caller/ShedRanks.js';
import {
  CALL_MILLISECONDS,
  CALLS_PER_CHAIN,
  getDeepMilliseconds,
  getMeanThreshold,
  GRAPH_KINDS,
} from './callGraphKinds.js';
import {PlayClock} from './PlayClock.js';
import {chooseAdmission, createAdmissions} from './playInstances.js';

const CALL_TIMEOUT_MILLISECONDS = 700;
const CHAIN_RUN_MILLISECONDS = 15;
const CHAIN_TIMEOUT_MILLISECONDS = 2_500;

const DEEP_SERVICE = 'records';
const FAIR_SHARE = 0.5;

const DAEMON_COUNT = 15;
const MIDDLE_INSTANCES = 2;
const MIDDLE_SLOTS = 130;
const DEEP_INSTANCES = 5;
const DEEP_SLOTS = 26;
const DEEP_USABLE_SLOTS = 24;
const LENGTH_MILLISECONDS = 24_000;
const WARM_UP_MILLISECONDS = 4_000;
const COOL_DOWN_MILLISECONDS = 3_000;
const TICK_MILLISECONDS = 40;
const CALL_QUEUEING_SHARE = 0.85;
const ROOT_QUEUEING_MILLISECONDS = 200;

/** Bounds of the time after which a refused or failed request is sent once more. */
const MINIMUM_RETRY_MILLISECONDS = 150;
const MAXIMUM_RETRY_MILLISECONDS = 900;

type Daemon = {readonly gate: RouteGate; readonly ranks: ShedRanks};

type Tree = {
  readonly deadline: Milliseconds;
  readonly daemon: Daemon;
  isEnded: boolean;
  readonly kind: GraphKind;
  openChains: number;
  readonly shedRank: number;
  readonly request: Request;
  slotMilliseconds: Milliseconds;
  readonly thresholds: number[];
};

/** A request of a client, which may be sent twice. */
type Request = {
  readonly firstSentAt: Milliseconds;
  readonly isRetry: boolean;
  readonly kind: GraphKind;
};

type Call = WaitingRequest & {
  readonly onRefused: () => void;
  readonly onStart: () => void;
};

type Admission = InstanceAdmission<Call>;

type CallOptions = {
  readonly admissions: readonly Admission[];
  readonly deadline: Milliseconds;
  readonly patience: Milliseconds;
  readonly tree: Tree;
};

export class CallGraphPlay {
  readonly counts = new Map<string, GraphCounts>(
    GRAPH_KINDS.map(({name}) => [name, {asked: 0, served: 0}]),
  );
  readonly #clock: PlayClock;
  readonly #deep: readonly Admission[];
  readonly #demand: number;
  readonly #daemons: readonly Daemon[];
  readonly #middle: readonly Admission[];

  /** `demand` is relative to the slots of the service that is called. */
  constructor(demand: number, seed: number) {
    const random = createSeededRandom(seed);
    this.#clock = new PlayClock(random);
    this.#demand = demand;
    this.#daemons = Array.from({length: DAEMON_COUNT}, () => ({
      gate: new RouteGate(random),
      ranks: new ShedRanks({fairShare: FAIR_SHARE, randomNumber: random}),
    }));
    this.#middle = createAdmissions(MIDDLE_INSTANCES, MIDDLE_SLOTS);
    this.#deep = createAdmissions(DEEP_INSTANCES, DEEP_SLOTS);
  }

  run(): void {
    const slotMilliseconds = GRAPH_KINDS.reduce(
      (sum, kind) => sum + kind.share * getDeepMilliseconds(kind),
      0,
    );
    const scale =
      (this.#demand * DEEP_INSTANCES * DEEP_USABLE_SLOTS) / slotMilliseconds;
    while (this.#clock.now < LENGTH_MILLISECONDS) {
      for (const kind of GRAPH_KINDS) {
        let count = this.#clock.drawPoisson(scale * kind.share);
        for (; count > 0; count -= 1) {
          this.#getCounts(kind, this.#clock.now).asked += 1;
          const firstSentAt = this.#clock.now;
          this.#begin({firstSentAt, isRetry: false, kind});
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
    for (const admission of [...this.#middle, ...this.#deep]) {
      admission.tick(now);
      for (const call of admission.takeExpired(now)) {
        call.onRefused();
      }
    }
  }

  #begin(request: Request): void {
    const {now} = this.#clock;
    const {kind} = request;
    const daemon = this.#clock.pick(this.#daemons);
    const {importance, name} = kind;
    const unranked = {importance, route: name};
    const shedRank = daemon.ranks.draw(unranked, now);
    if (!daemon.gate.admits(kind.name, shedRank, now)) {
      this.#retry(request);
      return;
    }
    const tree: Tree = {
      daemon,
      deadline: now + kind.timeoutMilliseconds,
      isEnded: false,
      kind,
      openChains: kind.chains,
      request,
      shedRank,
      slotMilliseconds: 0,
      thresholds: [],
    };
    if (kind.chains === 0) {
      this.#call(
        {
          admissions: this.#deep,
          deadline: tree.deadline,
          patience: ROOT_QUEUEING_MILLISECONDS,
          tree,
        },
        kind.runMilliseconds,
        (isServed, threshold) => {
          tree.thresholds.push(threshold);
          this.#end(tree, isServed);
        },
      );
      return;
    }
    this.#clock.after(this.#clock.drawRunTime(kind.runMilliseconds / 2), () => {
      for (
        let count = kind.isConcurrent ? kind.chains : 1;
        count > 0;
        count -= 1
      ) {
        this.#startChain(tree);
      }
    });
  }

  /** Runs a chain at the service in between, which holds a slot for all of its calls. */
  #startChain(tree: Tree): void {
    const {now} = this.#clock;
    const deadline = Math.min(tree.deadline, now + CHAIN_TIMEOUT_MILLISECONDS);
    const admission = chooseAdmission(this.#middle, this.#clock);
    const thresholds: number[] = [];
    const end = (isServed: boolean): void => {
      const own = admission.getThreshold();
      tree.thresholds.push(Math.min(own, getMeanThreshold(thresholds)));
      this.#endChain(tree, isServed);
    };
    const callNext = (callsLeft: number, startedAt: Milliseconds): void => {
      if (callsLeft === 0) {
        this.#release(admission, startedAt);
        end(true);
        return;
      }
      this.#call(
        {
          admissions: this.#deep,
          deadline: Math.min(
            deadline,
            this.#clock.now + CALL_TIMEOUT_MILLISECONDS,
          ),
          patience: Number.POSITIVE_INFINITY,
          tree,
        },
        CALL_MILLISECONDS,
        (isServed, threshold) => {
          thresholds.push(threshold);
          if (isServed && !tree.isEnded) {
            callNext(callsLeft - 1, startedAt);
          } else {
            this.#release(admission, startedAt);
            end(false);
          }
        },
      );
    };
    this.#offer(
      admission,
      {
        admissions: this.#middle,
        deadline,
        patience: Number.POSITIVE_INFINITY,
        tree,
      },
      () => {
        const startedAt = this.#clock.now;
        this.#clock.after(
          this.#clock.drawRunTime(CHAIN_RUN_MILLISECONDS),
          () => {
            callNext(CALLS_PER_CHAIN, startedAt);
          },
        );
      },
      () => {
        end(false);
      },
    );
  }

  #endChain(tree: Tree, isServed: boolean): void {
    tree.openChains -= 1;
    if (tree.isEnded) {
      return;
    }
    if (!isServed) {
      this.#end(tree, false);
    } else if (tree.openChains === 0) {
      this.#clock.after(
        this.#clock.drawRunTime(tree.kind.runMilliseconds / 2),
        () => {
          this.#end(tree, true);
        },
      );
    } else if (!tree.kind.isConcurrent) {
      this.#startChain(tree);
    }
  }

  #end(tree: Tree, isCompleted: boolean): void {
    if (tree.isEnded) {
      return;
    }
    const {now} = this.#clock;
    const {daemon, deadline, kind, request, slotMilliseconds, thresholds} =
      tree;
    const {gate, ranks} = daemon;
    const isServed = isCompleted && now <= deadline;
    tree.isEnded = true;
    this.#getCounts(kind, request.firstSentAt).served += Number(isServed);
    if (!isServed) {
      this.#retry(request);
    }
    if (kind.chains > 0 || isServed) {
      gate.recordOutcome(kind.name, isServed, now);
    }
    const threshold = getMeanThreshold(thresholds);
    gate.recordThreshold(kind.name, threshold, now);
    const costs = [{service: DEEP_SERVICE, slotMilliseconds, threshold}];
    ranks.recordCosts(kind.name, costs, isServed, now);
    if (isServed) {
      ranks.recordAnswer(kind.name, now);
    }
  }

  #retry(request: Request): void {
    if (request.isRetry) {
      return;
    }
    const range = MAXIMUM_RETRY_MILLISECONDS - MINIMUM_RETRY_MILLISECONDS;
    this.#clock.after(
      MINIMUM_RETRY_MILLISECONDS + range * this.#clock.random(),
      () => {
        this.#begin({...request, isRetry: true});
      },
    );
  }

  #call(
    options: CallOptions,
    mean: Milliseconds,
    onEnd: (isServed: boolean, threshold: number) => void,
  ): void {
    const admission = chooseAdmission(options.admissions, this.#clock);
    this.#offer(
      admission,
      options,
      () => {
        const startedAt = this.#clock.now;
        const runTime = this.#clock.drawRunTime(mean);
        this.#clock.after(runTime, () => {
          options.tree.slotMilliseconds += this.#clock.now - startedAt;
          this.#release(admission, startedAt);
          onEnd(this.#clock.now <= options.deadline, admission.getThreshold());
        });
      },
      () => {
        onEnd(false, admission.getThreshold());
      },
    );
  }

  #offer(
    admission: Admission,
    {deadline, patience, tree}: CallOptions,
    onStart: () => void,
    onRefused: () => void,
  ): void {
    const {now} = this.#clock;
    const call: Call = {
      arrivedAt: now,
      expiresAt:
        now + Math.min(patience, (deadline - now) * CALL_QUEUEING_SHARE),
      isRateLimitKnown: true,
      onRefused,
      onStart,
      shedRank: tree.shedRank,
    };
    const decision = admission.offer(call, now);
    if (decision === 'run') {
      onStart();
    } else if (decision === 'full') {
      onRefused();
    }
  }

  #release(admission: Admission, startedAt: Milliseconds): void {
    const {now} = this.#clock;
    admission.release(now, now - startedAt);
    admission.takeNext(now)?.onStart();
  }

  #getCounts({name}: GraphKind, startedAt: Milliseconds): GraphCounts {
    const isCounted =
      startedAt >= WARM_UP_MILLISECONDS &&
      startedAt < LENGTH_MILLISECONDS - COOL_DOWN_MILLISECONDS;
    const counts = isCounted ? this.counts.get(name) : undefined;
    return counts ?? {asked: 0, served: 0};
  }
}
