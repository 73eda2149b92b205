/**
 * Measures the end-to-end goodput of a chain at multiples of its capacity, with
 * three immediate resends, for full control and the baselines.
 *
 * node packages/jackdawcove-call/dist/measurement/measureGoodput.js [depths] [multiples] [modes] [spare factor]
 */

import type {EndToEndRequest} from './Callers.js';
import type {Mode} from './Modes.js';

import {createSeededRandom} from 'jackdawcove-shared';

import {Callers} from './Callers.js';
import {FakeChain} from './FakeChain.js';
import {MODES} from './Modes.js';

const DEFAULT_MODES = 'ours;fixed limit;caller throttling;no control';
const CAPACITY_PER_SECOND = 400;
const MIX = {background: 0.25, high: 0.2, normal: 0.5, urgent: 0.05};
const OWN_MILLISECONDS = 50;
const RESENDS = 3;
const SEED = 11;
const TIMEOUT_MILLISECONDS = 2_000;
const WARM_UP_MILLISECONDS = 3_000;
const MEASURED_MILLISECONDS = 4_000;

type Row = {
  readonly depth: number;
  readonly mode: Mode;
  readonly multiple: number;
  readonly spareFactor: number;
};

function readList(index: number, fallback: string): readonly string[] {
  return (process.argv[index] ?? fallback).split(',');
}

function measure(row: Row): string {
  const chain = new FakeChain({
    capacityPerSecond: CAPACITY_PER_SECOND,
    depth: row.depth,
    instancesPerService: 2,
    mode: row.mode,
    ownMilliseconds: OWN_MILLISECONDS,
    seed: SEED,
    spareFactor: row.spareFactor,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  const callers = new Callers({
    chain,
    mix: MIX,
    randomNumber: createSeededRandom(SEED),
    resends: RESENDS,
  });
  callers.setRate(CAPACITY_PER_SECOND * row.multiple);
  chain.loop.runUntil(WARM_UP_MILLISECONDS);
  const workBefore = chain.getWorkMilliseconds();
  const end = WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS;
  chain.loop.runUntil(end);
  const work = chain.getWorkMilliseconds() - workBefore;
  // Requests that started in the window may still succeed after it.
  chain.loop.runUntil(end + TIMEOUT_MILLISECONDS);
  return format(row, callers.getRequests(), work);
}

function isInWindow(time: number): boolean {
  const end = WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS;
  return time >= WARM_UP_MILLISECONDS && time < end;
}

function format(
  row: Row,
  requests: readonly EndToEndRequest[],
  work: number,
): string {
  const finished = requests.filter(
    ({finishedAt}) => finishedAt !== undefined && isInWindow(finishedAt),
  ).length;
  const urgent = requests.filter(
    ({importance, startedAt}) =>
      importance === 'urgent' && isInWindow(startedAt),
  );
  const succeeded = urgent.filter(({finishedAt}) => finishedAt !== undefined);
  const perSecond = finished / (MEASURED_MILLISECONDS / 1_000);
  const urgentShare = succeeded.length / Math.max(1, urgent.length);
  const workPerSuccess = work / Math.max(1, finished);
  return [
    row.mode.name.padEnd(18),
    `depth ${String(row.depth).padStart(2)}`,
    `load ${String(row.multiple).padStart(4)}x`,
    `goodput ${perSecond.toFixed(1).padStart(6)}/s`,
    `urgent ${(urgentShare * 100).toFixed(1).padStart(5)}%`,
    `work per success ${workPerSuccess.toFixed(0).padStart(5)} ms`,
  ].join('  ');
}

function main(): void {
  const depths = readList(2, '1,4,8,16').map(Number);
  const multiples = readList(3, '1,2,4,10').map(Number);
  const names = (process.argv[4] ?? DEFAULT_MODES).split(';');
  const spareFactor = Number(process.argv[5] ?? '1');
  for (const mode of MODES.filter(({name}) => names.includes(name))) {
    for (const depth of depths) {
      for (const multiple of multiples) {
        const row = {depth, mode, multiple, spareFactor};
        process.stdout.write(`${measure(row)}\n`);
      }
    }
  }
}

main();
