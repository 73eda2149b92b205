/** Selection of the instance that an attempt is sent to. */

import type {InstanceCandidate} from './InstanceCandidate.js';
import type {CallOutcome, ReportedLoad} from './InstanceState.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  InstanceName,
  Milliseconds,
  RandomNumber,
  ServiceName,
} from 'jackdawcove-shared';

import {InstanceState} from './InstanceState.js';
import {
  NEVER_EJECTED_SHARE,
  SPILL_PRESSURE,
  SUBSET_SIZE,
} from './RoutingConstants.js';
import {pickSubset} from './RoutingUtils.js';

/** Mechanisms that can be switched off for measurements and baselines. */
export type RoutingSwitches = {
  readonly isEjecting: boolean;
  readonly isSheddingBeforeSending: boolean;
  readonly isZoneAware: boolean;
};

/** Every mechanism switched on. */
export const DEFAULT_ROUTING_SWITCHES: RoutingSwitches = {
  isEjecting: true,
  isSheddingBeforeSending: true,
  isZoneAware: true,
};

/** Options of an instance chooser. */
export type InstanceChooserOptions = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly daemon: DaemonName;
  readonly randomNumber: RandomNumber;
  readonly region: string;
  readonly subsetSize?: number;
  readonly switches?: RoutingSwitches;
};

/** An attempt that an instance is chosen for. */
export type ChoiceRequest = {
  readonly candidates: readonly InstanceCandidate[];
  /** Instances that the call has already tried. */
  readonly excluded: ReadonlySet<InstanceName>;
  /** When set, the only instance that may be chosen. */
  readonly requiredInstance?: InstanceName | undefined;
  /** Rank of the importance plus the cohort. */
  readonly priority: number;
  readonly service: ServiceName;
};

/** Result of a choice: an instance, none available, or all would refuse the request. */
export type Choice =
  | {readonly kind: 'chosen'; readonly candidate: InstanceCandidate}
  | {readonly kind: 'none'}
  | {readonly kind: 'shed'; readonly threshold: number};

type ScoredCandidate = {
  readonly candidate: InstanceCandidate;
  readonly pressure: number;
};

type Subset = {
  readonly candidates: readonly InstanceCandidate[];
  readonly source: readonly InstanceCandidate[];
};

const NEAREST_TIER = 0;
const FARTHEST_TIER = 2;

/** Chooses instances by their load and by the outcomes of earlier calls. */
export class InstanceChooser {
  readonly #options: InstanceChooserOptions;
  readonly #states = new Map<ServiceName, Map<InstanceName, InstanceState>>();
  readonly #subsets = new Map<ServiceName, Subset>();
  readonly #switches: RoutingSwitches;

  constructor(options: InstanceChooserOptions) {
    this.#options = options;
    this.#switches = options.switches ?? DEFAULT_ROUTING_SWITCHES;
  }

  /** Records that an attempt was sent. */
  recordSent(service: ServiceName, candidate: InstanceCandidate): void {
    this.#getState(service, candidate).recordSent();
  }

  /** Records how an attempt ended. */
  recordEnded(
    service: ServiceName,
    candidate: InstanceCandidate,
    outcome: CallOutcome,
    now: Milliseconds,
  ): void {
    this.#getState(service, candidate).recordEnded(outcome, now);
  }

  /** Records the load that an answer reported. */
  recordLoad(
    service: ServiceName,
    candidate: InstanceCandidate,
    load: ReportedLoad,
    now: Milliseconds,
  ): void {
    this.#getState(service, candidate).recordLoad(load, now);
  }

  /** Ejects an instance that refuses all work for a while. */
  eject(
    service: ServiceName,
    candidate: InstanceCandidate,
    now: Milliseconds,
  ): void {
    this.#getState(service, candidate).eject(now);
  }

  /** Chooses an instance; changes no state except the cached subset. */
  choose(request: ChoiceRequest, now: Milliseconds): Choice {
    const usable = this.#listUsable(request, now);
    if (usable.length === 0) {
      return {kind: 'none'};
    }
    const accepting = this.#listAccepting(request, usable, now);
    if (accepting.length === 0) {
      const threshold = this.#getLowestThreshold(request.service, usable, now);
      return {kind: 'shed', threshold};
    }
    const candidate = this.#pickNearest(request.service, accepting, now);
    return {candidate, kind: 'chosen'};
  }

  /** Lowest threshold of the service's instances: the priority needed for admission. */
  getServiceThreshold(
    service: ServiceName,
    candidates: readonly InstanceCandidate[],
    now: Milliseconds,
  ): number {
    const usable = candidates.filter(isInService);
    return this.#getLowestThreshold(service, usable, now);
  }

