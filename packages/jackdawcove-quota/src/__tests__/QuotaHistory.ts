/** Seeded histories of demand and failures, and the check of their sums. */

import type {Quota} from '../index.js';
import type {Fault, SimulatedDaemon} from './QuotaFleet.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {QuotaFleet, RULE, STEP_MILLISECONDS} from './QuotaFleet.js';

/** What happens in a history. */
export type HistoryOptions = {
  readonly demandRatio: number;
  readonly events: readonly EventKind[];
  readonly fault?: Fault;
  readonly isHot?: boolean;
  readonly seed: number;
};

export type EventKind =
  | 'addDaemons'
  | 'crashLoop'
  | 'cutDaemon'
  | 'cutEach'
  | 'cutZone'
  | 'killAll'
  | 'killSome'
  | 'lowerQuotas'
  | 'pauseAggregator'
  | 'pauseSome'
  | 'pauseZone';

/** What a history showed, over all organisations. */
export type HistoryResult = {
  /** Largest sum of a window over what the rule allows. */
  readonly excess: number;
  readonly refused: number;
  /** Admitted requests over the quota, after the first window. */
  readonly use: number;
};

const LENGTH_MILLISECONDS = 24_000;
const TRAFFIC_START_MILLISECONDS = 2_000;
const SHORTEST_RESTART_MILLISECONDS = 200;
const CRASH_DELAYS_MILLISECONDS = [0, 1_500, 3_000, 4_500];
const FLEET_SIZES = [8, 24, 64, 84] as const;
const RATES = [4, 25, 60, 150] as const;
const MILLISECONDS = 1_000;

type Demand = {
  admittedAt: number[];
  asked: number;
  readonly hotFactor: number;
  readonly hotFrom: number;
  lowered: Quota;
  readonly quota: Quota;
  refused: number;
  weights: number[];
};

function pick<Value>(values: readonly Value[], random: RandomNumber): Value {
  return values[Math.floor(random() * values.length)] as Value;
}

function drawPoisson(mean: number, random: RandomNumber): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) {
    count += 1;
  }
  return count;
}

function createDemand(
  index: number,
  isHot: boolean,
  random: RandomNumber,
): Demand {
  const requestsPerSecond = pick(RATES, random);
  const organisation = `organisation-${String(index)}`;
  const burst = requestsPerSecond * (0.8 + random() * 0.4);
  return {
    admittedAt: [],
    asked: 0,
    hotFactor: isHot ? 4.5 + random() * 4.1 : 1,
    hotFrom: 5_000 + random() * 8_000,
    lowered: {
      burst: burst / 2,
      organisation,
      requestsPerSecond: requestsPerSecond / 2,
    },
    quota: {burst, organisation, requestsPerSecond},
    refused: 0,
    weights: [],
  };
}

/** Runs one history. */
export class QuotaHistory {
  readonly #demands: Demand[];
  readonly #fleet: QuotaFleet;
  #loweredFrom = Number.POSITIVE_INFINITY;
  readonly #options: HistoryOptions;
  readonly #random: RandomNumber;
  #scheduled: {readonly at: number; readonly run: () => void}[] = [];
  readonly #zones: number;

