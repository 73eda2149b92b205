/** Choice of the instance that is asked to run a request. */

import type {InstanceLoad} from '../packets/RelayPackets.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  InstanceName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

/** An instance that may be asked. */
export type PlacementCandidate = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly daemon: DaemonName;
  readonly daemonIncarnation: number;
  readonly instance: InstanceName;
  readonly slots: number;
};

/** What a request asks of its place. */
export type PlacementRequest = {
  /** Time within which an answer is of full use. */
  readonly objectiveMilliseconds: Milliseconds;
  readonly route: string;
};

/** What this daemon knows of an instance from its own requests. */
type InstanceStats = {
  blockedUntil: Milliseconds;
  failureShare: number;
  load: InstanceLoad | undefined;
  loadReceivedAt: Milliseconds;
  outstanding: number;
  /** Time of its runs, as a multiple of what the same routes take elsewhere. */
  slowness: number;
  slownessUpdatedAt: Milliseconds;
  lastUsedAt: Milliseconds;
};

/** Instances compared for one request; more spreads no better and costs more. */
const SAMPLED_CANDIDATES = 4;

/**
 * Cost of another availability zone where the own one answers well in time: its own
 * instances are used until they are nearly full.
 */
const RELAXED_CROSS_ZONE_FACTOR = 2.2;

/** Cost of another availability zone where time is short: a tenth of a short run. */
const TIGHT_CROSS_ZONE_FACTOR = 1.15;

/** Share of the objective up to which an expected time is ample. */
const RELAXED_OBJECTIVE_SHARE = 0.4;

/** Age at which the load of an instance says nothing any more. */
const MAXIMUM_LOAD_AGE_MILLISECONDS = 400;

/** Weight of the newest run in the slowness of its instance. */
const SLOWNESS_WEIGHT = 0.1;

/** Time in which half of what is known of a slow instance is forgotten. */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 2_500;

/** Weight of the newest end in the share of failures. */
const FAILURE_WEIGHT = 0.1;

/** Weight of the newest run in the usual time of its route. */
const RUN_TIME_WEIGHT = 0.05;

/** Longest run, as a multiple of the usual one, that is believed. */
const MAXIMUM_SLOWNESS = 20;

/** Least share of successes that is reckoned with. */
const MINIMUM_SUCCESS_SHARE = 0.05;

/** Knowledge of instances that were not used for so long is dropped. */
const UNUSED_RETENTION_MILLISECONDS = 60_000;

/** Chooses among the instances of a service. */
export class InstancePlacement {
  readonly #availabilityZone: AvailabilityZoneName;
  readonly #instances = new Map<InstanceName, InstanceStats>();
  readonly #randomNumber: RandomNumber;
  readonly #meanRunTimes = new Map<string, Milliseconds>();

  constructor(
    availabilityZone: AvailabilityZoneName,
    randomNumber: RandomNumber,
  ) {
    this.#availabilityZone = availabilityZone;
    this.#randomNumber = randomNumber;
  }

