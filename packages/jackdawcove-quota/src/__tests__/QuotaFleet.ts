/** Daemons with quotas on a simulated network. */

import type {
  Quota,
  QuotaAnswer,
  QuotaEffect,
  QuotaMessage,
  QuotaRule,
} from '../index.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {
  AggregatorChoice,
  QUOTA_INTERVAL_MILLISECONDS,
  QuotaAggregator,
  QuotaLimiter,
  selectAggregator,
} from '../index.js';

/** Rule of the histories: 5 s, one tenth over, 20 requests of slack. */
export const RULE: QuotaRule = {
  overRatio: 0.1,
  slack: 20,
  windowMilliseconds: 5_000,
};

/** Length of a step of the simulated time. */
export const STEP_MILLISECONDS = 10;

const DETECTION_MILLISECONDS = 3_000;
const LOSS_RATIO = 0.01;

/** Planted faults that the checks must find. */
export type Fault =
  | 'cutZoneBorrows'
  | 'none'
  | 'restartWithFullBucket'
  | 'shareUsedAfterEnd'
  | 'twinAggregators';

const FULL_BUCKET_AGE_MILLISECONDS = 10_000;

type Process = {
  readonly aggregator: QuotaAggregator;
  readonly choice: AggregatorChoice;
  readonly limiter: QuotaLimiter;
};

/** One simulated VM. */
export type SimulatedDaemon = {
  /** Side of a cut; daemons of one side reach each other. */
  side: number;
  isPaused: boolean;
  isQuotaLowered: boolean;
  lastAnswer: QuotaAnswer | undefined;
  readonly name: string;
  pausedMilliseconds: number;
  readonly phase: number;
  process: Process | undefined;
  sideChangedAt: number;
  stateChangedAt: number;
  readonly zone: number;
};

type Delivery = {
  readonly at: number;
  readonly from: SimulatedDaemon;
  readonly message: QuotaMessage;
  readonly to: SimulatedDaemon;
};

