/** Fleet configuration: defaults, and exceptions that each state a reason. */

import type {PolicyKey, PolicyValues} from './PolicyValues.js';
import type {RequestMatcher} from './RequestMatcher.js';

import {computeSpecificity} from './RequestMatcher.js';

/** Exception that overrides defaults for matching requests. */
export type ConfigurationException = {
  readonly matcher: RequestMatcher;
  readonly name: string;
  readonly overrides: Partial<PolicyValues>;
  readonly reason: string;
};

/** Validated fleet configuration. Exceptions are sorted by name. */
export type FleetConfiguration = {
  readonly defaults: PolicyValues;
  readonly exceptions: readonly ConfigurationException[];
};

function hasOverride(
  exception: ConfigurationException,
  key: PolicyKey,
): boolean {
  return exception.overrides[key] !== undefined;
}

/**
 * Sorts exceptions so that each follows all exceptions that contain it.
 *
 * @example
 * sortByContainment(configuration.exceptions);
 */
export function sortByContainment(
  exceptions: readonly ConfigurationException[],
): ConfigurationException[] {
  return exceptions.toSorted(
    (left, right) =>
      computeSpecificity(left.matcher) - computeSpecificity(right.matcher),
  );
}

/**
 * Returns the effective values of the defaults and the given exceptions, which
 * must be sorted by `sortByContainment`.
 *
 * @example
 * mergePolicyValues(configuration.defaults, []); // the defaults
 */
export function mergePolicyValues(
  defaults: PolicyValues,
  exceptions: readonly ConfigurationException[],
): PolicyValues {
  return Object.assign(
    {},
    defaults,
    ...exceptions.map(({overrides}) => overrides),
  ) as PolicyValues;
}

/**
 * Returns the keys that both exceptions override.
 *
 * @example
 * findSharedKeys(left, right, POLICY_KEYS); // ['importance']
 */
export function findSharedKeys(
  left: ConfigurationException,
  right: ConfigurationException,
  keys: readonly PolicyKey[],
): PolicyKey[] {
  return keys.filter(
    (key) => hasOverride(left, key) && hasOverride(right, key),
  );
}
