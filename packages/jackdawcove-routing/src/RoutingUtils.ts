/** Helpers of the selection of instances. */

import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {hashToUint32, MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  THRESHOLD_DECAY_PER_SECOND,
  THRESHOLD_FRESH_MILLISECONDS,
} from './RoutingConstants.js';

/**
 * Returns the decayed value of a threshold that was reported some time ago. Because
 * of the decay, requests slightly below it are sent as probes soon after pressure ends.
 *
 * @example
 * decayThreshold(2, 50); // 2
 */
export function decayThreshold(threshold: number, age: Milliseconds): number {
  if (threshold === 0 || age <= THRESHOLD_FRESH_MILLISECONDS) {
    return threshold;
  }
  const staleMilliseconds = age - THRESHOLD_FRESH_MILLISECONDS;
  const fall =
    (staleMilliseconds / MILLISECONDS_PER_SECOND) * THRESHOLD_DECAY_PER_SECOND;
  return Math.max(0, threshold - fall);
}

/**
 * Picks the subset of items that a daemon uses, by rendezvous hashing: the subset is
 * stable, evenly distributed over daemons, and changes little as items come and go.
 *
 * @example
 * pickSubset('erie-dock-1', instances, 20, (instance) => instance.instance);
 */
export function pickSubset<Item>(
  daemon: DaemonName,
  items: readonly Item[],
  size: number,
  getName: (item: Item) => string,
): readonly Item[] {
  if (items.length <= size) {
    return items;
  }
  const weighted = items.map((item) => ({
    item,
    weight: hashToUint32(`${daemon}/${getName(item)}`),
  }));
  weighted.sort((left, right) => right.weight - left.weight);
  return weighted.slice(0, size).map(({item}) => item);
}
