/** Shed thresholds of services, heard with the answers of any route. */

import type {ServiceCost} from '../packets/ServiceCosts.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {RANK_COUNT} from '../RelayConstants.js';

/**
 * Time constant of the mean threshold of a service: it spans reports of several of its
 * instances, and follows a step well within a second.
 */
const AVERAGING_MILLISECONDS = 35;

/** Least weight of a report, so that many reports in one millisecond count too. */
const MINIMUM_WEIGHT = 0.1;

/** Age from which a threshold is no longer trusted. */
const MAXIMUM_AGE_MILLISECONDS = 1_000;

/** Ranks by which a threshold that is no longer trusted rises per second. */
const RELAXATION_RANKS_PER_SECOND = 500;

/** Services that are kept; the one heard of least recently is dropped. */
const MAXIMUM_SERVICES = 256;

type ServiceState = {heardAt: Milliseconds; threshold: number};

/**
 * Keeps the newest thresholds. Instances differ in their thresholds, so a service's is a
 * mean over what was heard lately; one that nothing is heard of relaxes.
 */
export class ServiceThresholds {
  readonly #services = new Map<string, ServiceState>();

  /**
   * Records a threshold that an instance of the service stated. Values that are not in
   * the range of ranks are ignored.
   *
   * @example
   * thresholds.record('stock', 2_400, now);
   */
  record(service: string, threshold: number, now: Milliseconds): void {
    if (!(threshold >= 0 && threshold <= RANK_COUNT)) {
      return;
    }
    const state = this.#services.get(service);
    if (state === undefined) {
      this.#removeOldest();
      this.#services.set(service, {heardAt: now, threshold});
      return;
    }
    const age = now - state.heardAt;
    const weight = Math.max(
      MINIMUM_WEIGHT,
      1 - Math.exp(-age / AVERAGING_MILLISECONDS),
    );
    state.threshold += weight * (threshold - state.threshold);
    state.heardAt = now;
  }

  /** Records the thresholds that an answer or a failure carried. */
  recordAll(costs: readonly ServiceCost[], now: Milliseconds): void {
    for (const {service, threshold} of costs) {
      if (threshold !== undefined) {
        this.record(service, threshold, now);
      }
    }
  }

  /** Returns the threshold of a service; the highest if none is known. */
  get(service: string, now: Milliseconds): number {
    const state = this.#services.get(service);
    if (state === undefined) {
      return RANK_COUNT;
    }
    const distrusted = Math.max(
      0,
      now - state.heardAt - MAXIMUM_AGE_MILLISECONDS,
    );
    return Math.min(
      RANK_COUNT,
      state.threshold +
        (distrusted * RELAXATION_RANKS_PER_SECOND) / MILLISECONDS_PER_SECOND,
    );
  }

  /** Returns the names of the services that were heard of. */
  listServices(): Iterable<string> {
    return this.#services.keys();
  }

  #removeOldest(): void {
    if (this.#services.size < MAXIMUM_SERVICES) {
      return;
    }
    let oldest: string | undefined;
    let oldestAt = Number.POSITIVE_INFINITY;
    for (const [service, {heardAt}] of this.#services) {
      if (heardAt < oldestAt) {
        oldest = service;
        oldestAt = heardAt;
      }
    }
    if (oldest !== undefined) {
      this.#services.delete(oldest);
    }
  }
}
