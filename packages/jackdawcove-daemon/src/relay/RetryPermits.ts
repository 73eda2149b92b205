/** Permission to send a request to a second instance. */

import type {RelayCall} from './RelayCall.js';
import type {RetryBudgetOptions} from 'jackdawcove-relay';
import type {Milliseconds, ServiceName} from 'jackdawcove-shared';

import {SharedRetryBudget} from 'jackdawcove-relay';

import {canRetryRun, hasAttemptsLeft} from './RelayCall.js';
import {DENIAL_MILLISECONDS} from './RelayConstants.js';

/**
 * Decides on retries. This daemon spends its part of the fleet's budget on requests of
 * callers; on the calls of runs, the daemon of the instance decides.
 */
export class RetryPermits {
  readonly #budget: SharedRetryBudget;
  /** Time until which no call of a run is repeated, by service. */
  readonly #deniedUntil = new Map<ServiceName, Milliseconds>();

  constructor(
    options: RetryBudgetOptions,
    getDaemonCount: () => number,
    now: Milliseconds,
  ) {
    this.#budget = new SharedRetryBudget(options, getDaemonCount, now);
  }

  /** Records the first attempt of a request. */
  recordRequest({parent, service}: RelayCall, now: Milliseconds): void {
    if (parent === undefined) {
      this.#budget.recordRequest(service, now);
    }
  }

  /** Records that the daemon of an instance denied a retry. */
  recordDenial({service}: RelayCall, now: Milliseconds): void {
    this.#deniedUntil.set(service, now + DENIAL_MILLISECONDS);
  }

  /** Whether a request that an instance refused may be sent to another one. */
  spendOnRefusal(call: RelayCall, now: Milliseconds): boolean {
    return hasAttemptsLeft(call) && this.#spend(call, now);
  }

  /**
   * Whether a request that ran, or may have run, may be repeated.
   *
   * @example
   * if (permits.spendOnRun(call, clock())) dispatchAgain(call);
   */
  spendOnRun(call: RelayCall, now: Milliseconds): boolean {
    return canRetryRun(call, now) && this.#spend(call, now);
  }

  #spend({parent, service}: RelayCall, now: Milliseconds): boolean {
    return parent === undefined
      ? this.#budget.spend(service, 1, now)
      : now >= (this.#deniedUntil.get(service) ?? now);
  }
}
