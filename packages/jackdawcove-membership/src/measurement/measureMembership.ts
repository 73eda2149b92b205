/**
 * Measures the membership of simulated daemons in one process on virtual time:
 * propagation time of changes, bytes sent, CPU time and memory, each by number of
 * daemons.
 *
 * Run: `node --expose-gc packages/jackdawcove-membership/dist/measurement/measureMembership.js [COUNT…]`
 */

import {writeSync} from 'node:fs';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {FakeFleet} from '../__tests__/FakeFleet.js';

const DEFAULT_COUNTS = [50, 100, 200, 400, 650];
const ZONE_COUNT = 8;
const SEED = 11;
const LIMIT_MS = 120_000;
const WARM_UP_MS = 20_000;
const STEADY_MS = 30_000;
const UDP_HEADER_BYTES = 28;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const STANDARD_OUTPUT = 1;

type Measurement = {
  readonly bytesPerSecond: number;
  readonly coreShare: number;
  readonly count: number;
  readonly crashMs: number;
  readonly drainMs: number;
  readonly joinMs: number;
  readonly kilobytesPerDaemon: number;
  readonly zoneLossBytesPerSecond: number;
  readonly zoneLossMs: number;
};

function getHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function getSentBytes(fleet: FakeFleet): number {
  return (
    fleet.datagramBytes +
    fleet.datagrams * UDP_HEADER_BYTES +
    fleet.messageBytes
  );
}

function measureSpread(
  fleet: FakeFleet,
  name: string,
  isKnown: (record: {isDraining: boolean; state: string}) => boolean,
): number {
  return fleet.run(LIMIT_MS, () =>
    fleet.isMetEverywhere(({membership}) => {
      const record = membership.getView().getDaemon(name);
      return record !== undefined && isKnown(record);
    }),
  );
}

function measureSteady(fleet: FakeFleet): [number, number] {
  const bytes = getSentBytes(fleet);
  const cpuUsageAtStart = process.cpuUsage();
  fleet.run(STEADY_MS);
  const {system, user} = process.cpuUsage(cpuUsageAtStart);
  const daemonSeconds =
    (fleet.nodes.length * STEADY_MS) / MILLISECONDS_PER_SECOND;
  const cpuSeconds =
    (system + user) / MICROSECONDS_PER_MILLISECOND / MILLISECONDS_PER_SECOND;
  return [
    (getSentBytes(fleet) - bytes) / daemonSeconds,
    cpuSeconds / daemonSeconds,
  ];
}

function measureZoneLoss(fleet: FakeFleet): [number, number] {
  const bytes = getSentBytes(fleet);
  const startedAt = fleet.now;
  fleet.isolateZone('zone-1');
  const spreadMs = fleet.run(LIMIT_MS, () =>
    fleet.isMetEverywhere(
      ({membership, zone}) =>
        zone === 'zone-1' ||
        membership
          .getView()
          .getZoneDaemons('zone-1')
          .every(({state}) => state === 'unreachable'),
    ),
  );
  const seconds = (fleet.now - startedAt) / MILLISECONDS_PER_SECOND;
  const sent = getSentBytes(fleet) - bytes;
  return [spreadMs, sent / seconds / fleet.nodes.length];
}

function measure(count: number): Measurement {
  const heap = getHeapBytes();
  const fleet = new FakeFleet({
    daemonCount: count,
    isSchemaChecked: false,
    seed: SEED,
    zoneCount: ZONE_COUNT,
  });
  fleet.startAll();
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  fleet.run(WARM_UP_MS);
  const kilobytesPerDaemon = (getHeapBytes() - heap) / count / 1_024;
  const [bytesPerSecond, coreShare] = measureSteady(fleet);
  const joiner = fleet.start();
  const joinMs = measureSpread(
    fleet,
    joiner.name,
    ({state}) => state === 'alive',
  );
  fleet.command(joiner, (membership) => membership.drain(fleet.now));
  const drainMs = measureSpread(
    fleet,
    joiner.name,
    ({isDraining}) => isDraining,
  );
  joiner.isRunning = false;
  const crashMs = measureSpread(
    fleet,
    joiner.name,
    ({state}) => state === 'unreachable',
  );
  const [zoneLossMs, zoneLossBytesPerSecond] = measureZoneLoss(fleet);
  return {
    bytesPerSecond,
    coreShare,
    count,
    crashMs,
    drainMs,
    joinMs,
    kilobytesPerDaemon,
    zoneLossBytesPerSecond,
    zoneLossMs,
  };
}

function print(line: string): void {
  writeSync(STANDARD_OUTPUT, `${line}\n`);
}

const requested = process.argv.slice(2).map(Number);
const counts = requested.length > 0 ? requested : DEFAULT_COUNTS;
print(
  'daemons | join ms | drain ms | crash ms | zone loss ms | B/s steady | B/s zone loss | core % | heap kB a daemon',
);
for (const count of counts) {
  const result = measure(count);
  print(
    [
      result.count,
      result.joinMs,
      result.drainMs,
      result.crashMs,
      result.zoneLossMs,
      Math.round(result.bytesPerSecond),
      Math.round(result.zoneLossBytesPerSecond),
      (result.coreShare * 100).toFixed(3),
      Math.round(result.kilobytesPerDaemon),
    ].join(' | '),
  );
}
