/** Six instances of a service that receives calls, played in memory. */

import type {TreeAdmission} from '../caller/TreeAdmission.js';
import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {ServiceCostSum} from '../packets/ServiceCosts.js';
import type {WaitingRequest} from '../server/InstanceAdmission.js';
import type {PlayClock} from './PlayClock.js';
import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {InstancePlacement} from '../caller/InstancePlacement.js';
import {getCostByCount, getCostByWork} from '../caller/loadCosts.js';
import {InstanceAdmission} from '../server/InstanceAdmission.js';
import {WorkThreshold} from '../server/WorkThreshold.js';

/** Name of the service. */
export const SERVICE = 'audio';

/** Slots that each instance uses of those that it announces. */
export const USABLE_SLOTS = 58;

const ANNOUNCED_SLOTS = 62;
const CALL_TIMEOUT_MILLISECONDS = 700;
const DISPATCH_RETRY_MILLISECONDS = 30;
const MAXIMUM_ROOT_REDIRECTS = 3;
const QUEUEING_SHARE = 0.85;
const ZONE = 'zone';

/** Speeds of the instances. */
export const INSTANCE_SPEEDS = [0.6, 1, 1.4, 0.6, 1, 1.4] as const;

/** Reports of the calls of one tree. */
export type TreeReports = {
  readonly costs: ServiceCostSum;
  readonly thresholds: number[];
};

/** A call to the service. */
export type PlayedCall = {
  readonly deadline: Milliseconds;
  /** Called once, with whether the call was answered in time. */
  readonly onEnd: (isDone: boolean) => void;
  readonly queueingMilliseconds: Milliseconds | undefined;
  readonly reports: TreeReports;
  readonly runMilliseconds: Milliseconds;
  readonly shedRank: number;
};

/** Decisions of a daemon that makes calls. */
export type PlayedCaller = {
  readonly placement: InstancePlacement;
  readonly trees: TreeAdmission;
};

type Offer = WaitingRequest & {
  readonly end: (isRun: boolean, runMilliseconds: Milliseconds) => void;
  readonly runMilliseconds: Milliseconds;
};

type Instance = {
  readonly admission: InstanceAdmission<Offer>;
  running: number;
  readonly speed: number;
};

/** Creates the placement of a daemon. */
export function createPlacement(
  random: RandomNumber,
  usesCosts: boolean,
): InstancePlacement {
  return new InstancePlacement(
    ZONE,
    random,
    usesCosts ? getCostByWork : getCostByCount,
  );
}

export class PlayedService {
  readonly #clock: PlayClock;
  readonly #getCount: (now: Milliseconds) => number;
  readonly #instances: readonly Instance[];

