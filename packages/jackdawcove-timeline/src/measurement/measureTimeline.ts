/**
 * Measures the memory that an event uses and the time to record it.
 *
 * Run: node --expose-gc packages/jackdawcove-timeline/dist/measurement/measureTimeline.js
 */

import {Timeline} from '../Timeline.js';

const EVENT_COUNT = 20_000;
const RECORD_COUNT = 200_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

function createTimeline(): Timeline {
  return new Timeline({
    availabilityZone: 'erie-dock',
    capacity: 2 * EVENT_COUNT,
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

const heapBefore = measureHeap();
const timeline = createTimeline();
for (let index = 0; index < EVENT_COUNT; index += 1) {
  recordCall(timeline, index);
}
const bytesPerEvent =
  (measureHeap() - heapBefore) / timeline.getEvents().length;
const startedAt = performance.now();
for (let index = 0; index < RECORD_COUNT; index += 1) {
  recordCall(timeline, index);
}
const elapsedMilliseconds = performance.now() - startedAt;
const microsecondsPerRecord =
  (elapsedMilliseconds * MICROSECONDS_PER_MILLISECOND) / RECORD_COUNT;
process.stdout.write(
  `${JSON.stringify({bytesPerEvent, microsecondsPerRecord})}\n`,
);
