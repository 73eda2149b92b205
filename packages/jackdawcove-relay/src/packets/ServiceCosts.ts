/** What a run and the calls below it used, by service; sent with answers and failures. */

import {RANK_COUNT} from '../RelayConstants.js';

/** Slot time that a tree of calls used at one service. */
export type ServiceCost = {
  readonly service: string;
  readonly slotMilliseconds: number;
  /** Shed threshold of the service; undefined when it says nothing about the service. */
  readonly threshold: number | undefined;
};

type MutableServiceCost = {
  -readonly [Key in keyof ServiceCost]: ServiceCost[Key];
};

/** Services that one report names: the ones with the largest slot times. */
export const MAXIMUM_REPORTED_SERVICES = 4;

/** Services that one sum distinguishes; a tree seldom reaches as many. */
const MAXIMUM_SUMMED_SERVICES = 16;

/** Largest slot time that one report may state for a service. */
const MAXIMUM_SLOT_MILLISECONDS = 600_000;

/** Weight of the newest call in the mean threshold of the instances of a service. */
const THRESHOLD_WEIGHT = 0.3;

const FIELDS_PER_SERVICE = 3;
/** Encoded in place of a threshold that says nothing. */
const NO_THRESHOLD = null;

/**
 * Adds up what a run and its calls used. Calls run on several instances, so the
 * threshold of a service is a moving average in which the newest call counts most.
 */
export class ServiceCostSum {
  readonly #entries: MutableServiceCost[] = [];

  /**
   * Adds the report of a call.
   *
   * @example
   * sum.addAll([{service: 'stock', slotMilliseconds: 47, threshold: 2_400}]);
   */
  addAll(costs: readonly ServiceCost[]): void {
    for (const {service, slotMilliseconds, threshold} of costs) {
      this.add(service, slotMilliseconds, threshold);
    }
  }

  /** Adds slot time at one service. */
  add(
    service: string,
    slotMilliseconds: number,
    threshold: number | undefined,
  ): void {
    const entry = this.#find(service);
    if (entry === undefined) {
      if (this.#entries.length < MAXIMUM_SUMMED_SERVICES) {
        this.#entries.push({service, slotMilliseconds, threshold});
      }
      return;
    }
    entry.slotMilliseconds += slotMilliseconds;
    if (threshold !== undefined) {
      const previous = entry.threshold ?? threshold;
      entry.threshold = previous + THRESHOLD_WEIGHT * (threshold - previous);
    }
  }

  /** Returns the services with the largest slot times, largest first. */
  list(): readonly ServiceCost[] {
    return this.#entries
      .sort((left, right) => right.slotMilliseconds - left.slotMilliseconds)
      .slice(0, MAXIMUM_REPORTED_SERVICES);
  }

  #find(service: string): MutableServiceCost | undefined {
    for (const entry of this.#entries) {
      if (entry.service === service) {
        return entry;
      }
    }
    return undefined;
  }
}

/**
 * Returns the costs as a flat list in wire order.
 *
 * @example
 * encodeCosts(costs); // ['stock', 376, 2400, 'shelf', 410, 4000]
 */
export function encodeCosts(
  costs: readonly ServiceCost[],
): readonly (null | number | string)[] {
  const fields: (null | number | string)[] = [];
  for (const {service, slotMilliseconds, threshold} of costs) {
    fields.push(
      service,
      Math.round(slotMilliseconds),
      threshold === undefined ? NO_THRESHOLD : Math.round(threshold),
    );
  }
  return fields;
}

/**
 * Decodes costs. Entries that are malformed or out of range are ignored: a report that
 * lies or is damaged must not fail the answer that carries it.
 *
 * @example
 * decodeCosts(['stock', 376, 2400])?.[0]?.slotMilliseconds; // 376
 */
export function decodeCosts(
  value: unknown,
): readonly ServiceCost[] | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const fields = value as readonly unknown[];
  const costs: ServiceCost[] = [];
  const end = Math.min(
    fields.length,
    MAXIMUM_REPORTED_SERVICES * FIELDS_PER_SERVICE,
  );
  for (let index = 0; index + 2 < end; index += FIELDS_PER_SERVICE) {
    const service = fields[index];
    const slotMilliseconds = fields[index + 1];
    const threshold = fields[index + 2] ?? undefined;
    if (
      typeof service === 'string' &&
      isWithin(slotMilliseconds, MAXIMUM_SLOT_MILLISECONDS) &&
      (threshold === undefined || isWithin(threshold, RANK_COUNT))
    ) {
      costs.push({service, slotMilliseconds, threshold});
    }
  }
  return costs;
}

function isWithin(value: unknown, maximum: number): value is number {
  return typeof value === 'number' && value >= 0 && value <= maximum;
}
