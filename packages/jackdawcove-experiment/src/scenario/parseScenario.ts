/** Parses scenario files. */

import type {Scenario} from './ScenarioSettings.js';

import {parse} from 'ini';
import {Result} from 'true-myth';

import {scenarioSchema} from './ScenarioSettings.js';

type Section = Record<string, unknown>;

const WORD_BREAK = /_([a-z])/g;

function toCamelCase(key: string): string {
  return key.replaceAll(WORD_BREAK, (_whole, letter: string) =>
    letter.toUpperCase(),
  );
}

function readSection(value: unknown): Section {
  const entries = Object.entries((value ?? {}) as Section);
  return Object.fromEntries(
    entries.map(([key, item]) => [toCamelCase(key), item]),
  );
}

function readSections(value: unknown): Record<string, Section> {
  const entries = Object.entries((value ?? {}) as Section);
  return Object.fromEntries(
    entries.map(([name, section]) => [name, readSection(section)]),
  );
}

/**
 * Parses the text of a scenario; the error has one line for each validation error.
 *
 * @example
 * parseScenario(readFileSync('morningRush.ini', 'utf8'));
 */
export function parseScenario(
  text: string,
): Result<Scenario, readonly string[]> {
  const document = parse(text);
  const parsed = scenarioSchema.safeParse({
    faults: Object.values(readSections(document['fault'])),
    fleet: readSection(document['fleet']),
    loads: readSections(document['load']),
    scenario: readSection(document['scenario']),
    services: readSections(document['service']),
    steps: Object.values(readSections(document['step'])),
  });
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  return Result.err(
    parsed.error.issues.map(
      ({message, path}) => `${path.map(String).join('.')}: ${message}`,
    ),
  );
}
