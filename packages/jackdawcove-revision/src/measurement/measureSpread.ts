/**
 * Measures the record spread for different fleet sizes, in one process with a
 * simulated network: time until a change is applied everywhere, bytes sent and
 * CPU time.
 *
 * Run: node packages/jackdawcove-revision/dist/measurement/measureSpread.js
 */

import {cpuUsage, stdout} from 'node:process';

import {encode} from 'cbor-x';
import {createSeededRandom, shuffle} from 'jackdawcove-shared';

import {SpreadFleet} from './SpreadFleet.js';

const COUNTS = [50, 100, 200, 400, 650];
/** Every view still shows stopped daemons as reachable. */
const CONDITIONS = [
  {deadShare: 0, loss: 0},
  {deadShare: 0, loss: 0.05},
  {deadShare: 0.125, loss: 0.05},
  {deadShare: 0.5, loss: 0},
];
const CHANGES = 5;
const DOCUMENT_CHARACTERS = 4_096;
const IDLE_MILLISECONDS = 5_000;
const SETTLE_MILLISECONDS = 2_000;
const TIMEOUT_MILLISECONDS = 20_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

type Row = Readonly<Record<string, number>>;

function getProcessorMilliseconds(): number {
  const {system, user} = cpuUsage();
  return (system + user) / MICROSECONDS_PER_MILLISECOND;
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}

function takeSentBytes(
  sent: Map<string, number>,
  count: number,
): {mean: number; maximum: number} {
  const bytes = [...sent.values()];
  sent.clear();
  const sum = bytes.reduce((total, value) => total + value, 0);
  return {maximum: Math.max(0, ...bytes), mean: sum / count};
}

function measure(count: number, loss: number, deadShare: number): Row {
  const sent = new Map<string, number>();
  const fleet = new SpreadFleet({
    count,
    isViewStale: deadShare > 0,
    loss,
    onSend: (from, message) => {
      sent.set(from, (sent.get(from) ?? 0) + encode(message).length);
    },
    seed: count,
  });
  const takeBytes = () => takeSentBytes(sent, count);
  fleet.run(SETTLE_MILLISECONDS);
  shuffle(fleet.nodes.slice(1), createSeededRandom(count))
    .slice(0, Math.round(count * deadShare))
    .forEach((node) => {
      fleet.stop(node);
    });
  fleet.publish(fleet.getNode(0), 1, DOCUMENT_CHARACTERS);
  fleet.run(TIMEOUT_MILLISECONDS, () => fleet.isAppliedEverywhere(1));
  fleet.run(SETTLE_MILLISECONDS);
  takeBytes();
  const idleProcessor = getProcessorMilliseconds();
  fleet.run(IDLE_MILLISECONDS);
  const idleProcessorSpent = getProcessorMilliseconds() - idleProcessor;
  const idle = takeBytes();
  const elapsed: number[] = [];
  const maximumBytes: number[] = [];
  const meanBytes: number[] = [];
  for (let version = 2; version < 2 + CHANGES; version += 1) {
    fleet.publish(fleet.getNode(0), version, DOCUMENT_CHARACTERS);
    elapsed.push(
      fleet.run(TIMEOUT_MILLISECONDS, () => fleet.isAppliedEverywhere(version)),
    );
    fleet.run(SETTLE_MILLISECONDS);
    const bytes = takeBytes();
    maximumBytes.push(bytes.maximum);
    meanBytes.push(bytes.mean);
  }
  const idleSeconds = IDLE_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return {
    count,
    deadShare,
    idleBytesPerSecond: round(idle.mean / idleSeconds),
    idleProcessorMillisecondsPerSecond: round(
      idleProcessorSpent / idleSeconds / count,
    ),
    loss,
    meanBytesPerChange: round(
      meanBytes.reduce((sum, value) => sum + value, 0) / CHANGES,
    ),
    mostBytesOfOneDaemonPerChange: round(Math.max(...maximumBytes)),
    slowestMilliseconds: Math.max(...elapsed),
  };
}

for (const {deadShare, loss} of CONDITIONS) {
  for (const count of COUNTS) {
    stdout.write(`${JSON.stringify(measure(count, loss, deadShare))}\n`);
  }
}
