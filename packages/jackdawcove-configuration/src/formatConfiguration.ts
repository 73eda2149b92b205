/** Formats a fleet configuration as a document. */

import type {FleetConfiguration} from './FleetConfiguration.js';
import type {PolicyValues} from './PolicyValues.js';

import {safe} from 'ini';

import {
  DEFAULTS_SECTION,
  EXCEPTION_PREFIX,
  REASON_KEY,
} from './ConfigurationConstants.js';
import {
  APPLIED_POLICY_KEYS,
  DEFAULT_POLICY_VALUES,
  toDocumentKey,
} from './PolicyValues.js';
import {MATCHER_KEYS} from './RequestMatcher.js';

function formatValues(values: Partial<PolicyValues>): string[] {
  const keys = APPLIED_POLICY_KEYS.filter((key) => values[key] !== undefined);
  return keys.map((key) => `${toDocumentKey(key)} = ${String(values[key])}`);
}

/**
 * Formats a configuration as a document. Parsing the document returns the same
 * configuration.
 *
 * @example
 * formatConfiguration(configuration).startsWith('[defaults]'); // true
 */
export function formatConfiguration(configuration: FleetConfiguration): string {
  const sections = configuration.exceptions.map((exception) => {
    const {matcher, name, overrides, reason} = exception;
    const matchers = MATCHER_KEYS.filter((key) => matcher[key] !== undefined);
    return [
      `[${EXCEPTION_PREFIX}${name}]`,
      `${REASON_KEY} = ${safe(reason)}`,
      ...matchers.map((key) => `${key} = ${safe(matcher[key] ?? '')}`),
      ...formatValues(overrides),
    ];
  });
  const defaults = [
    `[${DEFAULTS_SECTION}]`,
    ...formatValues(configuration.defaults),
  ];
  const texts = [defaults, ...sections].map((lines) => lines.join('\n'));
  return `${texts.join('\n\n')}\n`;
}

/** Document of a fleet without a configuration. */
export const DEFAULT_CONFIGURATION_TEXT = formatConfiguration({
  defaults: DEFAULT_POLICY_VALUES,
  exceptions: [],
});