  constructor(
    clock: PlayClock,
    usesCosts: boolean,
    getInstanceCount: (now: Milliseconds) => number,
  ) {
    this.#clock = clock;
    this.#getCount = getInstanceCount;
    this.#instances = INSTANCE_SPEEDS.map((speed) => {
      const admission = new InstanceAdmission<Offer>(
        0,
        usesCosts,
        usesCosts ? new WorkThreshold(0) : undefined,
      );
      admission.setSlots(ANNOUNCED_SLOTS);
      return {admission, running: 0, speed};
    });
  }

  /** Share of the slots of the instances in service that is in use. */
  getSlotUse(): number {
    const inService = this.#instances.slice(0, this.#getCount(this.#clock.now));
    const running = inService.reduce((sum, {running}) => sum + running, 0);
    return running / (inService.length * USABLE_SLOTS);
  }

  tick(): void {
    const {now} = this.#clock;
    for (const {admission} of this.#instances) {
      admission.tick(now);
      for (const offer of admission.takeExpired(now)) {
        offer.end(false, 0);
      }
    }
  }

  /** Makes a call; a refusal by an instance leads to another one. */
  call(caller: PlayedCaller, call: PlayedCall): void {
    const deadline = Math.min(
      call.deadline,
      this.#clock.now + CALL_TIMEOUT_MILLISECONDS,
    );
    const excluded = new Set<number>();
    const dispatch = (): void => {
      if (this.#clock.now >= deadline) {
        call.onEnd(false);
        return;
      }
      const chosen = this.#choose(caller, excluded);
      if (chosen === undefined) {
        excluded.clear();
        this.#clock.after(DISPATCH_RETRY_MILLISECONDS, dispatch);
        return;
      }
      this.#offer(caller, {...call, deadline}, chosen, (isRun) => {
        const isRoot = call.queueingMilliseconds !== undefined;
        if (isRun) {
          call.onEnd(this.#clock.now < deadline);
        } else if (isRoot && excluded.size >= MAXIMUM_ROOT_REDIRECTS) {
          call.onEnd(false);
        } else {
          excluded.add(chosen);
          dispatch();
        }
      });
    };
    dispatch();
  }

  #choose(
    {placement}: PlayedCaller,
    excluded: ReadonlySet<number>,
  ): number | undefined {
    const {now} = this.#clock;
    const candidates = [];
    for (let index = 0; index < this.#getCount(now); index += 1) {
      if (!excluded.has(index)) {
        candidates.push({
          availabilityZone: ZONE,
          daemon: String(index),
          daemonIncarnation: 1,
          incarnation: 1,
          instance: String(index),
          slots: ANNOUNCED_SLOTS,
        });
      }
    }
    const request = {objectiveMilliseconds: 300, route: 'call'};
    const chosen = placement.choose(candidates, request, now);
    return chosen === undefined ? undefined : Number(chosen.instance);
  }

  #offer(
    caller: PlayedCaller,
    call: PlayedCall,
    index: number,
    onEnd: (isRun: boolean) => void,
  ): void {
    const instance = this.#instances[index];
    caller.placement.recordSent(String(index), this.#clock.now);
    this.#clock.after(1, () => {
      const {now} = this.#clock;
      const {deadline, queueingMilliseconds, runMilliseconds, shedRank} = call;
      const patience = Math.min(
        (deadline - now) * QUEUEING_SHARE,
        queueingMilliseconds ?? Number.POSITIVE_INFINITY,
      );
      const offer: Offer = {
        arrivedAt: now,
        end: (isRun, runTime) => {
          this.#report(caller, call.reports, index, runTime, () => {
            onEnd(isRun);
          });
        },
        expectedRunMilliseconds: runMilliseconds,
        expiresAt: now + patience,
        isRateLimitKnown: true,
        runMilliseconds,
        shedRank,
      };
      const isInService = index < this.#getCount(now);
      const decision = isInService
        ? (instance?.admission.offer(offer, now) ?? 'full')
        : 'full';
      if (decision === 'run' && instance !== undefined) {
        this.#start(instance, offer);
      } else if (decision === 'full') {
        offer.end(false, 0);
      }
    });
  }

  #start(instance: Instance, offer: Offer): void {
    const runTime =
      this.#clock.drawRunTime(offer.runMilliseconds) / instance.speed;
    instance.running += 1;
    this.#clock.after(runTime, () => {
      instance.running -= 1;
      instance.admission.recordRunEnd(offer, runTime);
      instance.admission.release(this.#clock.now, runTime);
      offer.end(true, runTime);
      const next = instance.admission.takeNext(this.#clock.now);
      if (next !== undefined) {
        this.#start(instance, next);
      }
    });
  }

  #report(
    {placement, trees}: PlayedCaller,
    reports: TreeReports,
    index: number,
    runTime: Milliseconds,
    onReported: () => void,
  ): void {
    const load = this.#instances[index]?.admission.getLoad(this.#clock.now);
    this.#clock.after(1, () => {
      const {now} = this.#clock;
      const instance = String(index);
      placement.recordEnded({incarnation: 1, instance}, load, now);
      if (runTime > 0) {
        placement.recordRun(instance, 'call', runTime, false, now);
      }
      if (load !== undefined) {
        const {threshold} = load;
        const costs: readonly ServiceCost[] = [
          {service: SERVICE, slotMilliseconds: runTime, threshold},
        ];
        trees.recordThresholds(costs, now);
        reports.costs.addAll(costs);
        reports.thresholds.push(threshold);
      }
      onReported();
    });
  }
}
