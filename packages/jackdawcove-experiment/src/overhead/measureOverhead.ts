/** Compares direct calls, a pair of pass-through proxies and jackdawcove in one run. */

import type {ReportProgress} from '../scenario/runScenario.js';
import type {Address} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {Fleet} from '../scenario/Fleet.js';
import {parseScenarioOrThrow} from '../scenario/ScenarioFiles.js';
import {ConstantRateCaller} from './ConstantRateCaller.js';
import {OVERHEAD_SCENARIO_TEXT} from './OverheadScenario.js';
import {PassthroughChild} from './PassthroughChild.js';
import {readCpuMilliseconds} from './ProcessUsage.js';

const LOOPBACK = '127.0.0.1';
const BACKEND_SERVER_CONNECTIONS = 64;
const CALLER_CONNECTIONS = 32;
const BODY_BYTES = 2_048;
const SETTLE_MILLISECONDS = 3_000;
const WARM_UP_MILLISECONDS = 4_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Options of the comparison. */
export type OverheadOptions = {
  readonly ratePerSecond: number;
  readonly roundMilliseconds: number;
  readonly rounds: number;
};

/** Figures of one call path. */
export type OverheadFigures = {
  readonly calls: number;
  readonly failed: number;
  readonly microsecondsPerCall: number;
  readonly name: string;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
};

type CallPath = {
  readonly caller: ConstantRateCaller;
  cpuMilliseconds: number;
  readonly name: string;
  readonly processIdentifiers: readonly (number | undefined)[];
};

function createCaller(
  address: Address,
  path: string,
  ratePerSecond: number,
): ConstantRateCaller {
  return new ConstantRateCaller({
    address,
    bodyBytes: BODY_BYTES,
    connections: CALLER_CONNECTIONS,
    path,
    ratePerSecond,
  });
}

function sumCpuMilliseconds(callPath: CallPath): number {
  return callPath.processIdentifiers.reduce<number>(
    (sum, identifier) => sum + readCpuMilliseconds(identifier),
    0,
  );
}

async function runRound(
  callPath: CallPath,
  milliseconds: number,
): Promise<void> {
  const before = sumCpuMilliseconds(callPath);
  await callPath.caller.run(milliseconds);
  callPath.cpuMilliseconds += sumCpuMilliseconds(callPath) - before;
}

function createFigures({
  caller,
  cpuMilliseconds,
  name,
}: CallPath): OverheadFigures {
  return {
    calls: caller.getSentCount(),
    failed: caller.getFailedCount(),
    microsecondsPerCall:
      (cpuMilliseconds * MICROSECONDS_PER_MILLISECOND) / caller.getSentCount(),
    name,
    p50Milliseconds: caller.getLatency(50),
    p99Milliseconds: caller.getLatency(99),
  };
}

async function createCallPaths(
  fleet: Fleet,
  passthrough: readonly [PassthroughChild, PassthroughChild],
  {ratePerSecond}: OverheadOptions,
): Promise<readonly CallPath[]> {
  const [callerMember, serverMember] = fleet.getMembers();
  if (callerMember === undefined || serverMember === undefined) {
    throw new Error('The fleet has fewer than two members.');
  }
  const [callerProxy, serverProxy] = passthrough;
  const standInAddress = fleet.getStandInAddress(serverMember.standIn.instance);
  const listen = {host: LOOPBACK, port: 0};
  const serverProxyAddress = await serverProxy.start({
    backendServer: standInAddress,
    connections: BACKEND_SERVER_CONNECTIONS,
    kind: 'serverSide',
    listen,
  });
  const callerProxyAddress = await callerProxy.start({
    kind: 'callerSide',
    listen,
    serverProxy: serverProxyAddress,
  });
  const createCallPath = (
    name: string,
    address: Address,
    path: string,
    processIdentifiers: CallPath['processIdentifiers'],
  ): CallPath => ({
    caller: createCaller(address, path, ratePerSecond),
    cpuMilliseconds: 0,
    name,
    processIdentifiers,
  });
  return [
    createCallPath('direct', standInAddress, '/x', []),
    createCallPath('floor', callerProxyAddress, '/x', [
      callerProxy.getProcessIdentifier(),
      serverProxy.getProcessIdentifier(),
    ]),
    createCallPath(
      'jackdawcove',
      callerMember.plan.addresses.caller,
      '/back/x',
      [
        callerMember.daemon.getProcessIdentifier(),
        serverMember.daemon.getProcessIdentifier(),
      ],
    ),
  ];
}

/**
 * Measures the three call paths in interleaved rounds.
 *
 * @example
 * await measureOverhead({ratePerSecond: 400, roundMilliseconds: 3_000, rounds: 5}, reportProgress);
 */
export async function measureOverhead(
  options: OverheadOptions,
  reportProgress: ReportProgress,
): Promise<readonly OverheadFigures[]> {
  const scenario = parseScenarioOrThrow(OVERHEAD_SCENARIO_TEXT, {
    baseline: 'none',
    seed: undefined,
  });
  const fleet = new Fleet(scenario);
  const passthrough = [new PassthroughChild(), new PassthroughChild()] as const;
  try {
    await fleet.start();
    await delay(SETTLE_MILLISECONDS);
    const callPaths = await createCallPaths(fleet, passthrough, options);
    return await measureCallPaths(callPaths, options, reportProgress);
  } finally {
    passthrough.forEach((child) => {
      child.stop();
    });
    await fleet.stop();
  }
}

async function measureCallPaths(
  callPaths: readonly CallPath[],
  {roundMilliseconds, rounds}: OverheadOptions,
  reportProgress: ReportProgress,
): Promise<readonly OverheadFigures[]> {
  for (const callPath of callPaths) {
    reportProgress(`warming up: ${callPath.name}`);
    await callPath.caller.run(WARM_UP_MILLISECONDS);
    callPath.caller.reset();
  }
  for (let round = 1; round <= rounds; round += 1) {
    reportProgress(`round ${String(round)} of ${String(rounds)}`);
    for (const callPath of callPaths) {
      await runRound(callPath, roundMilliseconds);
    }
  }
  await Promise.all(callPaths.map(async ({caller}) => caller.stop()));
  return callPaths.map(createFigures);
}