  constructor(options: HistoryOptions) {
    const random = createSeededRandom(options.seed);
    this.#options = options;
    this.#random = random;
    this.#zones = 3 + Math.floor(random() * 2);
    this.#demands = [0, 1].map((index) =>
      createDemand(index, options.isHot === true && index === 0, random),
    );
    this.#fleet = new QuotaFleet(
      random,
      (daemon, name) => this.#findQuota(daemon, name),
      options.fault ?? 'none',
    );
    const size = pick(FLEET_SIZES, random);
    for (let index = 0; index < size; index += 1) {
      this.#fleet.add(index % this.#zones);
    }
    for (const event of options.events) {
      this.#at(4_000 + random() * 8_000, () => {
        this.#begin(event);
      });
    }
  }

  run(): HistoryResult {
    for (let now = 0; now < LENGTH_MILLISECONDS; now += STEP_MILLISECONDS) {
      const due = this.#scheduled.filter(({at}) => at <= now);
      this.#scheduled = this.#scheduled.filter(({at}) => at > now);
      for (const {run} of due) {
        run();
      }
      if (now % 5_000 === 0) {
        this.#moveDemand();
      }
      for (const demand of now < TRAFFIC_START_MILLISECONDS
        ? []
        : this.#demands) {
        this.#ask(demand, now);
      }
      this.#fleet.step();
    }
    return this.#getResult();
  }

  #at(at: number, run: () => void): void {
    this.#scheduled.push({at, run});
  }

  #findQuota(daemon: SimulatedDaemon, name: string): Quota | undefined {
    const demand = this.#demands.find(({quota}) => quota.organisation === name);
    return daemon.isQuotaLowered ? demand?.lowered : demand?.quota;
  }

  /** Draws the part of each daemon anew: 1 to 1.4, times that of its zone. */
  #moveDemand(): void {
    for (const demand of this.#demands) {
      const zones = Array.from({length: this.#zones}, () => 1 + this.#random());
      let sum = 0;
      demand.weights = this.#fleet.daemons.map(({zone}) => {
        sum += (1 + this.#random() * 0.4) * (zones[zone] ?? 1);
        return sum;
      });
    }
  }

  #ask(demand: Demand, now: number): void {
    const isHot = now >= demand.hotFrom && now < demand.hotFrom + 6_000;
    const rate =
      demand.quota.requestsPerSecond *
      this.#options.demandRatio *
      (isHot ? demand.hotFactor : 1);
    const mean = (rate * STEP_MILLISECONDS) / MILLISECONDS;
    for (let count = drawPoisson(mean, this.#random); count > 0; count -= 1) {
      const position = this.#random() * (demand.weights.at(-1) ?? 0);
      const index = demand.weights.findIndex((weight) => weight > position);
      const daemon = this.#fleet.daemons[index];
      const isAdmitted =
        daemon && this.#fleet.admit(daemon, demand.quota.organisation);
      demand.asked += isAdmitted === undefined ? 0 : 1;
      if (isAdmitted === true) {
        demand.admittedAt.push(now);
      } else if (isAdmitted === false) {
        demand.refused += 1;
      }
    }
  }

  #begin(event: EventKind): void {
    const {daemons} = this.#fleet;
    const zone = Math.floor(this.#random() * this.#zones);
    const ofZone = daemons.filter((daemon) => daemon.zone === zone);
    const some = daemons.filter(() => this.#random() < 0.16);
    switch (event) {
      case 'addDaemons':
        this.#fleet.add(0);
        this.#fleet.add(1);
        break;
      case 'crashLoop':
        for (const delay of CRASH_DELAYS_MILLISECONDS) {
          this.#at(this.#fleet.now + delay, () => {
            this.#kill(daemons, SHORTEST_RESTART_MILLISECONDS);
          });
        }
        break;
      case 'cutDaemon':
        this.#cut(daemons.slice(0, 1), () => 1);
        break;
      case 'cutEach':
        this.#cut(daemons, (index) => index + 1);
        break;
      case 'cutZone':
        this.#cut(ofZone, () => 1);
        break;
      case 'killAll':
        this.#kill(daemons, this.#random() * 2_500);
        break;
      case 'killSome':
        this.#kill(some, this.#random() * 2_500);
        break;
      case 'lowerQuotas':
        this.#lowerQuotas();
        break;
      case 'pauseAggregator':
        this.#pause(this.#fleet.listAggregators(zone), 8_000);
        break;
      case 'pauseSome':
        this.#pause(some);
        break;
      case 'pauseZone':
        this.#pause(ofZone);
        break;
    }
  }

  #cut(
    daemons: readonly SimulatedDaemon[],
    getSide: (index: number) => number,
  ): void {
    for (const [index, daemon] of daemons.entries()) {
      this.#fleet.setSide(daemon, getSide(index));
      this.#at(this.#fleet.now + 6_000, () => {
        this.#fleet.setSide(daemon, 0);
      });
    }
  }

  #kill(daemons: readonly SimulatedDaemon[], milliseconds: number): void {
    const from =
      this.#fleet.now + Math.max(SHORTEST_RESTART_MILLISECONDS, milliseconds);
    for (const daemon of daemons) {
      this.#fleet.kill(daemon);
      this.#at(from + this.#random() * 300, () => {
        this.#fleet.start(daemon);
      });
    }
  }

  #pause(daemons: readonly SimulatedDaemon[], longest = 4_000): void {
    const until = this.#fleet.now + 500 + this.#random() * longest;
    for (const daemon of daemons) {
      daemon.isPaused = true;
      this.#at(until, () => {
        daemon.isPaused = false;
      });
    }
  }

  #lowerQuotas(): void {
    this.#loweredFrom = this.#fleet.now + 500;
    for (const daemon of this.#fleet.daemons) {
      this.#at(this.#fleet.now + this.#random() * 500, () => {
        daemon.isQuotaLowered = true;
      });
    }
  }

  #getResult(): HistoryResult {
    const seconds =
      (LENGTH_MILLISECONDS - RULE.windowMilliseconds) / MILLISECONDS;
    let excess = Number.NEGATIVE_INFINITY;
    let refused = 0;
    let asked = 0;
    let use = Number.POSITIVE_INFINITY;
    for (const demand of this.#demands) {
      excess = Math.max(excess, this.#getExcess(demand));
      refused += demand.refused;
      asked += demand.asked;
      const admitted = demand.admittedAt.filter(
        (at) => at >= RULE.windowMilliseconds,
      ).length;
      use = Math.min(
        use,
        admitted / (seconds * demand.quota.requestsPerSecond),
      );
    }
    return {excess, refused: refused / asked, use};
  }

  /** Largest sum of a window, relative to what the rule allows. */
  #getExcess({admittedAt, lowered, quota}: Demand): number {
    let first = 0;
    let excess = Number.NEGATIVE_INFINITY;
    for (const [last, at] of admittedAt.entries()) {
      while (at - (admittedAt[first] ?? at) >= RULE.windowMilliseconds) {
        first += 1;
      }
      const isLowered = (admittedAt[first] ?? 0) >= this.#loweredFrom;
      const {burst, requestsPerSecond} = isLowered ? lowered : quota;
      const units = requestsPerSecond * 5 + burst;
      const allowed = units * (1 + RULE.overRatio) + RULE.slack;
      excess = Math.max(excess, (last - first + 1) / allowed - 1);
    }
    return excess;
  }
}
