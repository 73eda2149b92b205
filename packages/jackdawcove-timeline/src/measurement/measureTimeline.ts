/**
 * Measures the memory of an event and the time to record it.
 *
 * Run: node --expose-gc packages/jackdawcove-timeline/dist/measurement/measureTimeline.js
 */

import {Timeline} from '../Timeline.js';

const EVENTS = 20_000;
const RECORDS = 200_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

function createTimeline(): Timeline {
  return new Timeline({
    availabilityZone: 'erie-dock',
    capacity: 2 * EVENTS,
    vm: 'erie-1',
  });
}

function recordCall(timeline: Timeline, index: number): void {
  const call = `0193a5c2-7b1e-7000-8000-${String(index).padStart(12, '0')}`;
  const fields = {call, importance: 'normal', result: 200, service: 'orders'};
  timeline.record('callFinished', fields, index);
}

function measureHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

const before = measureHeap();
const timeline = createTimeline();
for (let index = 0; index < EVENTS; index += 1) {
  recordCall(timeline, index);
}
const bytesPerEvent = (measureHeap() - before) / timeline.getEvents().length;
const startedAt = performance.now();
for (let index = 0; index < RECORDS; index += 1) {
  recordCall(timeline, index);
}
const elapsed = performance.now() - startedAt;
const microsecondsPerRecord =
  (elapsed * MICROSECONDS_PER_MILLISECOND) / RECORDS;
process.stdout.write(
  `${JSON.stringify({bytesPerEvent, microsecondsPerRecord})}\n`,
);
