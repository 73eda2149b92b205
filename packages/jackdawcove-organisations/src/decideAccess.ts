/** Decides whether a request may run, from its key. */

import type {ConfigurationFreshness, Moment} from './ConfigurationFreshness.js';
import type {OrganisationTable} from './OrganisationTable.js';
import type {Organisation} from 'jackdawcove-routes';

/** What is known of a request before it is admitted. */
export type AccessRequest = {
  /** The local instance makes the request while it runs another one. */
  readonly isCallOfInstance: boolean;
  /** The route of the request is open to all. */
  readonly isPublic: boolean;
  /** Key of the request; undefined if it has none, empty if it is malformed. */
  readonly key: string | undefined;
};

/** Result of the decision; an organisation or `open` lets the request run. */
export type AccessDecision =
  'configurationNotConfirmed' | 'open' | 'unauthenticated' | Organisation;

/**
 * Returns the organisation of a request, `open` if it needs none, or the result with
 * which it is refused. Without `freshness` keys are good as long as they are applied.
 *
 * @example
 * decideAccess({isCallOfInstance: false, isPublic: false, key}, table, undefined, moment);
 */
export function decideAccess(
  {isCallOfInstance, isPublic, key}: AccessRequest,
  table: OrganisationTable,
  freshness: ConfigurationFreshness | undefined,
  moment: Moment,
): AccessDecision {
  if (key === undefined && (isPublic || isCallOfInstance)) {
    return 'open';
  }
  const organisation =
    key === undefined || key === '' ? undefined : table.find(key);
  const isConfirmed = freshness?.isConfirmed(moment) ?? true;
  if (organisation !== undefined && isConfirmed) {
    return organisation;
  }
  if (isPublic) {
    return 'open';
  }
  if (key === undefined || key === '') {
    return 'unauthenticated';
  }
  if (organisation !== undefined) {
    return 'configurationNotConfirmed';
  }
  // A daemon that is behind does not know yet which keys were added.
  const isFinal = freshness?.isUnknownKeyFinal(moment) ?? true;
  return isFinal ? 'unauthenticated' : 'configurationNotConfirmed';
}