/** Fleet of daemons; time advances by `step`. */
export class QuotaFleet {
  readonly daemons: SimulatedDaemon[] = [];
  now = 0;
  #deliveries: Delivery[] = [];
  readonly #fault: Fault;
  readonly #findQuota: (
    daemon: SimulatedDaemon,
    name: string,
  ) => Quota | undefined;
  #incarnations = 0;
  readonly #random: RandomNumber;

  constructor(
    random: RandomNumber,
    findQuota: (daemon: SimulatedDaemon, name: string) => Quota | undefined,
    fault: Fault,
  ) {
    this.#fault = fault;
    this.#findQuota = findQuota;
    this.#random = random;
  }

  add(zone: number): void {
    const daemon: SimulatedDaemon = {
      isPaused: false,
      isQuotaLowered: false,
      lastAnswer: undefined,
      name: `daemon-${String(this.daemons.length)}`,
      pausedMilliseconds: 0,
      phase: Math.floor(
        this.#random() * (QUOTA_INTERVAL_MILLISECONDS / STEP_MILLISECONDS),
      ),
      process: undefined,
      side: 0,
      sideChangedAt: -DETECTION_MILLISECONDS,
      stateChangedAt: -DETECTION_MILLISECONDS,
      zone,
    };
    this.daemons.push(daemon);
    this.start(daemon);
  }

  start(daemon: SimulatedDaemon): void {
    this.#incarnations += 1_000;
    const now = this.#getClock(daemon);
    const shared = {
      findQuota: (name: string) => this.#findQuota(daemon, name),
      getKnownDaemons: () => this.#countKnown(daemon),
      process: this.#incarnations,
      rule: RULE,
    };
    const aggregator = new QuotaAggregator({
      ...shared,
      getPeers: () => this.#listPeers(daemon),
    });
    const rounding = this.#random();
    const limiter = new QuotaLimiter({...shared, rounding, startedAt: now});
    daemon.lastAnswer = undefined;
    daemon.process = {aggregator, choice: new AggregatorChoice(), limiter};
    daemon.stateChangedAt = this.now;
    if (this.#fault === 'restartWithFullBucket') {
      aggregator.handleReport(
        daemon.name,
        {entries: [], kind: 'report', process: 0, sequence: 0},
        now - FULL_BUCKET_AGE_MILLISECONDS,
      );
      limiter.handleAnswer(
        {isComplete: true, kind: 'answer', limits: [], sequence: 0},
        now,
      );
    }
  }

  #countKnown(daemon: SimulatedDaemon): number {
    const isMistaken =
      this.#fault === 'cutZoneBorrows' || this.#fault === 'twinAggregators';
    return isMistaken ? this.#listReached(daemon).length : this.daemons.length;
  }

  /** Returns the daemon that sums the quotas of a zone, as a list. */
  listAggregators(zone: number): readonly SimulatedDaemon[] {
    const names = this.daemons
      .filter((daemon) => daemon.zone === zone)
      .map(({name}) => name);
    const aggregator = selectAggregator(names);
    return this.daemons.filter(({name}) => name === aggregator);
  }

  kill(daemon: SimulatedDaemon): void {
    daemon.process = undefined;
    daemon.stateChangedAt = this.now;
  }

  setSide(daemon: SimulatedDaemon, side: number): void {
    daemon.side = side;
    daemon.sideChangedAt = this.now;
  }

  admit(daemon: SimulatedDaemon, organisation: string): boolean | undefined {
    if (daemon.process === undefined || daemon.isPaused) {
      return undefined;
    }
    const now = this.#getClock(daemon);
    return daemon.process.limiter.admit(organisation, now) === 0;
  }

  step(): void {
    this.now += STEP_MILLISECONDS;
    const step = this.now / STEP_MILLISECONDS;
    const interval = QUOTA_INTERVAL_MILLISECONDS / STEP_MILLISECONDS;
    for (const daemon of this.daemons) {
      if (daemon.isPaused) {
        daemon.pausedMilliseconds += STEP_MILLISECONDS;
      } else if ((step + daemon.phase) % interval === 0) {
        this.#tick(daemon);
      }
    }
    const due = this.#deliveries;
    this.#deliveries = [];
    for (const delivery of due) {
      if (delivery.at > this.now || delivery.to.isPaused) {
        this.#deliveries.push(delivery);
      } else {
        this.#deliver(delivery);
      }
    }
  }

  #getClock({pausedMilliseconds}: SimulatedDaemon): number {
    return this.now - pausedMilliseconds;
  }

  #tick(daemon: SimulatedDaemon): void {
    const {process} = daemon;
    if (process === undefined) {
      return;
    }
    const now = this.#getClock(daemon);
    if (
      this.#fault === 'shareUsedAfterEnd' &&
      daemon.lastAnswer !== undefined
    ) {
      process.limiter.handleAnswer({...daemon.lastAnswer, sequence: 0}, now);
    }
    const candidates = this.#listReached(daemon)
      .filter(({zone}) => zone === daemon.zone)
      .map(({name}) => name);
    const target = process.choice.choose(candidates, now);
    if (target !== undefined) {
      this.#send(daemon, target, process.limiter.createReport());
    }
    this.#apply(daemon, process.aggregator.tick(now));
  }

  #deliver({from, message, to}: Delivery): void {
    const {process} = to;
    if (process === undefined || from.side !== to.side) {
      return;
    }
    const now = this.#getClock(to);
    if (message.kind === 'answer') {
      if (process.choice.recordAnswer(from.name)) {
        to.lastAnswer = message;
        process.limiter.handleAnswer(message, now);
      }
    } else if (message.kind === 'report') {
      const {aggregator} = process;
      this.#apply(to, aggregator.handleReport(from.name, message, now));
    } else {
      this.#apply(to, process.aggregator.handleSums(from.name, message, now));
    }
  }

  #apply(daemon: SimulatedDaemon, effects: readonly QuotaEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') {
        this.#send(daemon, effect.to, effect.message);
      }
    }
  }

  #send(from: SimulatedDaemon, name: string, message: QuotaMessage): void {
    const to = this.daemons.find((daemon) => daemon.name === name);
    const isLost = this.#random() < LOSS_RATIO && from.name !== name;
    if (to === undefined || isLost || from.side !== to.side) {
      return;
    }
    const at = this.now + (from.zone === to.zone ? 0 : STEP_MILLISECONDS);
    this.#deliveries.push({at, from, message, to});
  }

  /** Daemons that the view shows as reachable; it lags behind. */
  #listReached(daemon: SimulatedDaemon): readonly SimulatedDaemon[] {
    return this.daemons.filter((other) => {
      const isUp =
        other.process !== undefined || this.#isRecent(other.stateChangedAt);
      const isNear =
        other.side === daemon.side ||
        this.#isRecent(Math.max(other.sideChangedAt, daemon.sideChangedAt));
      const isSeparate =
        this.#fault === 'twinAggregators' &&
        other.phase % 2 !== daemon.phase % 2;
      return other === daemon || (isUp && isNear && !isSeparate);
    });
  }

  #isRecent(changedAt: number): boolean {
    return this.now - changedAt < DETECTION_MILLISECONDS;
  }

  #listPeers(daemon: SimulatedDaemon): readonly string[] {
    const zones = new Map<number, string[]>();
    for (const {name, zone} of this.#listReached(daemon)) {
      zones.set(zone, [...(zones.get(zone) ?? []), name]);
    }
    return [...zones.values()]
      .map((names) => selectAggregator(names))
      .filter((name) => name !== undefined && name !== daemon.name)
      .filter((name) => name !== undefined);
  }
}
