/**
 * Measures daemons at rest: bytes, processor time and memory by fleet size.
 *
 * Run: `node packages/jackdawcove-experiment/dist/capacity/measureRest.js [COUNT…]`
 */

import type {CountedMember} from './CountedFleet.js';
import type {Traffic} from './TrafficCounter.js';

import {loadavg} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';

import {
  readProcessTime,
  readResidentBytes,
} from '../overhead/readProcessTime.js';
import {CountedFleet} from './CountedFleet.js';

const DEFAULT_COUNTS = [3, 6, 9];
const SETTLE_MILLISECONDS = 12_000;
const WINDOW_MILLISECONDS = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;
const DATAGRAM_HEADER_BYTES = 28;
const BYTES_PER_MEGABYTE = 1_048_576;

type Reading = {
  readonly at: number;
  readonly processMilliseconds: number;
  readonly traffic: Traffic;
};

type RestFigures = {
  readonly bytesReceivedPerSecond: number;
  readonly bytesSentPerSecond: number;
  readonly datagramsSentPerSecond: number;
  readonly processMillisecondsPerSecond: number;
  readonly residentMegabytes: number;
};

async function read({daemon}: CountedMember): Promise<Reading> {
  return {
    at: performance.now(),
    processMilliseconds: readProcessTime(daemon.getProcessIdentifier()),
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
  {daemon}: CountedMember,
  before: Reading,
  after: Reading,
): RestFigures {
  const seconds = (after.at - before.at) / MILLISECONDS_PER_SECOND;
  const getRate = (difference: number): number =>
    Math.round((difference / seconds) * 10) / 10;
  return {
    bytesReceivedPerSecond: getRate(
      getReceivedBytes(after.traffic) - getReceivedBytes(before.traffic),
    ),
    bytesSentPerSecond: getRate(
      getSentBytes(after.traffic) - getSentBytes(before.traffic),
    ),
    datagramsSentPerSecond: getRate(
      after.traffic.datagramsSent - before.traffic.datagramsSent,
    ),
    processMillisecondsPerSecond: getRate(
      after.processMilliseconds - before.processMilliseconds,
    ),
    residentMegabytes: Math.round(
      readResidentBytes(daemon.getProcessIdentifier()) / BYTES_PER_MEGABYTE,
    ),
  };
}

async function measureCount(count: number): Promise<void> {
  const fleet = new CountedFleet(count);
  try {
    await fleet.start();
    await delay(SETTLE_MILLISECONDS);
    const members = fleet.getMembers();
    const before = await Promise.all(members.map(read));
    await delay(WINDOW_MILLISECONDS);
    const after = await Promise.all(members.map(read));
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

const given = process.argv.slice(2).map(Number);
for (const count of given.length > 0 ? given : DEFAULT_COUNTS) {
  process.stdout.write(`${JSON.stringify({load: loadavg()[0]})}\n`);
  await measureCount(count);
}
