/** Plays a load against placement and admission in memory. */

import type {InstanceLoad} from '../packets/InstanceLoad.js';
import type {WaitingRequest} from '../server/InstanceAdmission.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {InstancePlacement} from '../caller/InstancePlacement.js';
import {InstanceAdmission} from '../server/InstanceAdmission.js';

/** Load of a play. */
export type PlacementLoad = {
  readonly callers: number;
  /** Zones of the callers, in turn; without any, all are in one zone. */
  readonly callerZones?: readonly string[];
  readonly objective: Milliseconds;
  readonly requestsPerSecond: number;
  /** Draws the run time of a request on an instance of speed 1. */
  readonly drawRunTime: (random: RandomNumber) => Milliseconds;
  readonly seed: number;
  readonly slots: number;
  /** Speeds of the instances; one may turn slow for a while. */
  readonly getSpeed: (instance: number, now: Milliseconds) => number;
  readonly instances: number;
  /** Zones of the instances, in turn; without any, all are in one zone. */
  readonly instanceZones?: readonly string[];
  readonly seconds: number;
};

/** What callers got. */
export type PlacementOutcome = {
  /** Share of the requests that were sent to another zone. */
  readonly crossingShare: number;
  readonly inTimeShare: number;
  /** Share of the requests of the worst-served zone that were answered in time. */
  readonly inTimeShareOfWorstZone: number;
  readonly p50: Milliseconds;
  readonly p99: Milliseconds;
  readonly refused: number;
  /** Requests that each instance ran. */
  readonly runs: readonly number[];
};

type Step = WaitingRequest & {
  readonly caller: number;
  readonly runTime: Milliseconds;
};

const STEP_MILLISECONDS = 1;
const TICK_MILLISECONDS = 40;
const ONE_WAY_MILLISECONDS = 1;
const ROUTE = 'stock';
const WARM_UP_MILLISECONDS = 2_000;
const ONLY_ZONE = ['north'];

function getZone(zones: readonly string[] = ONLY_ZONE, index: number): string {
  return zones[index % zones.length] ?? '';
}

/** Plays a load; the same seed draws the same requests. */
export function playPlacement(load: PlacementLoad): PlacementOutcome {
  const random = createSeededRandom(load.seed);
  const placements = Array.from(
    {length: load.callers},
    (_, caller) =>
      new InstancePlacement(
        getZone(load.callerZones, caller),
        createSeededRandom(load.seed + caller + 1),
      ),
  );
  const candidates = Array.from({length: load.instances}, (_, index) => ({
    availabilityZone: getZone(load.instanceZones, index),
    daemon: `vm-${String(index)}`,
    daemonIncarnation: 1,
    incarnation: 1,
    instance: String(index),
    slots: load.slots,
  }));
  const admissions = candidates.map(() => {
    const admission = new InstanceAdmission<Step>(0);
    admission.setSlots(load.slots);
    return admission;
  });
  const due = new Map<Milliseconds, (() => void)[]>();
  const at = (time: Milliseconds, action: () => void): void => {
    const key = Math.max(now + STEP_MILLISECONDS, Math.round(time));
    due.set(key, [...(due.get(key) ?? []), action]);
  };
  const times: Milliseconds[] = [];
  const runs = candidates.map(() => 0);
  const byZone = new Map<string, {all: number; inTime: number}>();
  let crossings = 0;
  let refused = 0;
  let sent = 0;
  let now = 0;

  const countEnd = (caller: number, isInTime: boolean): void => {
    const zone = getZone(load.callerZones, caller);
    const counts = byZone.get(zone) ?? {all: 0, inTime: 0};
    counts.all += 1;
    counts.inTime += isInTime ? 1 : 0;
    byZone.set(zone, counts);
  };

  const answer = (
    step: Step,
    instance: number,
    report: InstanceLoad,
    runTime: Milliseconds | undefined,
  ): void => {
    at(now + ONE_WAY_MILLISECONDS, () => {
      const placement = placements[step.caller];
      const candidate = candidates[instance];
      if (placement === undefined || candidate === undefined) {
        return;
      }
      placement.recordEnded(candidate, report, now);
      if (runTime === undefined) {
        refused += 1;
        countEnd(step.caller, false);
        return;
      }
      placement.recordRun(candidate.instance, ROUTE, runTime, false, now);
      if (step.arrivedAt > WARM_UP_MILLISECONDS) {
        times.push(now - step.arrivedAt);
        countEnd(step.caller, now - step.arrivedAt <= load.objective);
      }
    });
  };

  const run = (step: Step, instance: number): void => {
    const runTime = step.runTime / load.getSpeed(instance, now);
    runs[instance] = (runs[instance] ?? 0) + 1;
    at(now + runTime, () => {
      const admission = admissions[instance];
      if (admission === undefined) {
        return;
      }
      admission.release(now, runTime);
      answer(step, instance, admission.getLoad(now), runTime);
      runNext(instance);
    });
  };

  const runNext = (instance: number): void => {
    const next = admissions[instance]?.takeNext(now);
    if (next !== undefined) {
      run(next, instance);
      runNext(instance);
    }
  };

  const begin = (): void => {
    const caller = Math.floor(random() * load.callers);
    const runTime = load.drawRunTime(random);
    const placement = placements[caller];
    const candidate = placement?.choose(
      candidates,
      {objectiveMilliseconds: load.objective, route: ROUTE},
      now,
    );
    if (placement === undefined || candidate === undefined) {
      return;
    }
    const instance = Number(candidate.instance);
    placement.recordSent(candidate.instance, now);
    sent += 1;
    crossings +=
      candidate.availabilityZone === getZone(load.callerZones, caller) ? 0 : 1;
    const step: Step = {
      arrivedAt: now,
      caller,
      expiresAt: now + load.objective,
      isRateLimitKnown: true,
      runTime,
      shedRank: 0,
    };
    at(now + ONE_WAY_MILLISECONDS, () => {
      const admission = admissions[instance];
      const decision = admission?.offer(step, now);
      if (decision === 'run') {
        run(step, instance);
      } else if (decision === 'full' && admission !== undefined) {
        answer(step, instance, admission.getLoad(now), undefined);
      }
    });
  };

  const tick = (): void => {
    for (const [instance, admission] of admissions.entries()) {
      admission.tick(now);
      for (const step of admission.takeExpired(now)) {
        answer(step, instance, admission.getLoad(now), undefined);
      }
    }
  };

  let credit = 0;
  for (; now < load.seconds * 1_000; now += STEP_MILLISECONDS) {
    for (const action of due.get(now) ?? []) {
      action();
    }
    due.delete(now);
    credit += (load.requestsPerSecond / 1_000) * (0.5 + random());
    for (; credit >= 1; credit -= 1) {
      begin();
    }
    if (now % TICK_MILLISECONDS === 0) {
      tick();
    }
  }
  times.sort((left, right) => left - right);
  const getQuantile = (share: number): Milliseconds =>
    times[Math.floor(times.length * share)] ?? 0;
  const inTime = times.filter((time) => time <= load.objective).length;
  const zoneShares = [...byZone.values()].map(
    (counts) => counts.inTime / counts.all,
  );
  return {
    crossingShare: crossings / sent,
    inTimeShare: inTime / (times.length + refused),
    inTimeShareOfWorstZone: Math.min(...zoneShares),
    p50: getQuantile(0.5),
    p99: getQuantile(0.99),
    refused,
    runs,
  };
}
