/** Shed rank of a root request: its importance and its position within it. */

import type {Importance} from 'jackdawcove-shared';

import {getImportanceRank, IMPORTANCES} from 'jackdawcove-shared';

import {RANKS_PER_IMPORTANCE} from '../RelayConstants.js';

const LOWEST_IMPORTANCE_RANK = IMPORTANCES.length - 1;

/** What the shed rank of a root request depends on. */
export type RankedRequest = {
  /** Position within the importance, in [0, 1). */
  readonly cohort: number;
  /** Importance of the route. */
  readonly importance: Importance;
  /** Undefined: the organisation has none, or the request has no organisation. */
  readonly organisationImportance?: Importance | undefined;
};

/**
 * Returns the shed rank of a root request. The importance of an organisation takes
 * precedence; that of the route then orders the requests of one importance.
 *
 * @example
 * getShedRank({cohort: 0.5, importance: 'normal'}); // 2500
 */
export function getShedRank({
  cohort,
  importance,
  organisationImportance,
}: RankedRequest): number {
  const position =
    organisationImportance === undefined
      ? cohort
      : (getOrder(importance) + cohort) / IMPORTANCES.length;
  const order = getOrder(organisationImportance ?? importance);
  return Math.floor((order + position) * RANKS_PER_IMPORTANCE);
}

/** Returns the order of shedding of an importance; the highest is shed last. */
function getOrder(importance: Importance): number {
  return LOWEST_IMPORTANCE_RANK - getImportanceRank(importance);
}
