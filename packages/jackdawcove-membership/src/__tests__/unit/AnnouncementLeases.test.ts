import type {Announcement, DaemonRecord} from '../../index.js';

import t from 'tap';

import {AnnouncementLeases, MembershipView} from '../../index.js';

const ADDRESS = {host: '10.0.0.1', port: 8_000};
const OTHER_ADDRESS = {host: '10.0.0.1', port: 8_001};

const ANNOUNCEMENT: Announcement = {
  address: ADDRESS,
  connections: 300,
  instance: 'shelf-1',
  processToken: 'first',
  service: 'shelf',
  slots: 35,
  state: 'ready',
};

function createView(
  holderIncarnation?: number,
  holderName = 'z',
): MembershipView {
  const local: DaemonRecord = {
    address: ADDRESS,
    administrationAddress: ADDRESS,
    availabilityZone: 'erie-dock',
    incarnation: 1,
    isDraining: false,
    isVoter: false,
    ledgerGeneration: 0,
    name: 'm',
    region: 'lakes',
    state: 'alive',
    version: 0,
  };
  const daemons = new Map([[local.name, local]]);
  if (holderIncarnation !== undefined) {
    daemons.set(holderName, {
      ...local,
      backendServer: {
        connections: 300,
        incarnation: holderIncarnation,
        instance: 'shelf-1',
        service: 'shelf',
        slots: 35,
        state: 'ready',
      },
      name: holderName,
    });
  }
  return new MembershipView('m', 0, daemons);
}

type Step = {
  readonly at: number;
  readonly change?: Partial<Announcement>;
  /** Expected incarnation of the lease, or undefined if it is refused. */
  readonly incarnation: number | undefined;
  readonly view?: MembershipView;
};

type Case = {readonly name: string; readonly steps: readonly Step[]};

const CASES: readonly Case[] = [
  {
    name: 'renewals keep the incarnation',
    steps: [
      {at: 0, incarnation: 1},
      {at: 1_000, incarnation: 1},
      {at: 2_000, change: {state: 'draining'}, incarnation: 1},
    ],
  },
  {
    name: 'an announcement after the lease expired starts a new incarnation',
    steps: [
      {at: 0, incarnation: 1},
      {at: 3_000, incarnation: 2},
    ],
  },
  {
    name: 'two processes of one instance: the second one is refused',
    steps: [
      {at: 0, incarnation: 1},
      {
        at: 100,
        change: {address: OTHER_ADDRESS, processToken: 'second'},
        incarnation: undefined,
      },
      {at: 1_000, incarnation: 1},
      {
        at: 4_000,
        change: {address: OTHER_ADDRESS, processToken: 'second'},
        incarnation: 2,
      },
    ],
  },
  {
    name: 'a restarted process with the same address takes over immediately',
    steps: [
      {at: 0, incarnation: 1},
      {at: 100, change: {processToken: 'second'}, incarnation: 2},
      {at: 200, incarnation: undefined},
      {at: 300, change: {processToken: 'second'}, incarnation: 2},
    ],
  },
  {
    name: 'another instance reuses the address',
    steps: [
      {at: 0, incarnation: 1},
      {
        at: 100,
        change: {instance: 'labels-1', processToken: 'x', service: 'labels'},
        incarnation: 2,
      },
    ],
  },
  {
    name: 'an instance is refused while another daemon announces it',
    steps: [
      {at: 0, incarnation: undefined, view: createView(7)},
      {at: 1_000, incarnation: 1},
    ],
  },
  {
    name: 'the daemon with the lower incarnation keeps its lease',
    steps: [
      {at: 0, incarnation: 1},
      {at: 1_000, incarnation: 1, view: createView(7)},
    ],
  },
  {
    name: 'the daemon with the higher incarnation loses its lease',
    steps: [
      {at: 0, incarnation: 1},
      {at: 1_000, incarnation: undefined, view: createView(0)},
    ],
  },
  {
    name: 'equal incarnations: the smaller daemon name keeps the lease',
    steps: [
      {at: 0, incarnation: 1},
      {at: 500, incarnation: 1, view: createView(1, 'z')},
      {at: 1_000, incarnation: undefined, view: createView(1, 'a')},
    ],
  },
];

