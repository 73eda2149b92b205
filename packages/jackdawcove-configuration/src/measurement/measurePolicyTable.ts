/**
 * Measures the time to parse, compile and look up policies.
 *
 * Run: node packages/jackdawcove-configuration/dist/measurement/measurePolicyTable.js
 */

import type {PolicyQuery} from '../PolicyTable.js';

import {parseFleetConfiguration} from '../parseFleetConfiguration.js';
import {compilePolicies} from '../PolicyTable.js';

const LOOKUPS = 1_000_000;
const RUNS = 7;
const QUERY_COUNT = 4_096;
const QUERY_MASK = QUERY_COUNT - 1;
const MICROSECONDS_PER_MILLISECOND = 1_000;

type Case = {readonly exceptions: number; readonly services: number};

const CASES: readonly Case[] = [
  {exceptions: 200, services: 43},
  {exceptions: 200, services: 1},
  {exceptions: 300, services: 1},
];

function createText({exceptions, services}: Case): string {
  const sections = Array.from({length: exceptions}, (_, index) =>
    [
      `[exception.e${String(index)}]`,
      'reason = measured',
      `service = s${String(index % services)}`,
      `path = /p${String(index)}/${'x'.repeat(index % 17)}*`,
      'importance = high',
    ].join('\n'),
  );
  return sections.join('\n');
}

function createQueries({exceptions, services}: Case): PolicyQuery[] {
  return Array.from({length: QUERY_COUNT}, (_, index) => ({
    method: index % 3 === 0 ? 'POST' : 'GET',
    path: `/p${String(index % exceptions)}/${'x'.repeat(20)}?a=${String(index)}`,
    service: `s${String(index % services)}`,
  }));
}

function measure(run: () => void): number {
  const startedAt = performance.now();
  run();
  return performance.now() - startedAt;
}

function measureCase(measured: Case): string {
  const text = createText(measured);
  const parsed = parseFleetConfiguration(text).unwrapOrElse(() => {
    throw new Error('Expected a valid document');
  });
  const parseMilliseconds = measure(() => parseFleetConfiguration(text));
  const compileMilliseconds = measure(() => compilePolicies(parsed));
  const table = compilePolicies(parsed);
  const queries = createQueries(measured);
  const lookUpAll = () => {
    for (let count = 0; count < LOOKUPS; count += 1) {
      const query = queries[count & QUERY_MASK];
      if (query !== undefined) {
        table.getPolicy(query);
      }
    }
  };
  const lookups = Array.from({length: RUNS}, () => measure(lookUpAll))
    .map((total) => (total * MICROSECONDS_PER_MILLISECOND) / LOOKUPS)
    .sort((left, right) => left - right);
  return JSON.stringify({
    ...measured,
    compileMilliseconds,
    lookupMicroseconds: {
      greatest: lookups.at(-1),
      least: lookups[0],
      median: lookups[(RUNS - 1) / 2],
    },
    parseMilliseconds,
  });
}

for (const measured of CASES) {
  process.stdout.write(`${measureCase(measured)}\n`);
}
