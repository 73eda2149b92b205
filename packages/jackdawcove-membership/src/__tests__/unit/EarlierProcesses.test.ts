/** Tests what a restarted daemon learns of the backend server beside it. */

import type {Announcement, BackendServerRecord} from '../../index.js';

import t from 'tap';

import {FailureDetector} from '../../FailureDetector.js';
import {AnnouncementLeases, MembershipView} from '../../index.js';
import {FakeFleet} from '../FakeFleet.js';

const LEASE_MILLISECONDS = 3_000;
/** Lives of processes, of which some end before the first answer. */
const LIVES = [1, 2, 3, 4, 5, 6, 8, 10, 20];
const RECORD: BackendServerRecord = {
  connections: 300,
  incarnation: 17_000,
  instance: 'shelf-1',
  service: 'shelf',
  slots: 35,
  state: 'draining',
};

type Row = {
  readonly expected: readonly BackendServerRecord[];
  readonly name: string;
  /** Time from the publication to the end of the process. */
  readonly runMilliseconds: number;
  readonly state: BackendServerRecord['state'];
};

const ROWS: readonly Row[] = [
  {
    expected: [RECORD],
    name: 'one that was draining',
    runMilliseconds: 1_000,
    state: 'draining',
  },
  {
    expected: [RECORD],
    name: 'one that began to drain just before the end of the process',
    runMilliseconds: 0,
    state: 'draining',
  },
  {
    expected: [],
    name: 'one that was ready',
    runMilliseconds: 1_000,
    state: 'ready',
  },
];

function startFleet(): FakeFleet {
  const fleet = new FakeFleet({daemonCount: 8, seed: 7, zoneCount: 2});
  fleet.startAll();
  fleet.run(5_000);
  return fleet;
}

/** Starts a fleet and returns one of its daemons, and what publishes its backend server. */
function startNode(): {
  readonly fleet: FakeFleet;
  readonly node: FakeFleet['nodes'][number];
  readonly publish: (record: BackendServerRecord) => void;
} {
  const fleet = startFleet();
  const node = fleet.nodes[5];
  if (node === undefined) {
    throw new Error('the fleet must have six daemons');
  }
  return {
    fleet,
    node,
    publish: (record) => {
      fleet.command(node, (membership) =>
        membership.setBackendServer(record, fleet.now),
      );
    },
  };
}

// Guards against instances that have left and are used again after a restart of the
// daemon beside them (review/4).
for (const {expected, name, runMilliseconds, state} of ROWS) {
  t.test(`a restarted daemon learns of ${name}`, async (t) => {
    const {fleet, node, publish} = startNode();
    publish({...RECORD, state: 'ready'});
    fleet.run(1_000);
    publish({...RECORD, state});
    fleet.run(runMilliseconds);
    node.isRunning = false;
    fleet.run(400);
    fleet.restart(node);
    publish({...RECORD, state: 'ready'});
    const getState = (): string | undefined =>
      node.membership.getView().getLocalDaemon()?.backendServer?.state;
    t.equal(getState(), undefined, 'published by nobody before it knows');
    fleet.run(1_000);
    t.strictSame(
      [
        ...new Map(
          node.earlierBackendServers.map((each) => [each.state, each]),
        ),
      ].map(([, each]) => each),
      expected,
    );
    publish({...RECORD, state: 'ready'});
    t.equal(getState(), 'ready');
  });
}

t.test('a process that ends before it knows loses nothing', async (t) => {
  const {fleet, node, publish} = startNode();
  publish({...RECORD, state: 'ready'});
  fleet.run(1_000);
  publish(RECORD);
  fleet.run(300);
  for (const milliseconds of LIVES) {
    node.isRunning = false;
    fleet.run(300);
    fleet.restart(node);
    publish({...RECORD, state: 'ready'});
    const until = fleet.now + milliseconds;
    while (fleet.now < until) {
      fleet.step();
    }
  }
  node.isRunning = false;
  node.earlierBackendServers.length = 0;
  fleet.run(300);
  fleet.restart(node);
  fleet.run(1_000);
  t.strictSame(node.earlierBackendServers[0], RECORD);
});

