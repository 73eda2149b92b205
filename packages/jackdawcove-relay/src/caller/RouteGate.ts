/** Refuses requests at their root while a service on their way is short of slots. */

import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {RANK_COUNT, RANKS_PER_IMPORTANCE} from '../RelayConstants.js';

/** Weight of the newest answer in the threshold of its route. */
const THRESHOLD_WEIGHT = 0.2;

/** Weight of the newest answer in the share of runs that succeed. */
const SUCCESS_WEIGHT = 0.1;

/** Share of runs that succeed below which most requests are not tried. */
const FUTILE_SHARE = 0.25;

/** Share of the requests that is tried all the same, so that an end shows. */
const TRIED_SHARE = 0.1;

/** Ranks of each importance that are always tried: 4%, to learn of room. */
const PROBING_RANKS = 40;

/** Ranks by which a threshold rises in a second without answers. */
const SILENT_RISE_RANKS = 300;

type RouteState = {
  changedAt: Milliseconds;
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
    const silence = now - state.changedAt;
    const threshold =
      state.threshold + (silence * SILENT_RISE_RANKS) / MILLISECONDS_PER_SECOND;
    const cohort = shedRank % RANKS_PER_IMPORTANCE;
    if (shedRank >= threshold && cohort >= PROBING_RANKS) {
      return false;
    }
    return (
      state.successShare >= FUTILE_SHARE || this.#randomNumber() < TRIED_SHARE
    );
  }

  /** Learns whether a request that ran was answered well. */
  recordOutcome(route: string, isSuccess: boolean, now: Milliseconds): void {
    const state = this.#getState(route, now);
    state.successShare +=
      SUCCESS_WEIGHT * ((isSuccess ? 1 : 0) - state.successShare);
    state.changedAt = now;
  }

  /** Learns the threshold that came with an answer or a refusal. */
  recordThreshold(route: string, threshold: number, now: Milliseconds): void {
    const state = this.#getState(route, now);
    state.threshold += THRESHOLD_WEIGHT * (threshold - state.threshold);
    state.changedAt = now;
  }

  #getState(route: string, now: Milliseconds): RouteState {
    const known = this.#routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const state = {changedAt: now, successShare: 1, threshold: RANK_COUNT};
    this.#routes.set(route, state);
    return state;
  }
}
