/** Digest of the effective values of a configuration. */

import type {FleetConfiguration} from './FleetConfiguration.js';
import type {PolicyValues} from './PolicyValues.js';

import {digestHex} from 'jackdawcove-shared';

import {mergePolicyValues, sortByContainment} from './FleetConfiguration.js';
import {POLICY_KEYS} from './PolicyValues.js';
import {containsMatcher, formatMatcher} from './RequestMatcher.js';

function formatEffectiveOverrides(
  inherited: PolicyValues,
  overrides: Partial<PolicyValues>,
): string[] {
  const keys = POLICY_KEYS.filter(
    (key) => overrides[key] !== undefined && overrides[key] !== inherited[key],
  );
  return keys.map((key) => `${key}=${String(overrides[key])}`);
}

/**
 * Returns a digest of the effective values. Order, comments, names, reasons and
 * values equal to the inherited ones do not change it.
 *
 * @example
 * digestConfiguration(configuration).length; // 64
 */
export function digestConfiguration(configuration: FleetConfiguration): string {
  const {defaults, exceptions} = configuration;
  const lines = exceptions.flatMap((exception) => {
    const containing = exceptions.filter(
      (other) =>
        other !== exception &&
        containsMatcher(other.matcher, exception.matcher),
    );
    const inherited = mergePolicyValues(
      defaults,
      sortByContainment(containing),
    );
    const effectiveOverrides = formatEffectiveOverrides(
      inherited,
      exception.overrides,
    );
    const matcher = formatMatcher(exception.matcher);
    return effectiveOverrides.length === 0
      ? []
      : [[matcher, ...effectiveOverrides]];
  });
  const defaultLine = POLICY_KEYS.map((key) => String(defaults[key]));
  return digestHex(
    JSON.stringify([
      defaultLine,
      ...lines.map((line) => line.join('\n')).sort(),
    ]),
  );
}
