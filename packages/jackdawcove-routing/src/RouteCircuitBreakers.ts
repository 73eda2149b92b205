/** Circuit breakers of routes whose requests mostly fail. */

import type {Milliseconds} from 'jackdawcove-shared';

import {
  BREAKER_FIRST_PROBE_COHORT,
  BREAKER_MINIMUM_SAMPLES,
  BREAKER_MINIMUM_SUCCESS_SHARE,
  BREAKER_WINDOW_MILLISECONDS,
} from './RoutingConstants.js';

type Counts = {
  successes: number;
  total: number;
};

type RouteWindows = {
  current: Counts;
  previous: Counts;
  startedAt: Milliseconds;
};

/**
 * Refuses requests of routes that mostly fail. When a service deep in the call chain
 * fails part of its calls regardless of load, a request that needs many of them does
 * useless work while its caller waits for an error. Most requests of such a route are
 * refused immediately, with a retry delay; the others are let through as probes, so
 * that a recovery is noticed within a window.
 *
 * @example
 * breakers.recordOutcome('prices', false, now);
 * breakers.isRefused('prices', cohort, now);
 */
export class RouteCircuitBreakers {
  readonly #routes = new Map<string, RouteWindows>();

  /** Records whether a request got a complete answer without a failure. */
  recordOutcome(route: string, isSuccess: boolean, now: Milliseconds): void {
    const windows = this.#advanceWindows(route, now);
    windows.current.total += 1;
    windows.current.successes += isSuccess ? 1 : 0;
  }

  /** Returns whether a request of the cohort, from 0 to 1, is refused. */
  isRefused(route: string, cohort: number, now: Milliseconds): boolean {
    if (cohort >= BREAKER_FIRST_PROBE_COHORT || !this.#routes.has(route)) {
      return false;
    }
    const {current, previous} = this.#advanceWindows(route, now);
    const total = current.total + previous.total;
    const successes = current.successes + previous.successes;
    return (
      total >= BREAKER_MINIMUM_SAMPLES &&
      successes < total * BREAKER_MINIMUM_SUCCESS_SHARE
    );
  }

  #advanceWindows(route: string, now: Milliseconds): RouteWindows {
    const known = this.#routes.get(route);
    const age = known === undefined ? Infinity : now - known.startedAt;
    if (known !== undefined && age < BREAKER_WINDOW_MILLISECONDS) {
      return known;
    }
    const isAdjacent = age < 2 * BREAKER_WINDOW_MILLISECONDS;
    const windows: RouteWindows = {
      current: {successes: 0, total: 0},
      previous: (isAdjacent && known?.current) || {successes: 0, total: 0},
      startedAt: now,
    };
    this.#routes.set(route, windows);
    return windows;
  }
}
