/**
 * Measures three voters in one process on the real file system: latency and
 * processor time of a change, duration of a sync, bytes sent, bytes on disk, heap.
 *
 * Usage: node packages/jackdawcove-daemon/dist/control/measurement/measureVoters.js
 */

import type {Voter} from '../createVoter.js';
import type {RaftMessage, Replica, Snapshot} from 'jackdawcove-consensus';
import type {FileOperations} from 'jackdawcove-storage';

import {mkdtemp, readdir, rm, stat} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {cpuUsage, memoryUsage, stdout} from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

import {encode} from 'cbor-x';
import {createRaftOptions} from 'jackdawcove-consensus';
import {INITIAL_CONFIGURATION_STATE} from 'jackdawcove-revision';
import {createSeededRandom} from 'jackdawcove-shared';
import {createFileOperations} from 'jackdawcove-storage';
import {isErr} from 'true-myth/result';

import {createVoter} from '../createVoter.js';

const NAMES = ['a', 'b', 'c'];
const CHANGE_COUNT = 500;
const DOCUMENT_CHARACTERS = 4_096;
const TICK_MILLISECONDS = 50;
const IDLE_MILLISECONDS = 10_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const PERCENTILES = [0.5, 0.99];

const syncDurations: number[] = [];
const voters = new Map<string, Voter>();
let sentBytes = 0;

function getProcessorMilliseconds(): number {
  const {system, user} = cpuUsage();
  return (system + user) / MICROSECONDS_PER_MILLISECOND;
}

function report(name: string, value: number): void {
  stdout.write(`${name}: ${String(Number(value.toPrecision(3)))}\n`);
}

function reportPercentiles(name: string, values: readonly number[]): void {
  const sorted = values.toSorted((left, right) => left - right);
  for (const percentile of PERCENTILES) {
    const value = sorted[Math.floor(percentile * sorted.length)] ?? 0;
    report(`${name} ${String(percentile)}`, value);
  }
}

function createTimedOperations(): FileOperations {
  const operations = createFileOperations();
  return {
    ...operations,
    openFile: async (path, mode) => {
      const file = await operations.openFile(path, mode);
      return {
        ...file,
        sync: async () => {
          const start = performance.now();
          await file.sync();
          syncDurations.push(performance.now() - start);
        },
      };
    },
  };
}

function send(to: Replica, message: RaftMessage): void {
  sentBytes += encode(message).length;
  setImmediate(() => {
    voters.get(to.daemon)?.runtime.receive(message);
  });
}

async function startVoters(folder: string): Promise<void> {
  for (const daemon of NAMES) {
    const ignore = () => undefined;
    const voter = await createVoter({
      clock: () => performance.now(),
      createIdentity: () => `${daemon}1`,
      daemon,
      dataFolder: join(folder, daemon),
      handlers: {onChange: ignore, onEvent: ignore, send},
      operations: createTimedOperations(),
      raftOptions: createRaftOptions({
        measureCommand: () => DOCUMENT_CHARACTERS,
        randomNumber: createSeededRandom(NAMES.indexOf(daemon)),
      }),
    });
    if (isErr(voter)) {
      throw new Error(voter.error.detail);
    }
    voters.set(daemon, voter.value);
  }
}

function createSnapshot(): Snapshot {
  const replicas = [...voters.values()].map(({replica}) => replica);
  const state = {...INITIAL_CONFIGURATION_STATE, voterTarget: NAMES};
  return {
    content: {
      data: JSON.stringify(state),
      replicaSet: {learners: [], voters: replicas},
    },
    index: 1,
    term: 1,
  };
}

async function findLeader(): Promise<Voter> {
  const leader = [...voters.values()].find(
    ({runtime}) => runtime.getView().isReadyLeader,
  );
  if (leader !== undefined) {
    return leader;
  }
  await sleep(TICK_MILLISECONDS);
  return findLeader();
}

async function measureChanges(leader: Voter): Promise<void> {
  const durations: number[] = [];
  const initialProcessorTime = getProcessorMilliseconds();
  const initialHeap = memoryUsage().heapUsed;
  syncDurations.length = 0;
  sentBytes = 0;
  for (let number = 1; number <= CHANGE_COUNT; number += 1) {
    const start = performance.now();
    const change = {
      author: 'operator',
      changeIdentifier: `change-${String(number)}`,
      documentText: String(number).padEnd(DOCUMENT_CHARACTERS, 'x'),
      expectedRevision: number - 1,
      reason: 'measurement',
    };
    await leader.runtime.submit({acceptedAt: 0, change, kind: 'change'});
    durations.push(performance.now() - start);
  }
  const processorTime = getProcessorMilliseconds() - initialProcessorTime;
  reportPercentiles('milliseconds per committed change', durations);
  reportPercentiles('milliseconds per sync', syncDurations);
  report(
    'processor milliseconds per change and voter',
    processorTime / CHANGE_COUNT / NAMES.length,
  );
  report('bytes sent by the leader per change', sentBytes / CHANGE_COUNT);
  report(
    'heap bytes per change and voter',
    (memoryUsage().heapUsed - initialHeap) / CHANGE_COUNT / NAMES.length,
  );
}

async function measureIdle(): Promise<void> {
  const initialProcessorTime = getProcessorMilliseconds();
  sentBytes = 0;
  await sleep(IDLE_MILLISECONDS);
  const seconds = IDLE_MILLISECONDS / 1_000;
  const processorTime = getProcessorMilliseconds() - initialProcessorTime;
  report('idle: bytes sent per second, three voters', sentBytes / seconds);
  report(
    'idle: processor milliseconds per second and voter',
    processorTime / seconds / NAMES.length,
  );
}

async function measureDisk(folder: string): Promise<void> {
  const replicaFolder = join(folder, 'a', 'replica');
  for (const file of await readdir(replicaFolder)) {
    const {size} = await stat(join(replicaFolder, file));
    report(`bytes on disk: ${file}`, size);
  }
}

const folder = await mkdtemp(join(tmpdir(), 'jackdawcove-voters-'));
await startVoters(folder);
const ticker = setInterval(() => {
  for (const {runtime} of voters.values()) {
    runtime.tick();
  }
}, TICK_MILLISECONDS);
await voters.get('a')?.runtime.bootstrap(createSnapshot());
const leader = await findLeader();
await measureChanges(leader);
await measureIdle();
await measureDisk(folder);
clearInterval(ticker);
for (const {runtime} of voters.values()) {
  await runtime.close();
}
await rm(folder, {recursive: true});
