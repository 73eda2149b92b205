/** Compares direct calls, a pair of pass-through proxies and jackdawcove in one run. */

import type {ReportProgress} from '../scenario/runScenario.js';
import type {Address} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {Fleet} from '../scenario/Fleet.js';
import {readScenario} from '../scenario/loadScenario.js';
import {OVERHEAD_SCENARIO_TEXT} from './OverheadScenario.js';
import {PacedCalls} from './PacedCalls.js';
import {PassthroughChild} from './PassthroughChild.js';
import {readProcessTime} from './readProcessTime.js';

const LOOPBACK = '127.0.0.1';
const BACKEND_SERVER_CONNECTIONS = 64;
const CALLER_CONNECTIONS = 32;
const BODY_BYTES = 2_048;
const SETTLE_MILLISECONDS = 3_000;
const WARM_UP_MILLISECONDS = 4_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** How the comparison is run. */
export type OverheadOptions = {
  readonly ratePerSecond: number;
  readonly roundMilliseconds: number;
  readonly rounds: number;
};

/** Figures of one way of calling. */
export type OverheadFigures = {
  readonly calls: number;
  readonly failed: number;
  readonly microsecondsPerCall: number;
  readonly name: string;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
};

type Way = {
  readonly calls: PacedCalls;
  readonly name: string;
  processMilliseconds: number;
  readonly processes: readonly (number | undefined)[];
};

function createCalls(
  address: Address,
  path: string,
  ratePerSecond: number,
): PacedCalls {
  return new PacedCalls({
    address,
    bodyBytes: BODY_BYTES,
    connections: CALLER_CONNECTIONS,
    path,
    ratePerSecond,
  });
}

function sumProcessTime(way: Way): number {
  return way.processes.reduce<number>(
    (sum, identifier) => sum + readProcessTime(identifier),
    0,
  );
}

async function runRound(way: Way, milliseconds: number): Promise<void> {
  const before = sumProcessTime(way);
  await way.calls.run(milliseconds);
  way.processMilliseconds += sumProcessTime(way) - before;
}

function createFigures({
  calls,
  name,
  processMilliseconds,
}: Way): OverheadFigures {
  return {
    calls: calls.getSent(),
    failed: calls.getFailed(),
    microsecondsPerCall:
      (processMilliseconds * MICROSECONDS_PER_MILLISECOND) / calls.getSent(),
    name,
    p50Milliseconds: calls.getLatency(50),
    p99Milliseconds: calls.getLatency(99),
  };
}

async function startWays(
  fleet: Fleet,
  passthrough: readonly [PassthroughChild, PassthroughChild],
  {ratePerSecond}: OverheadOptions,
): Promise<readonly Way[]> {
  const [front, back] = fleet.getMembers();
  if (front === undefined || back === undefined) {
    throw new Error('The fleet is not complete.');
  }
  const [callerProxy, serverProxy] = passthrough;
  const standIn = fleet.getStandInAddress(back.standIn.instance);
  const listen = {host: LOOPBACK, port: 0};
  const serverProxyAddress = await serverProxy.start({
    backendServer: standIn,
    connections: BACKEND_SERVER_CONNECTIONS,
    kind: 'serverSide',
    listen,
  });
  const callerProxyAddress = await callerProxy.start({
    kind: 'callerSide',
    listen,
    serverProxy: serverProxyAddress,
  });
  const createWay = (
    name: string,
    address: Address,
    path: string,
    processes: Way['processes'],
  ): Way => ({
    calls: createCalls(address, path, ratePerSecond),
    name,
    processes,
    processMilliseconds: 0,
  });
  return [
    createWay('direct', standIn, '/x', []),
    createWay('floor', callerProxyAddress, '/x', [
      callerProxy.getProcessIdentifier(),
      serverProxy.getProcessIdentifier(),
    ]),
    createWay('jackdawcove', front.plan.addresses.caller, '/back/x', [
      front.daemon.getProcessIdentifier(),
      back.daemon.getProcessIdentifier(),
    ]),
  ];
}

/**
 * Measures the three ways in interleaved rounds.
 *
 * @example
 * await measureOverhead({ratePerSecond: 400, roundMilliseconds: 3_000, rounds: 5}, report);
 */
export async function measureOverhead(
  options: OverheadOptions,
  reportProgress: ReportProgress,
): Promise<readonly OverheadFigures[]> {
  const scenario = readScenario(OVERHEAD_SCENARIO_TEXT, {
    baseline: 'none',
    seed: undefined,
  });
  const fleet = new Fleet(scenario);
  const passthrough = [new PassthroughChild(), new PassthroughChild()] as const;
  try {
    await fleet.start();
    await delay(SETTLE_MILLISECONDS);
    const ways = await startWays(fleet, passthrough, options);
    return await measureWays(ways, options, reportProgress);
  } finally {
    passthrough.forEach((child) => {
      child.stop();
    });
    await fleet.stop();
  }
}

async function measureWays(
  ways: readonly Way[],
  {roundMilliseconds, rounds}: OverheadOptions,
  reportProgress: ReportProgress,
): Promise<readonly OverheadFigures[]> {
  for (const way of ways) {
    reportProgress(`warming up: ${way.name}`);
    await way.calls.run(WARM_UP_MILLISECONDS);
    way.calls.reset();
  }
  for (let round = 1; round <= rounds; round += 1) {
    reportProgress(`round ${String(round)} of ${String(rounds)}`);
    for (const way of ways) {
      await runRound(way, roundMilliseconds);
    }
  }
  await Promise.all(ways.map(async ({calls}) => calls.stop()));
  return ways.map(createFigures);
}
