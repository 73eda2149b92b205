/** Refuses requests at their root while a service on their way is short of slots. */

import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {RANK_COUNT, RANKS_PER_IMPORTANCE} from '../RelayConstants.js';

/** Weight of the newest answer in the threshold of its route. */
const THRESHOLD_WEIGHT = 0.2;

/** Weight of the newest answer in the share of runs that succeed. */
const SUCCESS_WEIGHT = 0.1;

/** Share of runs that succeed below which most requests are not tried. */
const MINIMUM_SUCCESS_SHARE = 0.25;

/** Share of the requests that is tried all the same, so that an end shows. */
const PROBE_SHARE = 0.1;

/** Ranks of each importance that are always tried: 4%, to learn of room. */
const PROBE_RANKS = 40;

/** Ranks by which a threshold rises in a second without answers. */
const IDLE_RISE_RANKS_PER_SECOND = 300;

type RouteState = {
  updatedAt: Milliseconds;
  successShare: number;
  threshold: number;
};

/** Thresholds of the routes, learned from the answers of their requests. */
export class RouteGate {
  readonly #randomNumber: RandomNumber;
  readonly #routes = new Map<string, RouteState>();

  constructor(randomNumber: RandomNumber) {
    this.#randomNumber = randomNumber;
  }

  /**
   * Tells whether a request is tried.
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

  /** Learns whether a request that ran was answered well. */
  recordOutcome(route: string, isSuccess: boolean, now: Milliseconds): void {
    const state = this.#getState(route, now);
    state.successShare +=
      SUCCESS_WEIGHT * ((isSuccess ? 1 : 0) - state.successShare);
    state.updatedAt = now;
  }

  /** Learns the threshold that came with an answer or a refusal. */
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