  #listUsable(
    request: ChoiceRequest,
    now: Milliseconds,
  ): readonly InstanceCandidate[] {
    const {requiredInstance} = request;
    const listed =
      requiredInstance === undefined
        ? this.#getSubset(request)
        : request.candidates.filter(
            ({instance}) => instance === requiredInstance,
          );
    const usable = listed.filter(
      (candidate) =>
        isInService(candidate) && !request.excluded.has(candidate.instance),
    );
    if (!this.#switches.isEjecting) {
      return usable;
    }
    return this.#excludeEjected(request.service, usable, now);
  }

  #excludeEjected(
    service: ServiceName,
    usable: readonly InstanceCandidate[],
    now: Milliseconds,
  ): readonly InstanceCandidate[] {
    const healthy = usable.filter(
      (candidate) => !this.#getState(service, candidate).isEjected(now),
    );
    const minimumCount = Math.ceil(usable.length * NEVER_EJECTED_SHARE);
    if (healthy.length >= minimumCount) {
      return healthy;
    }
    const getEjectionEnd = (candidate: InstanceCandidate): Milliseconds =>
      this.#getState(service, candidate).getEjectedUntil();
    return usable
      .toSorted((left, right) => getEjectionEnd(left) - getEjectionEnd(right))
      .slice(0, minimumCount);
  }

  #listAccepting(
    request: ChoiceRequest,
    usable: readonly InstanceCandidate[],
    now: Milliseconds,
  ): readonly InstanceCandidate[] {
    if (!this.#switches.isSheddingBeforeSending) {
      return usable;
    }
    return usable.filter((candidate) => {
      const state = this.#getState(request.service, candidate);
      return state.getThreshold(now) <= request.priority;
    });
  }

  #pickNearest(
    service: ServiceName,
    accepting: readonly InstanceCandidate[],
    now: Milliseconds,
  ): InstanceCandidate {
    const first = this.#switches.isZoneAware ? NEAREST_TIER : FARTHEST_TIER;
    let best: undefined | ScoredCandidate;
    for (let tier = first; tier <= FARTHEST_TIER; tier += 1) {
      const inTier = accepting.filter(
        (candidate) => this.#getTier(candidate) <= tier,
      );
      const picked = this.#pickBestOfTwo(service, inTier, now);
      best = pickWithSpill(best, picked);
    }
    return (best as ScoredCandidate).candidate;
  }

  #pickBestOfTwo(
    service: ServiceName,
    candidates: readonly InstanceCandidate[],
    now: Milliseconds,
  ): undefined | ScoredCandidate {
    const {length} = candidates;
    if (length === 0) {
      return undefined;
    }
    const firstIndex = Math.floor(this.#options.randomNumber() * length);
    const first = this.#score(service, candidates[firstIndex], now);
    if (length === 1) {
      return first;
    }
    const step = 1 + Math.floor(this.#options.randomNumber() * (length - 1));
    const other = candidates[(firstIndex + step) % length];
    const second = this.#score(service, other, now);
    return second.pressure < first.pressure ? second : first;
  }

  #score(
    service: ServiceName,
    candidate: InstanceCandidate | undefined,
    now: Milliseconds,
  ): ScoredCandidate {
    const existing = candidate as InstanceCandidate;
    const state = this.#getState(service, existing);
    return {
      candidate: existing,
      pressure: state.getPressure(existing.slots, now),
    };
  }

  #getTier(candidate: InstanceCandidate): number {
    if (candidate.availabilityZone === this.#options.availabilityZone) {
      return NEAREST_TIER;
    }
    return candidate.region === this.#options.region ? 1 : FARTHEST_TIER;
  }

  #getLowestThreshold(
    service: ServiceName,
    candidates: readonly InstanceCandidate[],
    now: Milliseconds,
  ): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const threshold = this.#getState(service, candidate).getThreshold(now);
      lowest = Math.min(lowest, threshold);
    }
    return Number.isFinite(lowest) ? lowest : 0;
  }

  #getSubset(request: ChoiceRequest): readonly InstanceCandidate[] {
    const cached = this.#subsets.get(request.service);
    if (cached?.source === request.candidates) {
      return cached.candidates;
    }
    const candidates = pickSubset(
      this.#options.daemon,
      request.candidates,
      this.#options.subsetSize ?? SUBSET_SIZE,
      (candidate) => candidate.instance,
    );
    this.#subsets.set(request.service, {
      candidates,
      source: request.candidates,
    });
    this.#removeStaleStates(request);
    return candidates;
  }

  #removeStaleStates(request: ChoiceRequest): void {
    const states = this.#states.get(request.service);
    const current = new Set(request.candidates.map(({instance}) => instance));
    for (const instance of states?.keys() ?? []) {
      if (!current.has(instance)) {
        states?.delete(instance);
      }
    }
  }

  #getState(service: ServiceName, candidate: InstanceCandidate): InstanceState {
    let states = this.#states.get(service);
    if (states === undefined) {
      states = new Map();
      this.#states.set(service, states);
    }
    const known = states.get(candidate.instance);
    if (known?.incarnation === candidate.instanceIncarnation) {
      return known;
    }
    const state = new InstanceState(candidate.instanceIncarnation);
    states.set(candidate.instance, state);
    return state;
  }
}

function isInService(candidate: InstanceCandidate): boolean {
  return candidate.isReachable && !candidate.isDraining;
}

function pickWithSpill(
  nearer: undefined | ScoredCandidate,
  farther: undefined | ScoredCandidate,
): undefined | ScoredCandidate {
  if (nearer === undefined || farther === undefined) {
    return nearer ?? farther;
  }
  return farther.pressure + SPILL_PRESSURE < nearer.pressure ? farther : nearer;
}
