/**
 * Measures the memory of open caller connections on a real daemon.
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
  readProcessTime,
  readResidentBytes,
} from '../overhead/readProcessTime.js';
import {CountedFleet} from './CountedFleet.js';

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
  const fleet = new CountedFleet(1);
  try {
    await fleet.start();
    const [member] = fleet.getMembers();
    if (member === undefined) {
      throw new Error('The fleet has no member.');
    }
    const {daemon, plan} = member;
    const identifier = daemon.getProcessIdentifier();
    const warmUp = await openConnections(plan.addresses.caller, BATCH_SIZE);
    await delay(SETTLE_MILLISECONDS);
    const residentBefore = readResidentBytes(identifier);
    const timeBefore = readProcessTime(identifier);
    const sockets = await openConnections(plan.addresses.caller, count);
    const openedMilliseconds = readProcessTime(identifier) - timeBefore;
    const residentAfter = readResidentBytes(identifier);
    const all = [...warmUp, ...sockets];
    const closed = all.filter(({destroyed}) => destroyed).length;
    process.stdout.write(
      `${JSON.stringify({
        closed,
        count,
        kibibytesPerConnection:
          (residentAfter - residentBefore) / BYTES_PER_KIBIBYTE / count,
        load: loadavg()[0],
        millisecondsPerConnection: openedMilliseconds / count,
        residentAfter,
        residentBefore,
      })}\n`,
    );
    all.forEach((socket) => socket.destroy());
  } finally {
    await fleet.stop();
  }
}

await measureConnections(Number(process.argv[2] ?? DEFAULT_COUNT));