  /**
   * Returns the cheapest of a few random candidates: least expected time, own
   * availability zone first while crossing costs more than it saves.
   *
   * @example
   * placement.choose(candidates, {objectiveMilliseconds: 400, route: 'labels'}, now);
   */
  choose<Candidate extends PlacementCandidate>(
    candidates: readonly Candidate[],
    request: PlacementRequest,
    now: Milliseconds,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    let leastCost = Number.POSITIVE_INFINITY;
    const count = candidates.length;
    const sampleCount = Math.min(count, SAMPLED_CANDIDATES);
    let index = Math.floor(this.#randomNumber() * count);
    // Steps of a random size reach different candidates from each start.
    const step =
      count > SAMPLED_CANDIDATES
        ? 1 + Math.floor((this.#randomNumber() * count) / SAMPLED_CANDIDATES)
        : 1;
    for (let sample = 0; sample < sampleCount; sample += 1) {
      const candidate = candidates[index % count];
      index += step;
      if (candidate === undefined) {
        continue;
      }
      const cost = this.#getCost(candidate, request, now);
      if (cost < leastCost) {
        best = candidate;
        leastCost = cost;
      }
    }
    return best;
  }

  /** Keeps requests away from an instance for a while. */
  block(instance: InstanceName, until: Milliseconds): void {
    this.#getStats(instance, until).blockedUntil = until;
  }

  /** Threshold that an instance last told, or undefined when that is long ago. */
  getThreshold(instance: InstanceName, now: Milliseconds): number | undefined {
    const stats = this.#instances.get(instance);
    return stats !== undefined && isLoadFresh(stats, now)
      ? stats.load?.threshold
      : undefined;
  }

  recordSent(instance: InstanceName, now: Milliseconds): void {
    const stats = this.#getStats(instance, now);
    stats.outstanding += 1;
    stats.lastUsedAt = now;
  }

  /** Learns from the end of a request, whatever it was. */
  recordEnded(
    instance: InstanceName,
    load: InstanceLoad | undefined,
    now: Milliseconds,
  ): void {
    const stats = this.#getStats(instance, now);
    stats.outstanding = Math.max(0, stats.outstanding - 1);
    if (load !== undefined) {
      stats.load = load;
      stats.loadReceivedAt = now;
    }
  }

  /** Learns from a run: its time, and whether the instance itself failed it. */
  recordRun(
    instance: InstanceName,
    route: string,
    runMilliseconds: Milliseconds,
    isFailed: boolean,
    now: Milliseconds,
  ): void {
    const stats = this.#getStats(instance, now);
    stats.failureShare +=
      FAILURE_WEIGHT * ((isFailed ? 1 : 0) - stats.failureShare);
    if (isFailed) {
      return;
    }
    const runTime = Math.max(1, runMilliseconds);
    const mean = this.#meanRunTimes.get(route) ?? runTime;
    this.#meanRunTimes.set(route, mean + RUN_TIME_WEIGHT * (runTime - mean));
    const slowness = Math.min(MAXIMUM_SLOWNESS, runTime / mean);
    const previous = getDecayedSlowness(stats, now);
    stats.slowness = previous + SLOWNESS_WEIGHT * (slowness - previous);
    stats.slownessUpdatedAt = now;
  }

  /** Forgets instances that have not been used for long. */
  forgetUnused(now: Milliseconds): void {
    for (const [instance, {lastUsedAt, outstanding}] of this.#instances) {
      if (
        outstanding === 0 &&
        now - lastUsedAt > UNUSED_RETENTION_MILLISECONDS
      ) {
        this.#instances.delete(instance);
      }
    }
  }

  #getCost(
    {availabilityZone, instance, slots}: PlacementCandidate,
    {objectiveMilliseconds, route}: PlacementRequest,
    now: Milliseconds,
  ): number {
    const stats = this.#instances.get(instance);
    const cost = stats === undefined ? 1 : getLoadCost(stats, slots, now);
    const isBlocked = stats !== undefined && now < stats.blockedUntil;
    const blockedPenalty = isBlocked ? Number.MAX_SAFE_INTEGER : 0;
    if (availabilityZone === this.#availabilityZone) {
      return cost + blockedPenalty;
    }
    const expectedTime = (this.#meanRunTimes.get(route) ?? 0) * cost;
    const isRelaxed =
      expectedTime <= objectiveMilliseconds * RELAXED_OBJECTIVE_SHARE;
    const factor = isRelaxed
      ? RELAXED_CROSS_ZONE_FACTOR
      : TIGHT_CROSS_ZONE_FACTOR;
    return cost * factor + blockedPenalty;
  }

  #getStats(instance: InstanceName, now: Milliseconds): InstanceStats {
    const known = this.#instances.get(instance);
    if (known !== undefined) {
      return known;
    }
    const stats = {
      blockedUntil: Number.NEGATIVE_INFINITY,
      failureShare: 0,
      lastUsedAt: now,
      load: undefined,
      loadReceivedAt: now,
      outstanding: 0,
      slowness: 1,
      slownessUpdatedAt: now,
    };
    this.#instances.set(instance, stats);
    return stats;
  }
}

function isLoadFresh(
  {loadReceivedAt}: InstanceStats,
  now: Milliseconds,
): boolean {
  return now - loadReceivedAt <= MAXIMUM_LOAD_AGE_MILLISECONDS;
}

/** Expected time at an instance, as a multiple of the usual time of a route. */
function getLoadCost(
  stats: InstanceStats,
  slots: number,
  now: Milliseconds,
): number {
  const {failureShare, load, outstanding} = stats;
  const isFresh = isLoadFresh(stats, now);
  const reportedCount = isFresh && load ? load.running + load.queued : 0;
  const limit = Math.max(1, load?.limit ?? slots);
  const utilization = (Math.max(reportedCount, outstanding) + 1) / limit;
  // What waits behind a full instance costs a whole run for each turn.
  const queueingCost = utilization > 1 ? (utilization - 1) * 2 : 0;
  const successShare = Math.max(MINIMUM_SUCCESS_SHARE, 1 - failureShare);
  const time =
    getDecayedSlowness(stats, now) *
    (1 + utilization * utilization + queueingCost);
  return time / (successShare * successShare);
}

/** What is known of a slow instance fades, so that it is tried again. */
function getDecayedSlowness(
  {slowness, slownessUpdatedAt}: InstanceStats,
  now: Milliseconds,
): number {
  const halfLives = (now - slownessUpdatedAt) / SLOWNESS_HALF_LIFE_MILLISECONDS;
  return 1 + (slowness - 1) * 0.5 ** halfLives;
}
