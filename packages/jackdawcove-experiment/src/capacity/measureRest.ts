/**
 * Measures idle daemons: traffic, processor time and memory by fleet size.
 *
 * Run: `node packages/jackdawcove-experiment/dist/capacity/measureRest.js [COUNT…]`
 */

import type {MeteredMember} from './MeteredFleet.js';
import type {Traffic} from './TrafficCounter.js';

import {loadavg} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';

import {
  readCpuMilliseconds,
  readResidentBytes,
} from '../overhead/ProcessUsage.js';
import {MeteredFleet} from './MeteredFleet.js';

const DEFAULT_COUNTS = [3, 6, 9];
const SETTLE_MILLISECONDS = 12_000;
const WINDOW_MILLISECONDS = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;
const DATAGRAM_HEADER_BYTES = 28;
const BYTES_PER_MEGABYTE = 1_048_576;

type Reading = {
  readonly atMilliseconds: number;
  readonly cpuMilliseconds: number;
  readonly traffic: Traffic;
};

type IdleFigures = {
  readonly bytesReceivedPerSecond: number;
  readonly bytesSentPerSecond: number;
  readonly datagramsSentPerSecond: number;
  readonly processMillisecondsPerSecond: number;
  readonly residentMegabytes: number;
};

async function takeReading({daemon}: MeteredMember): Promise<Reading> {
  return {
    atMilliseconds: performance.now(),
    cpuMilliseconds: readCpuMilliseconds(daemon.getProcessIdentifier()),
    traffic: await daemon.readTraffic(),
  };
}

function getSentBytes({
  datagramBytesSent,
  datagramsSent,
  streamBytesSent,
}: Traffic): number {
  return (
    streamBytesSent + datagramBytesSent + datagramsSent * DATAGRAM_HEADER_BYTES
  );
}

function getReceivedBytes({
  datagramBytesReceived,
  datagramsReceived,
  streamBytesReceived,
}: Traffic): number {
  return (
    streamBytesReceived +
    datagramBytesReceived +
    datagramsReceived * DATAGRAM_HEADER_BYTES
  );
}

function createFigures(
  {daemon}: MeteredMember,
  before: Reading,
  after: Reading,
): IdleFigures {
  const seconds =
    (after.atMilliseconds - before.atMilliseconds) / MILLISECONDS_PER_SECOND;
  const computeRate = (difference: number): number =>
    Math.round((difference / seconds) * 10) / 10;
  return {
    bytesReceivedPerSecond: computeRate(
      getReceivedBytes(after.traffic) - getReceivedBytes(before.traffic),
    ),
    bytesSentPerSecond: computeRate(
      getSentBytes(after.traffic) - getSentBytes(before.traffic),
    ),
    datagramsSentPerSecond: computeRate(
      after.traffic.datagramsSent - before.traffic.datagramsSent,
    ),
    processMillisecondsPerSecond: computeRate(
      after.cpuMilliseconds - before.cpuMilliseconds,
    ),
    residentMegabytes: Math.round(
      readResidentBytes(daemon.getProcessIdentifier()) / BYTES_PER_MEGABYTE,
    ),
  };
}

async function measureFleet(count: number): Promise<void> {
  const fleet = new MeteredFleet(count);
  try {
    await fleet.start();
    await delay(SETTLE_MILLISECONDS);
    const members = fleet.getMembers();
    const before = await Promise.all(members.map(takeReading));
    await delay(WINDOW_MILLISECONDS);
    const after = await Promise.all(members.map(takeReading));
    members.forEach((member, index) => {
      const figures = createFigures(
        member,
        before[index] as Reading,
        after[index] as Reading,
      );
      const {isVoter, name} = member.plan;
      process.stdout.write(
        `${JSON.stringify({count, isVoter, name, ...figures})}\n`,
      );
    });
  } finally {
    await fleet.stop();
  }
}

const requestedCounts = process.argv.slice(2).map(Number);
for (const count of requestedCounts.length > 0
  ? requestedCounts
  : DEFAULT_COUNTS) {
  process.stdout.write(`${JSON.stringify({load: loadavg()[0]})}\n`);
  await measureFleet(count);
}
