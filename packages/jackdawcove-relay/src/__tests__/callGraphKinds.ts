/** Kinds of requests of a play whose calls end at one service. */

import type {Importance, Milliseconds} from 'jackdawcove-shared';

import {RANK_COUNT} from '../RelayConstants.js';

export type GraphKind = {
  /** Chains of calls, one after the other or all at once; 0: the service is called directly. */
  readonly chains: number;
  readonly importance: Importance;
  readonly isConcurrent: boolean;
  readonly name: string;
  readonly runMilliseconds: Milliseconds;
  /** Requests relative to the other kinds. */
  readonly share: number;
  readonly timeoutMilliseconds: Milliseconds;
};

export type GraphCounts = {asked: number; served: number};

export const GRAPH_KINDS: readonly GraphKind[] = [
  {
    chains: 2,
    importance: 'urgent',
    isConcurrent: true,
    name: 'application',
    runMilliseconds: 380,
    share: 2.2,
    timeoutMilliseconds: 2_500,
  },
  {
    chains: 0,
    importance: 'high',
    isConcurrent: false,
    name: 'status',
    runMilliseconds: 120,
    share: 1.6,
    timeoutMilliseconds: 1_000,
  },
  {
    chains: 2,
    importance: 'normal',
    isConcurrent: false,
    name: 'history',
    runMilliseconds: 290,
    share: 4,
    timeoutMilliseconds: 2_000,
  },
];

export const CALLS_PER_CHAIN = 5;
export const CALL_MILLISECONDS = 72;

/** Slot time that one request uses at the service that is called. */
export function getDeepMilliseconds({
  chains,
  runMilliseconds,
}: GraphKind): Milliseconds {
  return chains === 0
    ? runMilliseconds
    : chains * CALLS_PER_CHAIN * CALL_MILLISECONDS;
}

/** Returns the mean of the thresholds that the calls of a request reported. */
export function getMeanThreshold(thresholds: readonly number[]): number {
  return thresholds.length === 0
    ? RANK_COUNT
    : thresholds.reduce((sum, value) => sum + value, 0) / thresholds.length;
}
