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
type InstanceKnowledge = {
  blockedUntil: Milliseconds;
  failureShare: number;
  load: InstanceLoad | undefined;
  loadAt: Milliseconds;
  outstanding: number;
  /** Time of its runs, as a multiple of what the same routes take elsewhere. */
  slowness: number;
  slownessAt: Milliseconds;
  usedAt: Milliseconds;
};

/** Instances compared for one request; more spreads no better and costs more. */
const COMPARED_CANDIDATES = 4;

/**
 * Cost of another availability zone where the own one answers well in time: its own
 * instances are used until they are nearly full.
 */
const AMPLE_ZONE_FACTOR = 2.2;

/** Cost of another availability zone where time is short: a tenth of a short run. */
const SHORT_ZONE_FACTOR = 1.15;

/** Share of the objective up to which an expected time is ample. */
const AMPLE_SHARE = 0.4;

/** Age at which the load of an instance says nothing any more. */
const LOAD_AGE_MILLISECONDS = 400;

/** Weight of the newest run in the slowness of its instance. */
const SLOWNESS_WEIGHT = 0.1;

/** Time in which half of what is known of a slow instance is forgotten. */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 2_500;

/** Weight of the newest end in the share of failures. */
const FAILURE_WEIGHT = 0.1;

/** Weight of the newest run in the usual time of its route. */
const USUAL_TIME_WEIGHT = 0.05;

/** Longest run, as a multiple of the usual one, that is believed. */
const MAXIMUM_SLOWNESS = 20;

/** Least share of successes that is reckoned with. */
const MINIMUM_SUCCESS = 0.05;

/** Knowledge of instances that were not used for so long is dropped. */
const RETENTION_MILLISECONDS = 60_000;

/** Chooses among the instances of a service. */
export class InstancePlacement {
  readonly #availabilityZone: AvailabilityZoneName;
  readonly #instances = new Map<InstanceName, InstanceKnowledge>();
  readonly #randomNumber: RandomNumber;
  readonly #usualTimes = new Map<string, Milliseconds>();

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
    const compared = Math.min(count, COMPARED_CANDIDATES);
    let index = Math.floor(this.#randomNumber() * count);
    // Steps of a random size reach different candidates from each start.
    const step =
      count > COMPARED_CANDIDATES
        ? 1 + Math.floor((this.#randomNumber() * count) / COMPARED_CANDIDATES)
        : 1;
    for (let turn = 0; turn < compared; turn += 1) {
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
    this.#getKnowledge(instance, until).blockedUntil = until;
  }

  /** Threshold that an instance last told, or undefined when that is long ago. */
  getThreshold(instance: InstanceName, now: Milliseconds): number | undefined {
    const knowledge = this.#instances.get(instance);
    return knowledge !== undefined && isLoadFresh(knowledge, now)
      ? knowledge.load?.threshold
      : undefined;
  }

  recordSent(instance: InstanceName, now: Milliseconds): void {
    const knowledge = this.#getKnowledge(instance, now);
    knowledge.outstanding += 1;
    knowledge.usedAt = now;
  }

  /** Learns from the end of a request, whatever it was. */
  recordEnded(
    instance: InstanceName,
    load: InstanceLoad | undefined,
    now: Milliseconds,
  ): void {
    const knowledge = this.#getKnowledge(instance, now);
    knowledge.outstanding = Math.max(0, knowledge.outstanding - 1);
    if (load !== undefined) {
      knowledge.load = load;
      knowledge.loadAt = now;
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
    const knowledge = this.#getKnowledge(instance, now);
    knowledge.failureShare +=
      FAILURE_WEIGHT * ((isFailed ? 1 : 0) - knowledge.failureShare);
    if (isFailed) {
      return;
    }
    const time = Math.max(1, runMilliseconds);
    const usual = this.#usualTimes.get(route) ?? time;
    this.#usualTimes.set(route, usual + USUAL_TIME_WEIGHT * (time - usual));
    const slowness = Math.min(MAXIMUM_SLOWNESS, time / usual);
    const known = getSlowness(knowledge, now);
    knowledge.slowness = known + SLOWNESS_WEIGHT * (slowness - known);
    knowledge.slownessAt = now;
  }

  /** Forgets instances that have not been used for long. */
  forgetUnused(now: Milliseconds): void {
    for (const [instance, {outstanding, usedAt}] of this.#instances) {
      if (outstanding === 0 && now - usedAt > RETENTION_MILLISECONDS) {
        this.#instances.delete(instance);
      }
    }
  }

  #getCost(
    {availabilityZone, instance, slots}: PlacementCandidate,
    {objectiveMilliseconds, route}: PlacementRequest,
    now: Milliseconds,
  ): number {
    const knowledge = this.#instances.get(instance);
    const cost =
      knowledge === undefined ? 1 : getLoadCost(knowledge, slots, now);
    const isBlocked = knowledge !== undefined && now < knowledge.blockedUntil;
    const blockedCost = isBlocked ? Number.MAX_SAFE_INTEGER : 0;
    if (availabilityZone === this.#availabilityZone) {
      return cost + blockedCost;
    }
    const expected = (this.#usualTimes.get(route) ?? 0) * cost;
    const isAmple = expected <= objectiveMilliseconds * AMPLE_SHARE;
    const factor = isAmple ? AMPLE_ZONE_FACTOR : SHORT_ZONE_FACTOR;
    return cost * factor + blockedCost;
  }

  #getKnowledge(instance: InstanceName, now: Milliseconds): InstanceKnowledge {
    const known = this.#instances.get(instance);
    if (known !== undefined) {
      return known;
    }
    const knowledge = {
      blockedUntil: Number.NEGATIVE_INFINITY,
      failureShare: 0,
      load: undefined,
      loadAt: now,
      outstanding: 0,
      slowness: 1,
      slownessAt: now,
      usedAt: now,
    };
    this.#instances.set(instance, knowledge);
    return knowledge;
  }
}

function isLoadFresh({loadAt}: InstanceKnowledge, now: Milliseconds): boolean {
  return now - loadAt <= LOAD_AGE_MILLISECONDS;
}

/** Expected time at an instance, as a multiple of the usual time of a route. */
function getLoadCost(
  knowledge: InstanceKnowledge,
  slots: number,
  now: Milliseconds,
): number {
  const {failureShare, load, outstanding} = knowledge;
  const isFresh = isLoadFresh(knowledge, now);
  const known = isFresh && load ? load.running + load.queued : 0;
  const limit = Math.max(1, load?.limit ?? slots);
  const usage = (Math.max(known, outstanding) + 1) / limit;
  // What waits behind a full instance costs a whole run for each turn.
  const waiting = usage > 1 ? (usage - 1) * 2 : 0;
  const success = Math.max(MINIMUM_SUCCESS, 1 - failureShare);
  const time = getSlowness(knowledge, now) * (1 + usage * usage + waiting);
  return time / (success * success);
}

/** What is known of a slow instance fades, so that it is tried again. */
function getSlowness(
  {slowness, slownessAt}: InstanceKnowledge,
  now: Milliseconds,
): number {
  const halfLives = (now - slownessAt) / SLOWNESS_HALF_LIFE_MILLISECONDS;
  return 1 + (slowness - 1) * 0.5 ** halfLives;
}
