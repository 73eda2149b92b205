import type {AdministrationMessage} from '../../administration/FleetTimeline.js';
import type {DaemonRecord, DaemonState} from 'jackdawcove-membership';

import {Timeline} from 'jackdawcove-timeline';
import t from 'tap';

import {
  FLEET_QUERY_TIMEOUT_MILLISECONDS,
  MAXIMUM_DAEMON_EVENTS,
} from '../../administration/AdministrationConstants.js';
import {
  administrationMessageSchema,
  FleetTimeline,
} from '../../administration/FleetTimeline.js';

type SentMessage = {
  readonly from: string;
  readonly message: AdministrationMessage;
  readonly to: string;
};
type FleetOptions = {
  readonly silentDaemons?: readonly string[];
  readonly states?: Readonly<Record<string, DaemonState>>;
};

const NAMES = ['erie-1', 'huron-1', 'ontario-1'];

function createMember(name: string, state: DaemonState): DaemonRecord {
  const address = {host: '127.0.0.1', port: 7103};
  return {
    address,
    administrationAddress: address,
    availabilityZone: 'erie-dock',
    incarnation: 1,
    isDraining: false,
    isVoter: false,
    ledgerGeneration: 0,
    name,
    region: 'lakes',
    state,
    version: 1,
  };
}

/** Creates a fleet whose messages are delivered when the test calls `deliver`. */
function createFleet({silentDaemons = [], states = {}}: FleetOptions = {}) {
  const queue: SentMessage[] = [];
  const clock = {now: 0};
  const members = NAMES.map((name) =>
    createMember(name, states[name] ?? 'alive'),
  );
  const daemons = new Map(
    NAMES.map((name, index) => {
      const timeline = new Timeline({
        availabilityZone: 'erie-dock',
        capacity: 4_096,
        vm: name,
      });
      // The wall clocks of the daemons differ by minutes.
      const wallNow = () => clock.now + 120_000 * (NAMES.length - index);
      const fleetTimeline = new FleetTimeline({
        clock: () => clock.now,
        createIdentifier: () => `query-${name}`,
        daemon: name,
        getMembers: () => members,
        send: (to, message) => {
          queue.push({from: name, message, to});
        },
        timeline: {
          getDropped: () => timeline.getDropped(),
          getEvents: (filter) => timeline.getEvents(filter),
          getStamp: () => timeline.getStamp(),
          observe: (stamp) => {
            timeline.observe(stamp, wallNow());
          },
        },
      });
      const record = (kind: string) => {
        timeline.record(kind, {}, wallNow());
      };
      return [name, {fleetTimeline, record}] as const;
    }),
  );
  const deliver = () => {
    for (let sent = queue.shift(); sent !== undefined; sent = queue.shift()) {
      if (!silentDaemons.includes(sent.to)) {
        const message = administrationMessageSchema.parse(sent.message);
        daemons.get(sent.to)?.fleetTimeline.receive(message, sent.from);
      }
    }
  };
  return {clock, daemons, deliver, queue};
}

t.test('merges the events of every daemon', async (t) => {
  const {daemons, deliver} = createFleet();
  for (const [name, {record}] of daemons) {
    record(name === 'erie-1' ? 'becameLeader' : 'recordApplied');
  }
  const answer = daemons.get('erie-1')?.fleetTimeline.query({});
  deliver();
  t.match(await answer, {answered: NAMES, isTruncated: false, missing: []});
  t.equal((await answer)?.events.length, 3);
});

t.test(
  'reports the daemons that did not answer, with the reason',
  async (t) => {
    const {clock, daemons, deliver} = createFleet({
      silentDaemons: ['huron-1'],
      states: {'ontario-1': 'unreachable'},
    });
    const fleetTimeline = daemons.get('erie-1')?.fleetTimeline;
    const answer = fleetTimeline?.query({});
    deliver();
    clock.now = FLEET_QUERY_TIMEOUT_MILLISECONDS - 1;
    fleetTimeline?.tick();
    clock.now += 1;
    fleetTimeline?.tick();
    t.strictSame((await answer)?.missing, [
      {daemon: 'ontario-1', reason: 'unreachable'},
      {daemon: 'huron-1', reason: 'noAnswer'},
    ]);
  },
);

t.test(
  'asks only the daemon of the VM in the filter, unless it has left',
  async (t) => {
    const {daemons, deliver, queue} = createFleet({
      states: {'ontario-1': 'left'},
    });
    daemons.get('huron-1')?.record('quarantineReleased');
    const fleetTimeline = daemons.get('erie-1')?.fleetTimeline;
    const answer = fleetTimeline?.query({vm: 'huron-1'});
    t.strictSame(
      queue.map(({to}) => to),
      ['huron-1'],
    );
    deliver();
    t.strictSame(
      (await answer)?.events.map(({kind}) => kind),
      ['quarantineReleased'],
    );
    t.match(await fleetTimeline?.query({vm: 'ontario-1'}), {missing: []});
  },
);

t.test(
  'limits and marks truncated answers; drops late and unexpected ones',
  async (t) => {
    const {clock, daemons, deliver, queue} = createFleet({
      silentDaemons: ['ontario-1'],
    });
    for (let count = 0; count < MAXIMUM_DAEMON_EVENTS + 5; count += 1) {
      daemons.get('huron-1')?.record('sessionOpened');
    }
    const fleetTimeline = daemons.get('erie-1')?.fleetTimeline;
    const answer = fleetTimeline?.query({});
    deliver();
    const late: AdministrationMessage = {
      dropped: 7,
      events: [],
      identifier: 'query-erie-1',
      isTruncated: false,
      kind: 'timelineAnswer',
      stamp: {counter: 0, wallMilliseconds: 0},
    };
    fleetTimeline?.receive(late, 'superior-1');
    fleetTimeline?.receive(late, 'huron-1');
    clock.now = FLEET_QUERY_TIMEOUT_MILLISECONDS;
    fleetTimeline?.tick();
    fleetTimeline?.receive(late, 'ontario-1');
    t.match(await answer, {
      answered: ['erie-1', 'huron-1'],
      dropped: 0,
      isTruncated: true,
    });
    t.equal((await answer)?.events.length, MAXIMUM_DAEMON_EVENTS);
    t.equal(queue.length, 0);
  },
);

const MALFORMED = [
  undefined,
  {kind: 'timelineQuery'},
  {kind: 'other'},
  {filter: {}, identifier: 'a', kind: 'timelineQuery', limit: 1e9, stamp: {}},
  {dropped: 0, events: [{}], identifier: 'a', kind: 'timelineAnswer'},
];

t.test('malformed messages do not match the schema', async (t) => {
  for (const message of MALFORMED) {
    t.notOk(administrationMessageSchema.safeParse(message).success);
  }
});
