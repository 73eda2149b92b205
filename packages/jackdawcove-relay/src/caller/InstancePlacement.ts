/** Selection of the instance that a request is sent to. */

import type {InstanceLoad} from '../packets/InstanceLoad.js';
import type {InstanceStats} from './InstanceStats.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  Incarnation,
  InstanceName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {CandidateZones} from './CandidateZones.js';
import {getStartDelay, recordCondition} from './instanceConditions.js';
import {
  createInstanceStats,
  getDecayedSlowness,
  isLoadFresh,
} from './InstanceStats.js';
import {getLoadCost, getUtilization} from './loadCosts.js';

/** An instance that may run the request. */
export type PlacementCandidate = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly daemon: DaemonName;
  readonly daemonIncarnation: number;
  /** Identifies the process of the instance. */
  readonly incarnation: Incarnation;
  readonly instance: InstanceName;
  readonly slots: number;
};

/** Process of an instance. */
export type InstanceProcess = Pick<
  PlacementCandidate,
  'incarnation' | 'instance'
>;

/** Properties of a request that the selection depends on. */
export type PlacementRequest = {
  /** Latency objective: time within which an answer is of full use to the caller. */
  readonly objectiveMilliseconds: Milliseconds;
  readonly route: string;
};

/** Candidates compared per request and scope; more cost more and balance no better. */
const SAMPLED_CANDIDATES = 4;

/** Prime steps through the candidates; one that does not divide their number visits all. */
const VISITING_STEPS = [1, 3, 5, 7, 11, 13];

/** Cost up to which an instance of the own zone is taken without a look at others. */
const LIGHT_LOAD_COST = 1.5;

/**
 * Cost factor of another availability zone while the own one has free slots and the
 * expected time is well within the objective.
 */
const RELAXED_CROSS_ZONE_FACTOR = 2.2;

/**
 * Cost factor of another availability zone while the own one has none, or the expected
 * time is close to the objective: crossing costs about a tenth of a short run.
 */
const TIGHT_CROSS_ZONE_FACTOR = 1.15;

/** Share of the objective up to which an expected time is well within it. */
const RELAXED_OBJECTIVE_SHARE = 0.4;

/** Weight of the newest run in the moving average of an instance's slowness. */
const SLOWNESS_WEIGHT = 0.1;

/** Weight of the newest run in the moving average of an instance's failure share. */
const FAILURE_WEIGHT = 0.1;

/** Weight of the newest run in the moving average of a route's run time. */
const RUN_TIME_WEIGHT = 0.05;

/** Upper bound of the slowness that one run contributes. */
const MAXIMUM_SLOWNESS = 20;

/** Time after which a process that began to leave has ended. */
const LEAVING_RETENTION_MILLISECONDS = 600_000;

/** Interval at which statistics are dropped. */
const REMOVAL_INTERVAL_MILLISECONDS = 1_000;

/** Time after which the statistics of an unused instance are dropped. */
const UNUSED_RETENTION_MILLISECONDS = 60_000;

/** Selects among the instances of a service. */
export class InstancePlacement {
  /** Whether any instance that is remembered reported that it leaves. */
  #hasLeaving = false;
  readonly #instances = new Map<InstanceName, InstanceStats>();
  readonly #randomNumber: RandomNumber;
  #removedUnusedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  readonly #meanRunTimes = new Map<string, Milliseconds>();
  readonly #zones: CandidateZones;

  constructor(
    availabilityZone: AvailabilityZoneName,
    randomNumber: RandomNumber,
  ) {
    this.#zones = new CandidateZones(availabilityZone);
    this.#randomNumber = randomNumber;
  }

  /**
   * Returns the candidate with the lowest cost among a few random ones of the daemon's own
   * availability zone, unless one of other zones is so much better that crossing pays. The
   * cost is the expected time. It handles services whose zones differ in instances and
   * callers: what the own zone has room for stays there, the excess goes to others.
   *
   * @example
   * placement.choose(candidates, {objectiveMilliseconds: 400, route: 'labels'}, now);
   */
  choose<Candidate extends PlacementCandidate>(
    candidates: readonly Candidate[],
    request: PlacementRequest,
    now: Milliseconds,
  ): Candidate | undefined {
    const zones = this.#zones.split(candidates);
    const near = this.#sample(zones.near, request, now);
    const meanRunTime = this.#meanRunTimes.get(request.route) ?? 0;
    const relaxedTime = request.objectiveMilliseconds * RELAXED_OBJECTIVE_SHARE;
    if (
      near !== undefined &&
      near.cost <= LIGHT_LOAD_COST &&
      near.cost * meanRunTime <= relaxedTime
    ) {
      return near.candidate;
    }
    const far = this.#sample(zones.far, request, now);
    if (near === undefined || far === undefined) {
      return (near ?? far)?.candidate;
    }
    const isTight =
      this.#isFull(near.candidate, now) || far.cost * meanRunTime > relaxedTime;
    const factor = isTight
      ? TIGHT_CROSS_ZONE_FACTOR
      : RELAXED_CROSS_ZONE_FACTOR;
    return far.cost * factor < near.cost ? far.candidate : near.candidate;
  }

  /** Avoids an instance until a point in time, unless no other can be chosen. */
  block(instance: InstanceName, until: Milliseconds): void {
    this.#getStats(instance, until).blockedUntil = until;
  }

  /** Threshold that an instance last reported; undefined when the report is too old. */
  getThreshold(instance: InstanceName, now: Milliseconds): number | undefined {
    const stats = this.#instances.get(instance);
    return stats !== undefined && isLoadFresh(stats, now)
      ? stats.load?.threshold
      : undefined;
  }

