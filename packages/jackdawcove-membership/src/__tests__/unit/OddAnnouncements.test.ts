/** Tests that a running process recovers its lease from wrong announcements. */

import type {Announcement} from '../../index.js';

import t from 'tap';

import {
  AnnouncementLeases,
  findAnnouncementFault,
  MembershipView,
} from '../../index.js';

const STARTED_AT = 1_764_806_400_000;
const LEASE_MS = 8_000;
const INTERVAL_MS = 1_500;
const VIEW = new MembershipView('m', 1, new Map());

const SOUND: Announcement = {
  address: {host: '10.0.0.1', port: 8_000},
  connections: 35,
  instance: 'shelf-1',
  processToken: String(STARTED_AT),
  sequence: 10,
  service: 'shelf',
  slots: 35,
  startedAt: STARTED_AT,
  state: 'ready',
};

function createLeases(): AnnouncementLeases {
  return new AnnouncementLeases(() => 1, LEASE_MS, INTERVAL_MS);
}

const LATER_START = {
  processToken: String(STARTED_AT + 4_000),
  startedAt: STARTED_AT + 4_000,
};

const ODD: readonly {
  readonly changes: Partial<Announcement>;
  readonly name: string;
}[] = [
  {
    changes: {...LATER_START, state: 'draining'},
    name: 'a later start, draining',
  },
  {
    changes: {...LATER_START, service: 'labels'},
    name: 'a later start, another service',
  },
  {
    changes: {...LATER_START, instance: 'shelf-2'},
    name: 'a later start, another instance',
  },
  {
    changes: {sequence: 900, state: 'draining'},
    name: 'a larger sequence, draining',
  },
  {
    changes: {instance: 'shelf-2', sequence: 900},
    name: 'a larger sequence, another instance',
  },
];

for (const {changes, name} of ODD) {
  t.test(`the running process recovers from ${name}`, async (t) => {
    const leases = createLeases();
    leases.announce(SOUND, VIEW, 0);
    leases.announce({...SOUND, ...changes}, VIEW, 500);
    for (const [step, at] of [1_500, 3_000, 4_500, 6_000].entries()) {
      const announcement = {...SOUND, sequence: 11 + step};
      const result = leases.announce(announcement, VIEW, at);
      const isHolder =
        leases.getLeaseHolder(at)?.announcement.sequence === 11 + step;
      t.equal(result.isOk, isHolder, 'acknowledged only if effective');
      t.equal(isHolder, at >= 3_000, `at ${String(at)}`);
    }
    const {incarnation, instance, state} = leases.getRecord() ?? {};
    t.same(
      {incarnation, instance, state},
      {incarnation: STARTED_AT, instance: 'shelf-1', state: 'ready'},
    );
  });
}

type Step = {
  readonly at: number;
  readonly changes?: Partial<Announcement>;
  readonly isAccepted: boolean;
};

const NEXT = {
  processToken: String(STARTED_AT + 60_000),
  sequence: 1,
  startedAt: STARTED_AT + 60_000,
};

const GENUINE: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
}[] = [
  {
    name: 'delayed announcements do not displace a process that renews',
    steps: [
      {at: 0, changes: NEXT, isAccepted: true},
      {at: 1_000, changes: {sequence: 7}, isAccepted: false},
      {at: 1_500, changes: {...NEXT, sequence: 2}, isAccepted: true},
      {at: 2_200, changes: {sequence: 8}, isAccepted: false},
      {at: 3_000, changes: {...NEXT, sequence: 3}, isAccepted: true},
      {at: 3_700, changes: {sequence: 9}, isAccepted: false},
    ],
  },
  {
    name: 'a burst of delayed announcements does not displace a late renewal',
    steps: [
      {at: 0, changes: NEXT, isAccepted: true},
      {at: 2_400, changes: {sequence: 7}, isAccepted: false},
      {at: 2_410, changes: {sequence: 8}, isAccepted: false},
      {at: 2_420, changes: {sequence: 9}, isAccepted: false},
      {at: 2_430, changes: {...NEXT, sequence: 2}, isAccepted: true},
    ],
  },
  {
    name: 'delayed announcements that come out of order displace nobody',
    steps: [
      {at: 0, changes: NEXT, isAccepted: true},
      {at: 2_000, changes: {sequence: 9}, isAccepted: false},
      {at: 3_000, changes: {sequence: 8}, isAccepted: false},
      {at: 4_000, changes: {sequence: 7}, isAccepted: false},
    ],
  },
  {
    name: 'a process that was displaced takes over with its next announcement',
    steps: [
      {at: 0, changes: NEXT, isAccepted: true},
      {at: 2_000, changes: {sequence: 8}, isAccepted: false},
      {at: 3_000, changes: {sequence: 9}, isAccepted: true},
      {at: 3_100, changes: {...NEXT, sequence: 2}, isAccepted: true},
    ],
  },
  {
    name: 'a repeated announcement is acknowledged again',
    steps: [
      {at: 0, isAccepted: true},
      {at: 900, isAccepted: true},
    ],
  },
  {
    name: 'an instance of another service takes over the address',
    steps: [
      {at: 0, isAccepted: true},
      {
        at: 500,
        changes: {...NEXT, instance: 'labels-1', service: 'labels'},
        isAccepted: true,
      },
    ],
  },
];

for (const {name, steps} of GENUINE) {
  t.test(name, async (t) => {
    const leases = createLeases();
    for (const {at, changes, isAccepted} of steps) {
      const result = leases.announce({...SOUND, ...changes}, VIEW, at);
      t.equal(result.isOk, isAccepted, `at ${String(at)}`);
    }
  });
}

t.test('a process that runs on after a withdrawal is accepted', async (t) => {
  const leases = createLeases();
  leases.announce(SOUND, VIEW, 0);
  t.ok(leases.withdraw({instance: 'shelf-1'}, 100).isOk);
  for (const [step, at] of [1_500, 3_000, 4_500, 6_000, 7_500].entries()) {
    const announcement = {...SOUND, sequence: 11 + step};
    t.ok(leases.announce(announcement, VIEW, at).isErr, `at ${String(at)}`);
  }
  t.ok(leases.announce({...SOUND, sequence: 16}, VIEW, 9_000).isOk);
});

t.test('plausibility by the clock of the daemon', async (t) => {
  const now = {maximumSkewMilliseconds: 5_000, wallTime: STARTED_AT + 60_000};
  const rows = [
    {expected: undefined, startedAt: undefined},
    {expected: undefined, startedAt: 0},
    {expected: undefined, sequence: 40, startedAt: STARTED_AT},
    {expected: undefined, sequence: 1, startedAt: STARTED_AT + 65_000},
    {expected: undefined, sequence: 90, startedAt: STARTED_AT + 63_000},
    {expected: /startedAt/, startedAt: STARTED_AT + 65_001},
    {expected: /startedAt/, startedAt: Number.MAX_SAFE_INTEGER},
    {expected: undefined, sequence: STARTED_AT * 1_000, startedAt: STARTED_AT},
    {expected: undefined, sequence: STARTED_AT, startedAt: undefined},
    {
      expected: /sequence/,
      sequence: (STARTED_AT + 65_000) * 1_000 + 1,
      startedAt: STARTED_AT,
    },
    {
      expected: /sequence/,
      sequence: Number.MAX_SAFE_INTEGER,
      startedAt: undefined,
    },
  ];
  for (const {expected, ...announcement} of rows) {
    const fault = findAnnouncementFault(announcement, now);
    t.match(fault, expected, JSON.stringify(announcement));
    t.equal(fault === undefined, expected === undefined);
  }
});
