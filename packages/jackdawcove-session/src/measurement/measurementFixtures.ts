/** Pools, calls and helpers shared by the measurements. */

import type {CallHead} from '../SessionSchemas.js';
import type {IncomingCall} from '../SessionTypes.js';
import type {Address} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {SessionPool} from '../SessionPool.js';

/** Body size of the measured calls, in bytes. */
export const BODY_BYTES = 2_048;

const FLEET_KEY = 'fleet key of the measurements';
const MICROSECONDS_PER_MILLISECOND = 1_000;
const BYTES_PER_KIBIBYTE = 1_024;
const SEED = 5;

/** Creates a pool that looks up other daemons in a directory. */
export function createPool(
  name: string,
  directory: ReadonlyMap<string, Address>,
): SessionPool {
  return new SessionPool({
    clock: () => performance.now(),
    fleetKeys: {current: FLEET_KEY},
    listen: {host: '127.0.0.1', port: 0},
    onEvent: () => undefined,
    randomNumber: createSeededRandom(SEED),
    resolveAddress: (other) => directory.get(other),
    self: {incarnation: 1, name},
  });
}

/** Creates the head of a call with the fields that a daemon sends. */
export function createHead(index: number): CallHead {
  const attemptIdentifier = `daemon-17:3:${String(index)}`;
  return {
    attempt: {
      attemptIdentifier,
      bodyLength: BODY_BYTES,
      callIdentifier: `daemon-17:3:call-${String(index)}`,
      context: {
        cohort: 0.537_128,
        depth: 2,
        importance: 'high',
        remainingMilliseconds: 870,
        revision: 381,
        rootIdentifier: '0190f3a0-2c6b-7000-8000-000000000000',
        tokens: 3,
      },
      daemonIncarnation: 3,
      fingerprint: '',
      instance: 'orders-3',
      instanceIncarnation: 4,
      isIdempotent: true,
      isSuspectRetry: false,
      method: 'POST',
      path: '/crates/7/settlement?week=31',
      remainingMilliseconds: 870,
      service: 'orders',
      tokensLent: 2,
    },
    attemptIdentifier,
    headers: [
      ['accept', '*/*'],
      ['accept-encoding', 'gzip, deflate'],
      ['content-length', String(BODY_BYTES)],
      ['content-type', 'application/json'],
      ['user-agent', 'stall-keeper/4.1'],
    ],
    remainingMilliseconds: 870,
    tokens: 2,
  };
}

/** Answers a call with the given body once the request is complete. */
export function answerCall(incoming: IncomingCall, body: Uint8Array): void {
  incoming.accept({
    onBody: (bytes) => {
      incoming.grantCredit(bytes.length);
    },
    onCancel: () => undefined,
    onEnd: () => {
      incoming.sendHead({
        executed: 'yes',
        headers: [['content-type', 'application/json']],
        load: undefined,
        resultNumber: 0,
        status: 200,
      });
      incoming.write(body);
      incoming.end({
        load: {
          downstreamThreshold: 0,
          inFlight: 12,
          limit: 60,
          queueingDelayMilliseconds: 0.4,
          threshold: 0,
        },
        tokensReturned: 2,
      });
    },
  });
}

/** Returns the processor time that this process has used, in milliseconds. */
export function readProcessorMilliseconds(): number {
  const {system, user} = process.cpuUsage();
  return (system + user) / MICROSECONDS_PER_MILLISECOND;
}

/** Returns heap and resident memory in KiB, after a garbage collection. */
export function readMemoryKibibytes(): {heap: number; resident: number} {
  globalThis.gc?.();
  const {arrayBuffers, heapUsed, rss} = process.memoryUsage();
  return {
    heap: (heapUsed + arrayBuffers) / BYTES_PER_KIBIBYTE,
    resident: rss / BYTES_PER_KIBIBYTE,
  };
}

/** Returns a quantile (0 to 1) of durations. */
export function getQuantile(
  durations: readonly number[],
  quantile: number,
): number {
  const sorted = [...durations].sort((left, right) => left - right);
  const index = Math.floor(quantile * (sorted.length - 1));
  return sorted[index] ?? Number.NaN;
}

/** Prints one line of figures. */
export function print(name: string, figures: Record<string, number>): void {
  const parts = Object.entries(figures).map(
    ([key, value]) => `${key}=${value.toFixed(3)}`,
  );
  process.stdout.write(`${name}: ${parts.join(' ')}\n`);
}

export async function wait(milliseconds: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
