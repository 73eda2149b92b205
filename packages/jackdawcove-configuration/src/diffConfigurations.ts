/** Differences between two fleet configurations, for operators. */

import type {
  ConfigurationException,
  FleetConfiguration,
} from './FleetConfiguration.js';
import type {PolicyValues} from './PolicyValues.js';

import {
  DEFAULTS_SECTION,
  EXCEPTION_PREFIX,
  REASON_KEY,
} from './ConfigurationConstants.js';
import {POLICY_KEYS, toDocumentKey} from './PolicyValues.js';
import {MATCHER_KEYS} from './RequestMatcher.js';

/** Difference of one key. A side that does not set the key is omitted. */
export type ConfigurationDifference = {
  readonly after?: string;
  readonly before?: string;
  readonly key: string;
  readonly section: string;
};

type SectionEntries = ReadonlyMap<string, string>;

function getValueEntries(values: Partial<PolicyValues>): [string, string][] {
  const keys = POLICY_KEYS.filter((key) => values[key] !== undefined);
  return keys.map((key) => [toDocumentKey(key), String(values[key])]);
}

function getExceptionEntries(
  exception: ConfigurationException,
): SectionEntries {
  const {matcher, overrides, reason} = exception;
  const matchers = MATCHER_KEYS.filter((key) => matcher[key] !== undefined);
  return new Map([
    [REASON_KEY, reason],
    ...matchers.map((key): [string, string] => [key, matcher[key] ?? '']),
    ...getValueEntries(overrides),
  ]);
}

function getSections(
  configuration: FleetConfiguration,
): ReadonlyMap<string, SectionEntries> {
  return new Map([
    [DEFAULTS_SECTION, new Map(getValueEntries(configuration.defaults))],
    ...configuration.exceptions.map((exception): [string, SectionEntries] => [
      `${EXCEPTION_PREFIX}${exception.name}`,
      getExceptionEntries(exception),
    ]),
  ]);
}

function diffSection(
  section: string,
  before: SectionEntries,
  after: SectionEntries,
): ConfigurationDifference[] {
  const keys = new Set([...before.keys(), ...after.keys()]);
  const differing = [...keys].filter(
    (key) => before.get(key) !== after.get(key),
  );
  return differing.map((key) => {
    const beforeText = before.get(key);
    const afterText = after.get(key);
    return {
      key,
      section,
      ...(afterText === undefined ? {} : {after: afterText}),
      ...(beforeText === undefined ? {} : {before: beforeText}),
    };
  });
}

/**
 * Returns the differing keys: first the defaults, then the exceptions by name.
 *
 * @example
 * diffConfigurations(before, after).map(formatDifference);
 */
export function diffConfigurations(
  before: FleetConfiguration,
  after: FleetConfiguration,
): ConfigurationDifference[] {
  const beforeSections = getSections(before);
  const afterSections = getSections(after);
  const names = [...beforeSections.keys(), ...afterSections.keys()];
  const exceptionNames = names.filter((name) => name !== DEFAULTS_SECTION);
  const sectionNames = new Set([DEFAULTS_SECTION, ...exceptionNames.sort()]);
  const emptySection: SectionEntries = new Map();
  return [...sectionNames].flatMap((name) =>
    diffSection(
      name,
      beforeSections.get(name) ?? emptySection,
      afterSections.get(name) ?? emptySection,
    ),
  );
}

/**
 * Formats a difference as one line.
 *
 * @example
 * formatDifference({after: '3', before: '2', key: 'retry_tokens', section: 'defaults'});
 * // '[defaults] retry_tokens: 2 -> 3'
 */
export function formatDifference(difference: ConfigurationDifference): string {
  const {after, before, key, section} = difference;
  return `[${section}] ${key}: ${before ?? '(unset)'} -> ${after ?? '(unset)'}`;
}
