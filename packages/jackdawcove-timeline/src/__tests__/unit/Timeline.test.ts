import type {Stamp, TimelineEvent} from '../../index.js';

import fc from 'fast-check';
import t from 'tap';

import {
  advanceStamp,
  compareEvents,
  compareStamps,
  FIRST_STAMP,
  formatStamp,
  MAXIMUM_DRIFT_MILLISECONDS,
  mergeTimelines,
  receiveStamp,
  Timeline,
  timelineEventSchema,
} from '../../index.js';

const RUNS = {numRuns: 300, seed: 1};
const wallTime = fc.integer({max: 1_000_000, min: 0});
const stamp = fc.record({counter: fc.nat(9), wallMilliseconds: wallTime});

function createTimeline(vm = 'erie-1', capacity = 8): Timeline {
  return new Timeline({availabilityZone: 'erie-dock', capacity, vm});
}

function getKinds(events: readonly TimelineEvent[]): string[] {
  return events.map(({kind}) => kind);
}

const ADVANCES: readonly (readonly [Stamp, number, Stamp])[] = [
  [FIRST_STAMP, 5, {counter: 0, wallMilliseconds: 5}],
  [{counter: 0, wallMilliseconds: 5}, 5, {counter: 1, wallMilliseconds: 5}],
  [{counter: 3, wallMilliseconds: 9}, 5, {counter: 4, wallMilliseconds: 9}],
  [{counter: 3, wallMilliseconds: 9}, 10.7, {counter: 0, wallMilliseconds: 10}],
  [FIRST_STAMP, -7, {counter: 1, wallMilliseconds: 0}],
];

t.test('a stamp advances its wall-clock time or its counter', async (t) => {
  for (const [last, wallNow, expected] of ADVANCES) {
    t.strictSame(advanceStamp(last, wallNow), expected);
  }
  t.equal(
    formatStamp({counter: 2, wallMilliseconds: 0}),
    '1970-01-01T00:00:00.000Z+2',
  );
});

t.test(
  'stamps increase for any wall-clock times and received stamps',
  async (t) => {
    const step = fc.record({
      received: fc.option(stamp, {nil: undefined}),
      wallNow: wallTime,
    });
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        let last: Stamp = FIRST_STAMP;
        return steps.every(({received, wallNow}) => {
          const next =
            received === undefined
              ? advanceStamp(last, wallNow)
              : receiveStamp(last, received, wallNow);
          const isLater = compareStamps(next, last) > 0;
          last = next;
          return isLater;
        });
      }),
      RUNS,
    );
    t.pass('300 histories');
  },
);

t.test(
  'a received message gets a later stamp unless its stamp is too far ahead',
  async (t) => {
    const sent = {counter: 4, wallMilliseconds: 90};
    t.ok(compareStamps(receiveStamp(FIRST_STAMP, sent, 10), sent) > 0);
    const tooFarAhead = {
      counter: 0,
      wallMilliseconds: 11 + MAXIMUM_DRIFT_MILLISECONDS,
    };
    t.strictSame(receiveStamp(FIRST_STAMP, tooFarAhead, 10), {
      counter: 0,
      wallMilliseconds: 10,
    });
  },
);

t.test(
  'the rings are bounded and call events never evict fleet events',
  async (t) => {
    const timeline = createTimeline();
    timeline.record('becameLeader', {term: 7}, 1);
    for (let call = 0; call < 100; call += 1) {
      timeline.record('callFinished', {call: `call-${String(call)}`}, 2);
    }
    const events = timeline.getEvents();
    t.equal(events.length, 5);
    t.equal(events[0]?.kind, 'becameLeader');
    t.equal(events.at(-1)?.call, 'call-99');
    t.equal(timeline.getDropped(), 96);
  },
);

t.test(
  'long fields are truncated so that events match the schema',
  async (t) => {
    const timeline = createTimeline();
    timeline.record(
      'sessionSilent',
      {none: undefined, peer: 'x'.repeat(9_999)},
      1,
    );
    timeline.record('callFinished', {call: 'y'.repeat(9_999), result: 200}, 1);
    for (const event of timeline.getEvents()) {
      t.ok(timelineEventSchema.safeParse(event).success);
      t.notOk('none' in event.fields);
    }
  },
);

const FILTERS = [
  [{}, ['daemonStarted', 'callFinished', 'drainStarted']],
  [{call: 'a'}, ['callFinished']],
  [{kind: 'drainStarted'}, ['drainStarted']],
  [{since: 20}, ['callFinished', 'drainStarted']],
  [{since: 20, vm: 'erie-1'}, ['callFinished', 'drainStarted']],
  [{vm: 'huron-1'}, []],
] as const;

t.test('filters select the matching events', async (t) => {
  const timeline = createTimeline();
  timeline.record('daemonStarted', {}, 10);
  timeline.record('callFinished', {call: 'a'}, 20);
  timeline.record('drainStarted', {}, 30);
  for (const [filter, kinds] of FILTERS) {
    t.strictSame(getKinds(timeline.getEvents(filter)), kinds);
  }
});

t.test('a cause precedes its effect even if its clock is ahead', async (t) => {
  const first = createTimeline('erie-1');
  const second = createTimeline('huron-1');
  first.record('sessionOpened', {}, 500);
  second.observe(first.getStamp(), 100);
  second.record('recordApplied', {}, 100);
  const merged = mergeTimelines([second.getEvents(), first.getEvents()]);
  t.strictSame(getKinds(merged), ['sessionOpened', 'recordApplied']);
});

t.test(
  'a merged timeline is sorted, complete and has no duplicates',
  async (t) => {
    const wallTimes = fc.array(wallTime, {maxLength: 8});
    fc.assert(
      fc.property(fc.array(wallTimes, {maxLength: 5}), (fleet) => {
        const rings = fleet.map((times, index) => {
          const timeline = createTimeline(`vm-${String(index)}`, 16);
          for (const time of times) {
            timeline.record('sessionOpened', {}, time);
          }
          return timeline.getEvents();
        });
        const merged = mergeTimelines([...rings, ...rings.toReversed()]);
        const isSorted = merged.every((event, index) => {
          const previous = merged[index - 1];
          return previous === undefined || compareEvents(previous, event) < 0;
        });
        return isSorted && merged.length === rings.flat().length;
      }),
      RUNS,
    );
    t.pass('300 fleets');
  },
);
