/**
 * Measures the time that the decisions of a call take, in microseconds.
 *
 * node packages/jackdawcove-call/dist/measurement/measureCpu.js
 */

import type {AnswerEnd, CallerSideInput} from '../index.js';

import {EventLoop} from './EventLoop.js';
import {createCandidate, createFakeDaemon, getService} from './FakeDaemon.js';
import {FULL_CONTROL} from './Modes.js';

const CALLS = 100_000;
const INSTANCES = 15;
const OPEN_CALLS = 100;
const SLOTS = 300;
const CALLS_PER_MILLISECOND = 2;
const WARM_UP_CALLS = 20_000;

const candidates = Array.from({length: INSTANCES}, (_, index) =>
  createCandidate(`vm-${String(index)}`, SLOTS),
);
const daemon = createFakeDaemon({
  depth: 0,
  listInstances: () => candidates,
  loop: new EventLoop(),
  mode: FULL_CONTROL,
  name: 'vm-0',
  resolvePolicy: () => ({
    importance: 'normal',
    isIdempotent: true,
    maximumDepth: 16,
    retryAllowance: 2,
    revision: 1,
    route: '/prices',
    timeoutMilliseconds: 1_000,
  }),
  seed: 1,
  slots: SLOTS,
});

function createBegin(call: number): CallerSideInput {
  return {
    callIdentifier: `vm-0.1.${String(call)}`,
    kind: 'begin',
    request: {
      bodyLength: 0,
      isFromLoopback: false,
      isReplayable: true,
      method: 'GET',
      path: `/prices/${String(call)}`,
      service: getService(0),
    },
  };
}

type SpentNanoseconds = {caller: bigint; server: bigint};

/** Runs one call through both sides and times each side separately. */
function runCall(call: number, open: string[], spent: SpentNanoseconds): void {
  const now = call / CALLS_PER_MILLISECOND;
  const start = process.hrtime.bigint();
  const [send] = daemon.callerSide.handle(createBegin(call), now);
  spent.caller += process.hrtime.bigint() - start;
  if (send?.kind !== 'sendAttempt') {
    return;
  }
  const {attemptIdentifier} = send.attempt;
  open.push(attemptIdentifier);
  const attempt = {
    ...send.attempt,
    instance: 'vm-0',
    instanceIncarnation: 1,
  };
  const arrived = process.hrtime.bigint();
  daemon.serverSide.handle(
    {attempt, callerDaemon: 'vm-0', kind: 'arrive'},
    now,
  );
  spent.server += process.hrtime.bigint() - arrived;
  if (open.length > OPEN_CALLS) {
    endCall(open.shift() as string, now, spent);
  }
}

function endCall(
  attemptIdentifier: string,
  now: number,
  spent: SpentNanoseconds,
): void {
  const start = process.hrtime.bigint();
  const effects = daemon.serverSide.handle(
    {attemptIdentifier, kind: 'backendAnswered'},
    now,
  );
  spent.server += process.hrtime.bigint() - start;
  for (const effect of effects) {
    if (effect.kind === 'endAnswer') {
      endCallerSide(effect.end, now, spent);
    }
  }
}

function endCallerSide(
  end: AnswerEnd,
  now: number,
  spent: SpentNanoseconds,
): void {
  const start = process.hrtime.bigint();
  daemon.callerSide.handle({end, kind: 'answerEnd'}, now);
  spent.caller += process.hrtime.bigint() - start;
}

function main(): void {
  const open: string[] = [];
  const ignored: SpentNanoseconds = {caller: 0n, server: 0n};
  for (let call = 0; call < WARM_UP_CALLS; call += 1) {
    runCall(call, open, ignored);
  }
  const spent: SpentNanoseconds = {caller: 0n, server: 0n};
  for (let call = 0; call < CALLS; call += 1) {
    runCall(WARM_UP_CALLS + call, open, spent);
  }
  const caller = Number(spent.caller) / CALLS / 1_000;
  const server = Number(spent.server) / CALLS / 1_000;
  process.stdout.write(
    `caller side ${caller.toFixed(1)} us per call, ` +
      `server side ${server.toFixed(1)} us per call ` +
      `(${String(INSTANCES)} instances, ${String(OPEN_CALLS)} open calls)\n`,
  );
}

main();
