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

/** One key that differs; a side that does not set it is left out. */
export type ConfigurationDifference = {
  readonly after?: string;
  readonly before?: string;
  readonly key: string;
  readonly section: string;
};

type SectionTexts = ReadonlyMap<string, string>;

function listValues(values: Partial<PolicyValues>): [string, string][] {
  const keys = POLICY_KEYS.filter((key) => values[key] !== undefined);
  return keys.map((key) => [toDocumentKey(key), String(values[key])]);
}

function listException(exception: ConfigurationException): SectionTexts {
  const {matcher, overrides, reason} = exception;
  const matchers = MATCHER_KEYS.filter((key) => matcher[key] !== undefined);
  return new Map([
    [REASON_KEY, reason],
    ...matchers.map((key): [string, string] => [key, matcher[key] ?? '']),
    ...listValues(overrides),
  ]);
}

function listSections(
  configuration: FleetConfiguration,
): ReadonlyMap<string, SectionTexts> {
  return new Map([
    [DEFAULTS_SECTION, new Map(listValues(configuration.defaults))],
    ...configuration.exceptions.map((exception): [string, SectionTexts] => [
      `${EXCEPTION_PREFIX}${exception.name}`,
      listException(exception),
    ]),
  ]);
}

function diffSection(
  section: string,
  before: SectionTexts,
  after: SectionTexts,
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
 * Returns the keys that differ, defaults first, then exceptions by name.
 *
 * @example
 * diffConfigurations(before, after).map(formatDifference);
 */
export function diffConfigurations(
  before: FleetConfiguration,
  after: FleetConfiguration,
): ConfigurationDifference[] {
  const beforeSections = listSections(before);
  const afterSections = listSections(after);
  const names = [...beforeSections.keys(), ...afterSections.keys()];
  const exceptionNames = names.filter((name) => name !== DEFAULTS_SECTION);
  const ordered = new Set([DEFAULTS_SECTION, ...exceptionNames.sort()]);
  const none: SectionTexts = new Map();
  return [...ordered].flatMap((name) =>
    diffSection(
      name,
      beforeSections.get(name) ?? none,
      afterSections.get(name) ?? none,
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
