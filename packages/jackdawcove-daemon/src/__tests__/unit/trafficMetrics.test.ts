import type {DaemonHost} from '../../DaemonHost.js';
import type {MembershipService} from '../../membership/MembershipService.js';
import type {SentByteCount} from 'jackdawcove-session';

import t from 'tap';

import {registerTrafficMetrics} from '../../transport/registerTrafficMetrics.js';

const DAEMONS = [
  {
    address: {host: '127.0.0.1', port: 1},
    availabilityZone: 'erie-dock',
    name: 'vm-1',
  },
  {
    address: {host: '127.0.0.2', port: 1},
    availabilityZone: 'huron-yard',
    name: 'vm-2',
  },
];

const CASES = [
  {destination: 'vm-1', name: 'traffic.ownZone.offer'},
  {destination: 'vm-2', name: 'traffic.otherZones.offer'},
  {destination: '127.0.0.1:1', name: 'traffic.ownZone.offer'},
  {destination: '127.0.0.2:1', name: 'traffic.otherZones.offer'},
  {destination: '127.0.0.3:1', name: 'traffic.unknownZone.offer'},
];

function startTraffic(pending: SentByteCount[]) {
  const counts = new Map<string, number>();
  const logged: unknown[] = [];
  let tick = (): void => undefined;
  const host = {
    log: {info: (fields: unknown) => logged.push(fields)},
    metrics: {
      increment: (name: string, count: number) =>
        counts.set(name, (counts.get(name) ?? 0) + count),
    },
    registerTicker: (_interval: number, onTick: () => void) => {
      tick = onTick;
      return () => undefined;
    },
    settings: {daemon: {availabilityZone: 'erie-dock'}},
  } as unknown as DaemonHost;
  const membership = {
    getView: () => ({getDaemons: () => DAEMONS}),
  } as unknown as MembershipService;
  const teardown = registerTrafficMetrics(
    host,
    {takeSentBytes: () => pending.splice(0)},
    membership,
  );
  return {
    counts,
    logged,
    teardown,
    tick: () => {
      tick();
    },
  };
}

t.test('bytes are counted by the zone of their destination', async (t) => {
  for (const {destination, name} of CASES) {
    t.test(`${destination} as ${name}`, async (t) => {
      const traffic = startTraffic([
        {byteCount: 12, destination, kind: 'offer'},
      ]);
      traffic.tick();
      t.same([...traffic.counts], [[name, 12]]);
    });
  }
});

t.test('the sums to other zones are logged at the end', async (t) => {
  const pending = [
    {byteCount: 12, destination: 'vm-1', kind: 'offer'},
    {byteCount: 30, destination: 'vm-2', kind: 'offer'},
  ];
  const traffic = startTraffic(pending);
  traffic.tick();
  pending.push({byteCount: 3, destination: 'vm-2', kind: 'offer'});
  traffic.teardown();
  t.same(traffic.logged, [{byteCounts: {offer: 33}}]);
  t.equal(traffic.counts.get('traffic.otherZones.offer'), 33);
});
