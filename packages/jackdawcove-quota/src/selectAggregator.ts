/** Choice of the daemon that sums the quotas of an availability zone. */

import type {DaemonName} from 'jackdawcove-shared';

import {hashToUint32} from 'jackdawcove-shared';

const ranks = new Map<DaemonName, number>();

function getRank(name: DaemonName): number {
  let rank = ranks.get(name);
  if (rank === undefined) {
    rank = hashToUint32(name);
    ranks.set(name, rank);
  }
  return rank;
}

/**
 * Returns the candidate that every daemon with the same candidates chooses. Two
 * aggregators of one zone do no harm: each sums its own daemons, and they exchange
 * their sums.
 *
 * @example
 * selectAggregator(['erie-1', 'erie-2']);
 */
export function selectAggregator(
  candidates: readonly DaemonName[],
): DaemonName | undefined {
  let selected: DaemonName | undefined;
  for (const candidate of candidates) {
    if (selected === undefined || getRank(candidate) < getRank(selected)) {
      selected = candidate;
    }
  }
  return selected;
}
