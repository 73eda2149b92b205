/**
 * Measures processor time and latency of calls over one session. Rounds of a
 * plain TCP echo with the same bodies alternate with them as the baseline.
 *
 * node dist/measurement/measureCalls.js [rounds] [seconds] [all|steady|bulk]
 */

import type {SessionPool} from '../SessionPool.js';
import type {Address} from 'jackdawcove-shared';
import type {ChildProcess} from 'node:child_process';
import type {Socket} from 'node:net';

import {fork} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';

import {
  BODY_BYTES,
  createHead,
  createPool,
  getQuantile,
  print,
  readProcessorMilliseconds,
  wait,
} from './measurementFixtures.js';

type RunCall = () => Promise<void>;

const CALLS_PER_SECOND = 400;
const INTERVAL_MILLISECONDS = 1_000 / CALLS_PER_SECOND;
const CLOSED_LOOP_CALLS = 40_000;
const CONCURRENCY = 32;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const UPLOADER_COUNT = 4;
const UPLOAD_BYTES = 33_554_432;
const UPLOAD_CHUNK_BYTES = 65_536;
const BYTES_PER_GIBIBYTE = 1_073_741_824;

const rounds = Number(process.argv[2] ?? 3);
const seconds = Number(process.argv[3] ?? 5);
const mode = process.argv[4] ?? 'all';
const body = randomBytes(BODY_BYTES);

async function receiveMessage<Message>(child: ChildProcess): Promise<Message> {
  return await new Promise((resolve) => {
    child.once('message', (message) => {
      resolve(message as Message);
    });
  });
}

async function readServerProcessorMilliseconds(
  child: ChildProcess,
): Promise<number> {
  const reply = receiveMessage<{processorMilliseconds: number}>(child);
  child.send('read');
  return (await reply).processorMilliseconds;
}

function createSessionRun(pool: SessionPool): RunCall {
  let attempts = 0;
  return async () => {
    await new Promise<void>((resolve, reject) => {
      attempts += 1;
      const call = pool.openCall('server', createHead(attempts), {
        onBody: (bytes) => {
          call.grantCredit(bytes.length);
        },
        onEnd: () => {
          resolve();
        },
        onFailure: ({failure}) => {
          reject(new Error(failure.result));
        },
        onHead: () => undefined,
        onRefused: ({failure}) => {
          reject(new Error(failure.result));
        },
      });
      call.write(body);
      call.end();
    });
  };
}

function createEchoRun(socket: Socket): RunCall {
  const waiting: (() => void)[] = [];
  let received = 0;
  socket.on('data', (bytes) => {
    received += bytes.length;
    while (received >= BODY_BYTES) {
      received -= BODY_BYTES;
      waiting.shift()?.();
    }
  });
  return async () => {
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
      socket.write(body);
    });
  };
}

/** Open loop: calls at a fixed rate, independent of response times. */
async function runOpenLoop(run: RunCall): Promise<readonly number[]> {
  const durations: number[] = [];
  const calls: Promise<void>[] = [];
  const total = seconds * CALLS_PER_SECOND;
  const startedAt = performance.now();
  for (let index = 0; index < total; index += 1) {
    const dueAt = startedAt + index * INTERVAL_MILLISECONDS;
    const remaining = dueAt - performance.now();
    if (remaining > 0) {
      await wait(remaining);
    }
    const sentAt = performance.now();
    calls.push(
      run().then(() => {
        durations.push(performance.now() - sentAt);
      }),
    );
  }
  await Promise.all(calls);
  return durations;
}

/** Closed loop: a fixed number of concurrent callers without pauses. */
async function runClosedLoop(run: RunCall): Promise<readonly number[]> {
  const durations: number[] = [];
  let next = 0;
  const callers = Array.from({length: CONCURRENCY}, async () => {
    while (next < CLOSED_LOOP_CALLS) {
      next += 1;
      const sentAt = performance.now();
      await run();
      durations.push(performance.now() - sentAt);
    }
  });
  await Promise.all(callers);
  return durations;
}

/** Sends large bodies one after another until stopped. */
async function uploadUntil(isStopped: () => boolean): Promise<void> {
  const chunk = randomBytes(UPLOAD_CHUNK_BYTES);
  for (let upload = 0; !isStopped(); upload += 1) {
    uploads += 1;
    await new Promise<void>((resolve, reject) => {
      let remaining = UPLOAD_BYTES / UPLOAD_CHUNK_BYTES;
      const pump = () => {
        while (remaining > 0) {
          remaining -= 1;
          if (!call.write(chunk)) {
            return;
          }
        }
        call.end();
      };
      const call = pool.openCall('server', createHead(-uploads), {
        onBody: (bytes) => {
          call.grantCredit(bytes.length);
        },
        onEnd: () => {
          resolve();
        },
        onFailure: ({failure}) => {
          reject(new Error(failure.result));
        },
        onHead: () => undefined,
        onRefused: ({failure}) => {
          reject(new Error(failure.result));
        },
        onWritable: pump,
      });
      pump();
    });
  }
}

async function measure(
  name: string,
  child: ChildProcess,
  load: () => Promise<readonly number[]>,
): Promise<void> {
  const serverBefore = await readServerProcessorMilliseconds(child);
  const callerBefore = readProcessorMilliseconds();
  const durations = await load();
  const caller = readProcessorMilliseconds() - callerBefore;
  const server = (await readServerProcessorMilliseconds(child)) - serverBefore;
  print(name, {
    callerMicroseconds:
      (caller * MICROSECONDS_PER_MILLISECOND) / durations.length,
    p50Milliseconds: getQuantile(durations, 0.5),
    p99Milliseconds: getQuantile(durations, 0.99),
    serverMicroseconds:
      (server * MICROSECONDS_PER_MILLISECOND) / durations.length,
  });
}

const child = fork(new URL('measureServer.js', import.meta.url).pathname);
const {address, echoPort} = await receiveMessage<{
  address: Address;
  echoPort: number;
}>(child);
const pool = createPool('caller', new Map([['server', address]]));
await pool.start();
const socket = connect({host: '127.0.0.1', noDelay: true, port: echoPort});
const runSession = createSessionRun(pool);
const runEcho = createEchoRun(socket);
await runClosedLoop(runSession);
await runClosedLoop(runEcho);
let uploads = 0;
let isStopped = false;
const uploaders = Array.from(
  {length: mode === 'bulk' ? UPLOADER_COUNT : 0},
  () => uploadUntil(() => isStopped),
);
for (let round = 0; round < rounds; round += 1) {
  await measure('session, 400 a second', child, () => runOpenLoop(runSession));
  await measure('echo, 400 a second   ', child, () => runOpenLoop(runEcho));
  if (mode !== 'all') {
    continue;
  }
  await measure('session, saturated   ', child, () =>
    runClosedLoop(runSession),
  );
  await measure('echo, saturated      ', child, () => runClosedLoop(runEcho));
}
isStopped = true;
await Promise.all(uploaders);
print('uploads', {gibibytes: (uploads * UPLOAD_BYTES) / BYTES_PER_GIBIBYTE});
await pool.stop();
socket.destroy();
child.disconnect();