  /** Rate limit that an instance last reported; undefined: none. */
  getRequestRate({incarnation, instance}: InstanceProcess): number | undefined {
    const stats = this.#instances.get(instance);
    return stats?.conditionIncarnation === incarnation
      ? stats.condition?.requestsPerSecond
      : undefined;
  }

  /**
   * Whether a chosen instance has a rate limit while another candidate has none. It
   * handles a service with a few limited instances: callers then neither wait for
   * tokens of such an instance nor take its queue for a lack of capacity.
   *
   * @example
   * placement.isLimitAvoidable(chosen, candidates); // send, but do not queue there
   */
  isLimitAvoidable(
    chosen: InstanceProcess,
    candidates: readonly InstanceProcess[],
  ): boolean {
    return (
      this.getRequestRate(chosen) !== undefined &&
      candidates.some(
        (candidate) => this.getRequestRate(candidate) === undefined,
      )
    );
  }

  /** Returns the candidates that are not excluded and did not report that they leave. */
  listEligible<Candidate extends PlacementCandidate>(
    candidates: readonly Candidate[],
    excluded: ReadonlySet<InstanceName>,
  ): readonly Candidate[] {
    return excluded.size === 0 && !this.#hasLeaving
      ? candidates
      : candidates.filter(
          (candidate) =>
            !excluded.has(candidate.instance) && !this.isLeaving(candidate),
        );
  }

  /** Whether the process of an instance reported that it leaves. */
  isLeaving({incarnation, instance}: InstanceProcess): boolean {
    const stats = this.#instances.get(instance);
    return (
      stats?.conditionIncarnation === incarnation &&
      stats.condition?.isLeaving === true
    );
  }

  recordSent(instance: InstanceName, now: Milliseconds): void {
    const stats = this.#getStats(instance, now);
    stats.outstanding += 1;
    stats.sentSinceCondition += 1;
    stats.lastUsedAt = now;
  }

  /** Records that a request ended, whatever its outcome, and the reported load. */
  recordEnded(
    {incarnation, instance}: InstanceProcess,
    load: InstanceLoad | undefined,
    now: Milliseconds,
  ): void {
    const stats = this.#getStats(instance, now);
    stats.outstanding = Math.max(0, stats.outstanding - 1);
    if (load !== undefined) {
      stats.load = load;
      stats.loadReceivedAt = now;
    }
    // A restarted daemon does not know the condition yet, which may still hold.
    if (load?.condition !== undefined) {
      recordCondition(stats, load.condition, incarnation);
      this.#hasLeaving ||= load.condition.isLeaving;
      stats.conditionReceivedAt = now;
      stats.sentSinceCondition = 0;
    }
  }

  /** Records a run: its time, and whether the instance itself caused a failure. */
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

  /** Drops the statistics of instances that have not been used for a while. */
  removeUnused(now: Milliseconds): void {
    if (now - this.#removedUnusedAt < REMOVAL_INTERVAL_MILLISECONDS) {
      return;
    }
    this.#removedUnusedAt = now;
    this.#hasLeaving = false;
    for (const [instance, stats] of this.#instances) {
      const {condition, lastUsedAt, outstanding} = stats;
      const retention =
        condition?.isLeaving === true
          ? LEAVING_RETENTION_MILLISECONDS
          : UNUSED_RETENTION_MILLISECONDS;
      if (outstanding === 0 && now - lastUsedAt > retention) {
        this.#instances.delete(instance);
      } else {
        this.#hasLeaving ||= condition?.isLeaving === true;
      }
    }
  }

  /** Returns the cheapest of a few random candidates. */
  #sample<Candidate extends PlacementCandidate>(
    candidates: readonly Candidate[],
    {route}: PlacementRequest,
    now: Milliseconds,
  ): undefined | {readonly candidate: Candidate; readonly cost: number} {
    const count = candidates.length;
    const sampleCount = Math.min(count, SAMPLED_CANDIDATES);
    const step = this.#drawStep(count);
    let index = Math.floor(this.#randomNumber() * count);
    let best: Candidate | undefined;
    let leastCost = Number.POSITIVE_INFINITY;
    for (let sample = 0; sample < sampleCount; sample += 1) {
      const candidate = candidates[index];
      index = (index + step) % count;
      if (candidate === undefined) {
        continue;
      }
      const cost = this.#getCost(candidate, route, now);
      if (cost < leastCost) {
        best = candidate;
        leastCost = cost;
      }
    }
    return best && {candidate: best, cost: leastCost};
  }

  /** Draws a step that visits all candidates, in an order that varies. */
  #drawStep(count: number): number {
    const index = Math.floor(this.#randomNumber() * VISITING_STEPS.length);
    const step = VISITING_STEPS[index] ?? 1;
    return count % step === 0 ? 1 : step;
  }

  #isFull({instance, slots}: PlacementCandidate, now: Milliseconds): boolean {
    const stats = this.#instances.get(instance);
    return stats !== undefined && getUtilization({now, slots, stats}) > 1;
  }

  #getCost(
    {instance, slots}: PlacementCandidate,
    route: string,
    now: Milliseconds,
  ): number {
    const stats = this.#instances.get(instance);
    if (stats === undefined) {
      return 1;
    }
    const meanRunTime = this.#meanRunTimes.get(route) ?? 0;
    const cost =
      getLoadCost({now, slots, stats}) +
      getStartDelay(stats, now) / Math.max(1, meanRunTime);
    return now < stats.blockedUntil ? cost + Number.MAX_SAFE_INTEGER : cost;
  }

  #getStats(instance: InstanceName, now: Milliseconds): InstanceStats {
    const known = this.#instances.get(instance);
    if (known !== undefined) {
      return known;
    }
    const stats = createInstanceStats(now);
    this.#instances.set(instance, stats);
    return stats;
  }
}