t.test('a daemon that hears of nobody publishes after a time', async (t) => {
  const {fleet, node, publish} = startNode();
  for (const other of fleet.nodes) {
    other.isRunning = false;
  }
  fleet.restart(node);
  fleet.run(2_000);
  publish({...RECORD, state: 'ready'});
  const {backendServer} = node.membership.getView().getLocalDaemon() ?? {};
  t.equal(backendServer?.state, 'ready');
});

const STARTED: Announcement = {
  address: {host: '10.0.0.1', port: 8_000},
  connections: 300,
  instance: 'shelf-1',
  processToken: 'first',
  sequence: 4,
  service: 'shelf',
  slots: 35,
  startedAt: 17_000,
  state: 'ready',
};
const VIEW = new MembershipView('m', 0, new Map());

type Step = {
  readonly apply: (leases: AnnouncementLeases, now: number) => void;
  readonly at: number;
  /** State and incarnation that are published then; undefined if nothing is. */
  readonly published: readonly [string, number] | undefined;
};

function announce(changes: Partial<Announcement> = {}): Step['apply'] {
  return (leases, now) => {
    leases.announce({...STARTED, ...changes}, VIEW, now);
  };
}

const adopt: Step['apply'] = (leases, now) => {
  leases.adopt(RECORD, now);
};
const withdraw: Step['apply'] = (leases, now) => {
  leases.withdraw(STARTED, now);
};
const expire: Step['apply'] = (leases, now) => {
  leases.expire(now);
};
const SECOND = {processToken: 'second', sequence: 1, startedAt: 18_000};

const CASES: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
}[] = [
  {
    name: 'a process that withdrew remains published as draining for a lease',
    steps: [
      {apply: announce(), at: 0, published: ['ready', 17_000]},
      {apply: withdraw, at: 100, published: ['draining', 17_000]},
      {apply: expire, at: 3_000, published: ['draining', 17_000]},
      {apply: expire, at: 3_100, published: undefined},
    ],
  },
  {
    name: 'a late announcement after a restart of the daemon is draining',
    steps: [
      {apply: adopt, at: 0, published: ['draining', 17_000]},
      {apply: announce(), at: 100, published: ['draining', 17_000]},
      {
        apply: announce({sequence: 5}),
        at: 200,
        published: ['draining', 17_000],
      },
    ],
  },
  {
    name: 'a late announcement that came first is draining as well',
    steps: [
      {apply: announce(), at: 0, published: ['ready', 17_000]},
      {apply: adopt, at: 100, published: ['draining', 17_000]},
    ],
  },
  {
    name: 'the next process of the instance is ready at once',
    steps: [
      {apply: adopt, at: 0, published: ['draining', 17_000]},
      {apply: announce(SECOND), at: 100, published: ['ready', 18_000]},
      {apply: adopt, at: 200, published: ['ready', 18_000]},
      {apply: announce(), at: 300, published: ['ready', 18_000]},
    ],
  },
];

for (const {name, steps} of CASES) {
  t.test(name, async (t) => {
    const leases = new AnnouncementLeases(() => 1, LEASE_MILLISECONDS);
    for (const {apply, at, published} of steps) {
      apply(leases, at);
      const record = leases.getRecord();
      t.strictSame(
        record && [record.state, record.incarnation],
        published,
        `at ${String(at)}`,
      );
    }
  });
}

// Guards against late acknowledgements that let a silent daemon pass for an alive one.
t.test(
  'an acknowledgement for the process before matches no probe',
  async (t) => {
    const [first, second] = [1_764_806_400_000, 1_764_806_400_900].map(
      (incarnation) => {
        const local = {availabilityZone: 'a', incarnation, name: 'vm-0'};
        const detector = new FailureDetector(local, () => 0);
        const {nodes} = startFleet();
        const records = nodes[0]?.membership.getView().getDaemons() ?? [];
        const [probe] = detector.startProbes(records, 0);
        return {detector, number: probe?.number ?? 0};
      },
    );
    t.equal(second?.detector.acknowledge(first?.number ?? 0), false);
    t.equal(second?.detector.acknowledge(second.number), true);
  },
);
