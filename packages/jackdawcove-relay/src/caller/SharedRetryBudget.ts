/** This daemon's share of the retry budget of the whole fleet. */

import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

/** Retry budget of the whole fleet, per service. */
export type RetryBudgetOptions = {
  /** Retries per request that callers send to the service. */
  readonly ratio: number;
  /** Retries per window in addition to the ratio. */
  readonly slack: number;
  readonly windowMilliseconds: Milliseconds;
};

/** Share of the ratio that is used, because a retried run repeats its calls too. */
const SPENT_RATIO_SHARE = 0.25;

/** Share of the slack that is used, because the daemon count changes within a window. */
const SPENT_SLACK_SHARE = 0.5;

type ServiceState = {
  readonly requests: number[];
  readonly retries: number[];
};

const BUCKET_COUNT = 10;

/**
 * Counts requests and retries of each service over a sliding window. A daemon's budget
 * comes only from the requests that it received itself and from its part of the slack,
 * so the fleet stays within its budget without coordination between daemons. It decides on
 * requests of callers; `InstanceRetryBudget` decides on the calls of their runs.
 */
export class SharedRetryBudget {
  #bucketIndex = 0;
  #bucketStartedAt: Milliseconds;
  readonly #getDaemonCount: () => number;
  readonly #options: RetryBudgetOptions;
  readonly #services = new Map<ServiceName, ServiceState>();

  constructor(
    options: RetryBudgetOptions,
    getDaemonCount: () => number,
    now: Milliseconds,
  ) {
    this.#bucketStartedAt = now;
    this.#getDaemonCount = getDaemonCount;
    this.#options = options;
  }

  /** Records a request of a caller. */
  recordRequest(service: ServiceName, now: Milliseconds): void {
    this.#advance(now);
    add(this.#getState(service).requests, this.#bucketIndex, 1);
  }

  /**
   * Spends budget on a retry; returns false when too little is left.
   *
   * @example
   * if (budget.spend('orders', 1, now)) sendAgain();
   */
  spend(service: ServiceName, cost: number, now: Milliseconds): boolean {
    this.#advance(now);
    const {requests, retries} = this.#getState(service);
    const {ratio, slack} = this.#options;
    const localSlack =
      (slack * SPENT_SLACK_SHARE) / Math.max(1, this.#getDaemonCount());
    const allowed = localSlack + ratio * SPENT_RATIO_SHARE * sum(requests);
    if (sum(retries) + cost > allowed) {
      return false;
    }
    add(retries, this.#bucketIndex, cost);
    return true;
  }

  #advance(now: Milliseconds): void {
    const bucketMilliseconds = this.#options.windowMilliseconds / BUCKET_COUNT;
    const steps = Math.floor(
      (now - this.#bucketStartedAt) / bucketMilliseconds,
    );
    for (let step = 0; step < Math.min(steps, BUCKET_COUNT); step += 1) {
      this.#bucketIndex = (this.#bucketIndex + 1) % BUCKET_COUNT;
      for (const {requests, retries} of this.#services.values()) {
        requests[this.#bucketIndex] = 0;
        retries[this.#bucketIndex] = 0;
      }
    }
    this.#bucketStartedAt += steps * bucketMilliseconds;
  }

  #getState(service: ServiceName): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const state = {
      requests: new Array<number>(BUCKET_COUNT).fill(0),
      retries: new Array<number>(BUCKET_COUNT).fill(0),
    };
    this.#services.set(service, state);
    return state;
  }
}

function add(counts: number[], bucket: number, count: number): void {
  counts[bucket] = (counts[bucket] ?? 0) + count;
}

function sum(counts: readonly number[]): number {
  let total = 0;
  for (const count of counts) {
    total += count;
  }
  return total;
}
