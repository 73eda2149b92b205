/** Refuses requests at their root while a service that they call is overloaded. */

import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  PROBE_RANKS,
  RANK_COUNT,
  RANKS_PER_IMPORTANCE,
} from '../RelayConstants.js';

/** Weight of the newest answer in the moving average of a route's threshold. */
const THRESHOLD_WEIGHT = 0.2;

/** Weight of the newest outcome in the moving average of a route's success share. */
const SUCCESS_WEIGHT = 0.1;

/** Success share below which most requests of a route are refused. */
const MINIMUM_SUCCESS_SHARE = 0.25;

/** Share of the requests that is admitted even then, so that a recovery is noticed. */
const PROBE_SHARE = 0.1;

/** Ranks by which a threshold rises per second without answers. */
const IDLE_RISE_RANKS_PER_SECOND = 300;

type RouteState = {
  updatedAt: Milliseconds;
  successShare: number;
  threshold: number;
};

/** Admits or refuses requests at their root, based on earlier answers of the route. */
export class RouteGate {
  readonly #randomNumber: RandomNumber;
  readonly #routes = new Map<string, RouteState>();

  constructor(randomNumber: RandomNumber) {
    this.#randomNumber = randomNumber;
  }

  /**
   * Returns whether a request is admitted.
   *
   * @example
   * gate.admits('prices', 2_417, now); // false: its rank is above the threshold
   */
  admits(route: string, shedRank: number, now: Milliseconds): boolean {
    const state = this.#routes.get(route);
    if (state === undefined) {
      return true;
    }
    const idleMilliseconds = now - state.updatedAt;
    const threshold =
      state.threshold +
      (idleMilliseconds * IDLE_RISE_RANKS_PER_SECOND) / MILLISECONDS_PER_SECOND;
    const cohort = shedRank % RANKS_PER_IMPORTANCE;
    if (shedRank >= threshold && cohort >= PROBE_RANKS) {
      return false;
    }
    return (
      state.successShare >= MINIMUM_SUCCESS_SHARE ||
      this.#randomNumber() < PROBE_SHARE
    );
  }

  /** Records whether a request that ran succeeded. */
  recordOutcome(route: string, isSuccess: boolean, now: Milliseconds): void {
    const state = this.#getState(route, now);
    state.successShare +=
      SUCCESS_WEIGHT * ((isSuccess ? 1 : 0) - state.successShare);
    state.updatedAt = now;
  }

  /** Records the threshold that an answer or a refusal carried. */
  recordThreshold(route: string, threshold: number, now: Milliseconds): void {
    const state = this.#getState(route, now);
    state.threshold += THRESHOLD_WEIGHT * (threshold - state.threshold);
    state.updatedAt = now;
  }

  #getState(route: string, now: Milliseconds): RouteState {
    const known = this.#routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const state = {successShare: 1, threshold: RANK_COUNT, updatedAt: now};
    this.#routes.set(route, state);
    return state;
  }
}
