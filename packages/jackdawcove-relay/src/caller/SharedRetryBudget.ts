/** This daemon's part of the retries that the whole fleet may make. */

import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

/** Retries that the whole fleet may make. */
export type RetryBudgetOptions = {
  /** Retries per request of a caller for the service. */
  readonly ratio: number;
  /** Retries beyond the ratio in one window. */
  readonly slack: number;
  readonly windowMilliseconds: Milliseconds;
};

/** Share of the ratio that is spent: a repeated run repeats its calls as well. */
const RATIO_SHARE = 0.25;

/** Share of the slack that is spent: daemons come and go within a window. */
const SLACK_SHARE = 0.5;

type ServiceState = {
  readonly requests: number[];
  readonly retries: number[];
};

const BUCKETS = 10;

/**
 * Counts requests and retries of each service over a sliding window. Every daemon
 * spends from what it saw itself, so the sum over the fleet holds without a word
 * between daemons.
 */
export class SharedRetryBudget {
  #bucket = 0;
  #bucketBegan: Milliseconds;
  readonly #getDaemonCount: () => number;
  readonly #options: RetryBudgetOptions;
  readonly #services = new Map<ServiceName, ServiceState>();

  constructor(
    options: RetryBudgetOptions,
    getDaemonCount: () => number,
    now: Milliseconds,
  ) {
    this.#bucketBegan = now;
    this.#getDaemonCount = getDaemonCount;
    this.#options = options;
  }

  /** Counts a request of a caller. */
  recordRequest(service: ServiceName, now: Milliseconds): void {
    this.#advance(now);
    add(this.#getState(service).requests, this.#bucket, 1);
  }

  /**
   * Takes one retry; false when none is left.
   *
   * @example
   * if (budget.take('orders', 1, now)) sendAgain();
   */
  spend(service: ServiceName, cost: number, now: Milliseconds): boolean {
    this.#advance(now);
    const {requests, retries} = this.#getState(service);
    const {ratio, slack} = this.#options;
    const slackPart =
      (slack * SLACK_SHARE) / Math.max(1, this.#getDaemonCount());
    const allowed = slackPart + ratio * RATIO_SHARE * sum(requests);
    if (sum(retries) + cost > allowed) {
      return false;
    }
    add(retries, this.#bucket, cost);
    return true;
  }

  #advance(now: Milliseconds): void {
    const length = this.#options.windowMilliseconds / BUCKETS;
    const steps = Math.floor((now - this.#bucketBegan) / length);
    for (let step = 0; step < Math.min(steps, BUCKETS); step += 1) {
      this.#bucket = (this.#bucket + 1) % BUCKETS;
      for (const {requests, retries} of this.#services.values()) {
        requests[this.#bucket] = 0;
        retries[this.#bucket] = 0;
      }
    }
    this.#bucketBegan += steps * length;
  }

  #getState(service: ServiceName): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const state = {
      requests: new Array<number>(BUCKETS).fill(0),
      retries: new Array<number>(BUCKETS).fill(0),
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
