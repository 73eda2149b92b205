/**
 * Measures how long the success rate of end-to-end requests takes to recover
 * after a load surge or a slowdown of the last service, while callers resend.
 *
 * node packages/jackdawcove-call/dist/measurement/measureRecovery.js [depths] [modes]
 */

import type {EndToEndRequest} from './Callers.js';
import type {Mode} from './Modes.js';

import {createSeededRandom} from 'jackdawcove-shared';

import {Callers} from './Callers.js';
import {FakeChain} from './FakeChain.js';
import {MODES} from './Modes.js';

type OverloadCause = 'slow deep service' | 'surge';

const BIN_MILLISECONDS = 100;
const CAPACITY_PER_SECOND = 400;
const DEFAULT_MODES = 'ours;fixed limit;caller throttling;no control';
const MIX = {background: 0.25, high: 0.2, normal: 0.5, urgent: 0.05};
const NORMAL_LOAD = 0.7;
const NORMAL_END_MILLISECONDS = 4_200;
const NORMAL_START_MILLISECONDS = 3_000;
const OWN_MILLISECONDS = 50;
const OVERLOAD_END_MILLISECONDS = 8_000;
const OVERLOAD_START_MILLISECONDS = 5_000;
const RECOVERED_SHARE = 0.95;
const RESENDS = 3;
const RUN_END_MILLISECONDS = 12_000;
const SEEDS = [11, 12, 13, 14, 15];
const SLOWNESS = 8;
const SURGE_LOAD = 10;
const TIMEOUT_MILLISECONDS = 2_000;

function run(
  mode: Mode,
  depth: number,
  cause: OverloadCause,
  seed: number,
): readonly EndToEndRequest[] {
  const chain = new FakeChain({
    capacityPerSecond: CAPACITY_PER_SECOND,
    depth,
    instancesPerService: 2,
    mode,
    ownMilliseconds: OWN_MILLISECONDS,
    seed,
    spareFactor: 1,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  const callers = new Callers({
    chain,
    mix: MIX,
    randomNumber: createSeededRandom(seed),
    resends: RESENDS,
  });
  callers.setRate(CAPACITY_PER_SECOND * NORMAL_LOAD);
  chain.loop.runUntil(OVERLOAD_START_MILLISECONDS);
  if (cause === 'surge') {
    callers.setRate(CAPACITY_PER_SECOND * SURGE_LOAD);
  } else {
    chain.setSlowness(depth - 1, SLOWNESS);
  }
  chain.loop.runUntil(OVERLOAD_END_MILLISECONDS);
  callers.setRate(CAPACITY_PER_SECOND * NORMAL_LOAD);
  chain.setSlowness(depth - 1, 1);
  chain.loop.runUntil(
    RUN_END_MILLISECONDS + TIMEOUT_MILLISECONDS * (RESENDS + 1),
  );
  return callers.getRequests();
}

function getShare(requests: readonly EndToEndRequest[]): number {
  const done = requests.filter(({finishedAt}) => finishedAt !== undefined);
  return done.length / Math.max(1, requests.length);
}

function listStarted(
  requests: readonly EndToEndRequest[],
  from: number,
  to: number,
): readonly EndToEndRequest[] {
  return requests.filter(({startedAt}) => startedAt >= from && startedAt < to);
}

function measure(mode: Mode, depth: number, cause: OverloadCause): string {
  const requests = SEEDS.flatMap((seed) => run(mode, depth, cause, seed));
  const normal = getShare(
    listStarted(requests, NORMAL_START_MILLISECONDS, NORMAL_END_MILLISECONDS),
  );
  const during = getShare(
    listStarted(
      requests,
      OVERLOAD_START_MILLISECONDS,
      OVERLOAD_END_MILLISECONDS,
    ),
  );
  let recoveredAt = OVERLOAD_END_MILLISECONDS;
  for (
    let from = OVERLOAD_END_MILLISECONDS;
    from < RUN_END_MILLISECONDS;
    from += BIN_MILLISECONDS
  ) {
    const share = getShare(
      listStarted(requests, from, from + BIN_MILLISECONDS),
    );
    if (share < normal * RECOVERED_SHARE) {
      recoveredAt = from + BIN_MILLISECONDS;
    }
  }
  const recovery = recoveredAt - OVERLOAD_END_MILLISECONDS;
  const isUnrecovered = recoveredAt >= RUN_END_MILLISECONDS;
  return [
    mode.name.padEnd(18),
    `depth ${String(depth).padStart(2)}`,
    cause.padEnd(17),
    `normal ${(normal * 100).toFixed(1).padStart(5)}%`,
    `during ${(during * 100).toFixed(1).padStart(5)}%`,
    `recovery ${isUnrecovered ? 'none within ' : ''}${String(recovery)} ms`,
  ].join('  ');
}

function main(): void {
  const depths = (process.argv[2] ?? '1,4,8').split(',').map(Number);
  const names = (process.argv[3] ?? DEFAULT_MODES).split(';');
  const causes = ['surge', 'slow deep service'] as const;
  for (const mode of MODES.filter(({name}) => names.includes(name))) {
    for (const depth of depths) {
      for (const cause of causes) {
        process.stdout.write(`${measure(mode, depth, cause)}\n`);
      }
    }
  }
}

main();
