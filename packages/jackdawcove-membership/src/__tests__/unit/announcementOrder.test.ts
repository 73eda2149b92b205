import type {Announcement} from '../../index.js';

import t from 'tap';

import {AnnouncementLeases, MembershipView} from '../../index.js';

const FIRST: Announcement = {
  address: {host: '10.0.0.1', port: 8_000},
  connections: 35,
  instance: 'shelf-1',
  processToken: '1000',
  sequence: 4,
  service: 'shelf',
  slots: 35,
  startedAt: 1_000,
  state: 'ready',
};
const DRAINING: Announcement = {...FIRST, sequence: 5, state: 'draining'};
const NEXT_PROCESS: Announcement = {
  ...FIRST,
  processToken: '2000',
  sequence: 1,
  startedAt: 2_000,
};

type Case = {
  readonly announced: readonly Announcement[];
  readonly expected: Partial<Announcement> | undefined;
  readonly name: string;
};

const CASES: readonly Case[] = [
  {
    announced: [FIRST, DRAINING],
    expected: {state: 'draining'},
    name: 'a later announcement marks the server as draining',
  },
  {
    announced: [FIRST, DRAINING, FIRST],
    expected: {state: 'draining'},
    name: 'a delayed announcement does not undo a drain',
  },
  {
    announced: [FIRST, NEXT_PROCESS],
    expected: {processToken: '2000'},
    name: 'a new process restarts the sequence',
  },
  {
    announced: [NEXT_PROCESS, {...FIRST, sequence: 90}],
    expected: {processToken: '2000'},
    name: 'a delayed announcement of an earlier process is ignored',
  },
];

const VIEW = new MembershipView('m', 1, new Map());

for (const {announced, expected, name} of CASES) {
  t.test(name, async (t) => {
    let incarnation = 0;
    const leases = new AnnouncementLeases(() => (incarnation += 1));
    for (const announcement of announced) {
      leases.announce(announcement, VIEW, 0);
    }
    t.match(leases.getLeaseHolder(1)?.announcement, expected);
  });
}

t.test('a delayed announcement after the withdrawal is refused', async (t) => {
  const leases = new AnnouncementLeases(() => 1);
  leases.announce(FIRST, VIEW, 0);
  t.ok(leases.withdraw({instance: 'shelf-1'}, 1).isOk);
  t.ok(leases.announce(DRAINING, VIEW, 2).isErr);
  t.equal(leases.getLeaseHolder(2), undefined);
});

t.test('a withdrawal by an earlier process is refused', async (t) => {
  const leases = new AnnouncementLeases(() => 1);
  leases.announce(NEXT_PROCESS, VIEW, 0);
  const withdrawal = {instance: 'shelf-1', processToken: '1000'};
  t.ok(leases.withdraw(withdrawal, 1).isErr);
  t.equal(leases.getLeaseHolder(1)?.announcement.processToken, '2000');
});

t.test('a lease with a configured duration', async (t) => {
  const leases = new AnnouncementLeases(() => 1, 8_000);
  leases.announce(FIRST, VIEW, 0);
  t.ok(leases.getLeaseHolder(7_999));
  t.equal(leases.getLeaseHolder(8_000), undefined);
});