for (const {name, steps} of CASES) {
  t.test(name, async (t) => {
    let incarnation = 0;
    const leases = new AnnouncementLeases(() => {
      incarnation += 1;
      return incarnation;
    });
    for (const {at, change, incarnation: expected, view} of steps) {
      const currentView = view ?? createView();
      leases.resolveConflict(currentView);
      const result = leases.announce(
        {...ANNOUNCEMENT, ...change},
        currentView,
        at,
      );
      t.equal(
        result.map((lease) => lease.incarnation).unwrapOr(-1),
        expected ?? -1,
        `at ${String(at)}`,
      );
    }
  });
}

t.test('a lease ends on withdrawal and on a long pause', async (t) => {
  const leases = new AnnouncementLeases(() => 1);
  const view = createView();
  leases.announce(ANNOUNCEMENT, view, 0);
  t.ok(leases.withdraw({...ANNOUNCEMENT, processToken: 'other'}, 1).isErr);
  t.equal(leases.getLeaseHolder(2)?.incarnation, 1);
  t.ok(leases.withdraw(ANNOUNCEMENT, 3).isOk);
  t.equal(leases.getLeaseHolder(4), undefined);
  leases.announce(ANNOUNCEMENT, view, 10);
  t.equal(
    leases.getLeaseHolder(30_010),
    undefined,
    'expired without a call to expire',
  );
  t.ok(
    leases.announce(
      {...ANNOUNCEMENT, address: OTHER_ADDRESS, processToken: 'second'},
      view,
      30_010,
    ).isOk,
    'another process gets the lease after the pause',
  );
});

t.test('a process that drains', async (t) => {
  const STARTED = {...ANNOUNCEMENT, sequence: 4, startedAt: 17_000};

  t.test('stays draining, whatever it announces later', async (t) => {
    const leases = new AnnouncementLeases(() => 1);
    const view = createView();
    leases.announce(STARTED, view, 0);
    leases.drain(17_000);
    t.equal(leases.getRecord()?.state, 'draining');
    leases.announce({...STARTED, sequence: 5}, view, 1_000);
    t.equal(leases.getRecord()?.state, 'draining');
    const next = {processToken: 'second', sequence: 1, startedAt: 18_000};
    leases.announce({...STARTED, ...next}, view, 2_000);
    t.equal(leases.getRecord()?.state, 'ready', 'its next process is ready');
    t.equal(leases.getRecord()?.incarnation, 18_000);
  });

  t.test('is recognized by its start after a restart', async (t) => {
    const first = new AnnouncementLeases(() => 1);
    const second = new AnnouncementLeases(() => 2);
    for (const leases of [first, second]) {
      leases.announce(STARTED, createView(), 0);
      t.equal(leases.getRecord()?.incarnation, 17_000);
    }
  });
});

const PROCESS: Announcement = {
  ...ANNOUNCEMENT,
  processToken: '17000',
  sequence: 4,
  startedAt: 17_000,
};
const SUCCESSOR: Announcement = {
  ...ANNOUNCEMENT,
  processToken: '19000',
  sequence: 1,
  startedAt: 19_000,
};
const EARLIER = {
  connections: 300,
  incarnation: 17_000,
  instance: 'shelf-1',
  service: 'shelf',
  slots: 35,
  state: 'ready',
} as const;
/** Unix time of the daemon, in milliseconds. */
const WALL_TIME = 18_000;
const LEASE_MILLISECONDS = 3_000;

type Withdrawn = {
  /** Announcement long before the withdrawal. */
  readonly before?: Announcement;
  readonly earlier?: typeof EARLIER;
  readonly name: string;
  /** State and incarnation that are published after the withdrawal. */
  readonly published: readonly [string, number] | undefined;
  readonly withdrawal: Parameters<AnnouncementLeases['withdraw']>[0];
};

