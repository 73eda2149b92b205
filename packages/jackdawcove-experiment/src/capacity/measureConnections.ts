/**
 * Measures the memory and processor time that open caller connections cost a daemon.
 *
 * Run: `node packages/jackdawcove-experiment/dist/capacity/measureConnections.js [COUNT]`
 */

import type {Address} from 'jackdawcove-shared';
import type {Socket} from 'node:net';

import {once} from 'node:events';
import {connect} from 'node:net';
import {loadavg} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';

import {
  readCpuMilliseconds,
  readResidentBytes,
} from '../overhead/ProcessUsage.js';
import {MeteredFleet} from './MeteredFleet.js';

const DEFAULT_COUNT = 2_000;
const BATCH_SIZE = 50;
const SETTLE_MILLISECONDS = 5_000;
const BYTES_PER_KIBIBYTE = 1_024;
const REQUEST_TEXT = 'GET /absent/x HTTP/1.1\r\nHost: daemon\r\n\r\n';

async function openConnection({host, port}: Address): Promise<Socket> {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(REQUEST_TEXT);
  await once(socket, 'data');
  return socket;
}

async function openConnections(
  address: Address,
  count: number,
): Promise<readonly Socket[]> {
  const open: Socket[] = [];
  while (open.length < count) {
    const size = Math.min(BATCH_SIZE, count - open.length);
    const batch = Array.from({length: size}, async () =>
      openConnection(address),
    );
    open.push(...(await Promise.all(batch)));
  }
  return open;
}

async function measureConnections(count: number): Promise<void> {
  const fleet = new MeteredFleet(1);
  try {
    await fleet.start();
    const [member] = fleet.getMembers();
    if (member === undefined) {
      throw new Error('The fleet has no members.');
    }
    const {daemon, plan} = member;
    const processIdentifier = daemon.getProcessIdentifier();
    const warmUp = await openConnections(plan.addresses.caller, BATCH_SIZE);
    await delay(SETTLE_MILLISECONDS);
    const residentBefore = readResidentBytes(processIdentifier);
    const cpuMillisecondsBefore = readCpuMilliseconds(processIdentifier);
    const sockets = await openConnections(plan.addresses.caller, count);
    const cpuMilliseconds =
      readCpuMilliseconds(processIdentifier) - cpuMillisecondsBefore;
    const residentAfter = readResidentBytes(processIdentifier);
    const allSockets = [...warmUp, ...sockets];
    const closed = allSockets.filter(({destroyed}) => destroyed).length;
    process.stdout.write(
      `${JSON.stringify({
        closed,
        count,
        kibibytesPerConnection:
          (residentAfter - residentBefore) / BYTES_PER_KIBIBYTE / count,
        load: loadavg()[0],
        millisecondsPerConnection: cpuMilliseconds / count,
        residentAfter,
        residentBefore,
      })}\n`,
    );
    allSockets.forEach((socket) => socket.destroy());
  } finally {
    await fleet.stop();
  }
}

await measureConnections(Number(process.argv[2] ?? DEFAULT_COUNT));
