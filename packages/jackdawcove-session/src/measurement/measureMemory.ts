/**
 * Measures memory of open sessions and open calls, processor time of idle
 * sessions, and processor time of datagrams.
 *
 * node --expose-gc dist/measurement/measureMemory.js [peers] [calls]
 */

import type {SessionPool} from '../SessionPool.js';
import type {Address} from 'jackdawcove-shared';

import {fork} from 'node:child_process';

import {
  createHead,
  createPool,
  print,
  readMemoryKibibytes,
  readProcessorMilliseconds,
  wait,
} from './measurementFixtures.js';

const IDLE_MILLISECONDS = 10_000;
const DATAGRAM_COUNT = 20_000;
const DATAGRAMS_PER_TURN = 20;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const POLL_MILLISECONDS = 50;
const SECOND_MILLISECONDS = 1_000;

const peerCount = Number(process.argv[2] ?? 650);
const callCount = Number(process.argv[3] ?? 4_000);

async function measureIdle(name: string): Promise<void> {
  const before = readProcessorMilliseconds();
  await wait(IDLE_MILLISECONDS);
  const spent = readProcessorMilliseconds() - before;
  print(name, {corePercent: (spent / IDLE_MILLISECONDS) * 100});
}

async function measureSessions(
  pool: SessionPool,
  names: readonly string[],
): Promise<void> {
  await measureIdle('no session, idle');
  const before = readMemoryKibibytes();
  const startedAt = performance.now();
  const processorBefore = readProcessorMilliseconds();
  for (const name of names) {
    pool.send(name, 'measurement', 'opens the session');
  }
  while (pool.getStatistics().openSessions < names.length) {
    await wait(POLL_MILLISECONDS);
  }
  const processor = readProcessorMilliseconds() - processorBefore;
  const duration = performance.now() - startedAt;
  await wait(2 * SECOND_MILLISECONDS);
  const after = readMemoryKibibytes();
  print(`${String(names.length)} sessions`, {
    heapKibibytesEach: (after.heap - before.heap) / names.length,
    openMillisecondsAll: duration,
    openProcessorMillisecondsEach: processor / names.length,
    residentKibibytesEach: (after.resident - before.resident) / names.length,
  });
  await measureIdle(`${String(names.length)} sessions, idle`);
}

async function measureCalls(pool: SessionPool, name: string): Promise<void> {
  const before = readMemoryKibibytes();
  for (let index = 0; index < callCount; index += 1) {
    const call = pool.openCall(name, createHead(index), {
      onBody: () => undefined,
      onEnd: () => undefined,
      onFailure: () => undefined,
      onHead: () => undefined,
      onRefused: () => undefined,
    });
    call.end();
  }
  await wait(2 * SECOND_MILLISECONDS);
  const after = readMemoryKibibytes();
  print(`${String(pool.getStatistics().openCalls)} open calls`, {
    heapKibibytesEach: (after.heap - before.heap) / callCount,
    residentKibibytesEach: (after.resident - before.resident) / callCount,
  });
}

async function measureDatagrams(): Promise<void> {
  const left = createPool('left', new Map());
  const right = createPool('right', new Map());
  await left.start();
  const address = await right.start();
  let received = 0;
  right.registerListener('membership', () => {
    received += 1;
  });
  const message = {
    incarnation: 7,
    kind: 'probe',
    members: Array.from({length: 4}, (_, index) => ({
      incarnation: index,
      name: `daemon-${String(index)}`,
      state: 'alive',
    })),
    sequence: 123_456,
  };
  const before = readProcessorMilliseconds();
  for (let index = 0; index < DATAGRAM_COUNT; index += 1) {
    left.sendDatagram(address, 'membership', message);
    if (index % DATAGRAMS_PER_TURN === 0) {
      await wait(0);
    }
  }
  await wait(SECOND_MILLISECONDS);
  const spent = readProcessorMilliseconds() - before;
  print('datagrams, both ends', {
    processorMicrosecondsEach:
      (spent * MICROSECONDS_PER_MILLISECOND) / DATAGRAM_COUNT,
    receivedShare: received / DATAGRAM_COUNT,
  });
  await left.stop();
  await right.stop();
}

const program = new URL('measurePeers.js', import.meta.url).pathname;
const child = fork(program, [String(peerCount)]);
const addresses = await new Promise<(readonly [string, Address])[]>(
  (resolve) => {
    child.once('message', (message) => {
      resolve(message as (readonly [string, Address])[]);
    });
  },
);
const pool = createPool('caller', new Map(addresses));
await pool.start();
await measureSessions(
  pool,
  addresses.map(([name]) => name),
);
await measureCalls(pool, 'peer-0');
await pool.stop();
child.disconnect();
await measureDatagrams();