const WITHDRAWN: readonly Withdrawn[] = [
  {
    name: 'of a named process that the fleet does not know',
    published: undefined,
    withdrawal: {
      instance: 'shelf-1',
      processToken: '17000',
      startedAt: 17_000,
    },
  },
  {
    name: 'of an instance that the fleet does not know',
    published: undefined,
    withdrawal: {instance: 'shelf-1'},
  },
  {
    earlier: EARLIER,
    name: 'of an instance that an earlier process of the daemon published',
    published: ['draining', 17_000],
    withdrawal: {instance: 'shelf-1'},
  },
  {
    before: PROCESS,
    name: 'of an instance whose lease has expired',
    published: ['draining', 17_000],
    withdrawal: {instance: 'shelf-1'},
  },
  {
    before: PROCESS,
    name: 'of a named process whose lease has expired',
    published: ['draining', 17_000],
    withdrawal: PROCESS,
  },
  {
    before: {
      ...SUCCESSOR,
      instance: 'labels-1',
      service: 'labels',
      startedAt: 16_000,
    },
    earlier: EARLIER,
    name: 'of another instance than the one whose lease has expired',
    published: ['draining', 17_000],
    withdrawal: {instance: 'shelf-1'},
  },
];

// Guards against instances that have left and are used again, because the daemon had no
// lease when they withdrew (review/8).
for (const {before, earlier, name, published, withdrawal} of WITHDRAWN) {
  t.test(`a withdrawal without a lease, ${name}`, async (t) => {
    const leases = new AnnouncementLeases(() => WALL_TIME, LEASE_MILLISECONDS);
    const view = createView();
    if (before !== undefined) {
      t.ok(leases.announce(before, view, 0).isOk);
    }
    t.ok(leases.withdraw(withdrawal, 10_000, earlier).isOk);
    const record = leases.getRecord();
    t.strictSame(record && [record.state, record.incarnation], published);
    for (const [delay, sequence] of [5, 6, 7].entries()) {
      const late = {...PROCESS, sequence};
      t.ok(leases.announce(late, view, 10_100 + 900 * delay).isErr);
    }
    t.ok(leases.announce(SUCCESSOR, view, 12_500).isOk, 'its next process');
    t.equal(leases.getRecord()?.state, 'ready');
  });
}

t.test('a withdrawal while another process holds the lease', async (t) => {
  const leases = new AnnouncementLeases(() => WALL_TIME, LEASE_MILLISECONDS);
  const view = createView();
  const other = {...ANNOUNCEMENT, instance: 'shelf-2', processToken: 'other'};
  t.ok(leases.announce(other, view, 0).isOk);
  t.ok(leases.withdraw({instance: 'shelf-1'}, 100).isErr);
  const late = {...ANNOUNCEMENT, sequence: 4};
  t.ok(leases.announce(late, view, 200).isErr, 'the late one gets no lease');
  t.equal(leases.getLeaseHolder(300)?.announcement.instance, 'shelf-2');
});

t.test('a process that withdrew and runs on gets the lease back', async (t) => {
  const leases = new AnnouncementLeases(() => WALL_TIME, LEASE_MILLISECONDS);
  const view = createView();
  t.ok(leases.withdraw({instance: 'shelf-1'}, 0).isOk);
  const announce = (at: number, sequence: number) =>
    leases.announce({...PROCESS, sequence}, view, at).isOk;
  t.equal(announce(2_900, 5), false, 'it may be late');
  t.equal(announce(3_900, 6), true);
  t.equal(announce(4_900, 7), true);
});

t.test(
  'a draining process whose lease expired is not ready again',
  async (t) => {
    const leases = new AnnouncementLeases(() => WALL_TIME, LEASE_MILLISECONDS);
    const view = createView();
    const draining = {...PROCESS, sequence: 9, state: 'draining'} as const;
    t.ok(leases.announce(draining, view, 0).isOk);
    t.ok(leases.announce(PROCESS, view, 5_000).isErr, 'a delayed announcement');
    t.equal(leases.getRecord(), undefined);
  },
);
