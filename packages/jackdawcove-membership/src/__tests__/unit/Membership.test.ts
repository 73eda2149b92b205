import t from 'tap';

import {FakeFleet, NO_FAULTS} from '../FakeFleet.js';

const LIMIT_MS = 60_000;

t.test('a fleet converges and propagates changes', async (t) => {
  const cases = [
    {daemonCount: 2, faults: NO_FAULTS, name: 'two daemons', zoneCount: 1},
    {daemonCount: 16, faults: NO_FAULTS, name: 'four zones', zoneCount: 4},
    {
      daemonCount: 24,
      faults: {duplication: 0.2, loss: 0.1, maximumDelayMs: 80},
      name: 'lossy network',
      zoneCount: 3,
    },
  ];
  for (const {daemonCount, faults, name, zoneCount} of cases) {
    const fleet = new FakeFleet({
      daemonCount,
      faults,
      seed: 7,
      zoneCount,
    });
    fleet.startAll();
    fleet.run(LIMIT_MS, () => fleet.isConverged());
    t.ok(fleet.isConverged(), `${name}: converged`);
    const [drained] = fleet.nodes;
    if (drained === undefined) {
      return;
    }
    fleet.command(drained, (membership) => membership.drain(fleet.now));
    const spreadMs = fleet.run(LIMIT_MS, () =>
      fleet.isMetEverywhere(
        ({membership}) =>
          membership.getView().getDaemon(drained.name)?.isDraining === true,
      ),
    );
    t.ok(spreadMs < 1_000, `${name}: drain seen after ${String(spreadMs)} ms`);
    t.ok(fleet.maximumDatagramBytes <= 1_000, `${name}: datagrams are bounded`);
  }
});

t.test('a joint start sends no datagram without gossip', async (t) => {
  const fleet = new FakeFleet({daemonCount: 60, seed: 11, zoneCount: 4});
  fleet.startAll();
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  for (const node of fleet.nodes) {
    fleet.command(node, (membership) => membership.drain(fleet.now));
  }
  const isDrainKnown = (): boolean =>
    fleet.isMetEverywhere(({membership}) =>
      membership
        .getView()
        .getDaemons()
        .every(({isDraining}) => isDraining),
    );
  fleet.run(LIMIT_MS, isDrainKnown);
  t.ok(isDrainKnown(), 'more news than the budget of gossip still spreads');
  t.equal(fleet.emptyGossipDatagrams, 0);
});

t.test('a daemon goes through its states', async (t) => {
  const fleet = new FakeFleet({daemonCount: 12, seed: 3, zoneCount: 3});
  fleet.startAll();
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  const [, , , victim, leaver] = fleet.nodes;
  if (victim === undefined || leaver === undefined) {
    return;
  }
  const hasState = (name: string, state: string) => (): boolean =>
    fleet.isMetEverywhere(
      ({membership}) => membership.getView().getDaemon(name)?.state === state,
    );
  victim.isRunning = false;
  fleet.run(LIMIT_MS, hasState(victim.name, 'unreachable'));
  t.ok(
    hasState(victim.name, 'unreachable')(),
    'crash: unreachable, record kept',
  );
  fleet.restart(victim);
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  t.ok(fleet.isConverged(), 'restart: alive with a new incarnation');
  victim.isPaused = true;
  fleet.run(30_000);
  t.ok(
    fleet.isMetEverywhere(
      (node) =>
        node === victim ||
        node.membership.getView().getDaemon(victim.name)?.state ===
          'unreachable',
    ),
    'pause of 30 s: unreachable',
  );
  victim.isPaused = false;
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  t.ok(fleet.isConverged(), 'resumed: alive again');
  fleet.command(leaver, (membership) => membership.leave(fleet.now));
  fleet.run(1_000);
  leaver.isRunning = false;
  t.ok(hasState(leaver.name, 'left')(), 'graceful stop: left');
  fleet.run(20_000);
  t.ok(hasState(leaver.name, 'left')(), 'stays left');
});

t.test('an isolated zone is unreachable until it reconnects', async (t) => {
  const fleet = new FakeFleet({daemonCount: 16, seed: 5, zoneCount: 4});
  fleet.startAll();
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  for (const round of [1, 2]) {
    fleet.isolateZone('zone-1');
    fleet.run(LIMIT_MS);
    t.ok(
      fleet.isMetEverywhere(({membership, zone}) =>
        membership
          .getView()
          .getDaemons()
          .every(
            ({availabilityZone, state}) =>
              (availabilityZone === 'zone-1') === (zone === 'zone-1') ||
              state === 'unreachable',
          ),
      ),
      `isolation ${String(round)}: each side sees the other unreachable`,
    );
    t.ok(
      fleet.isMetEverywhere(
        ({membership}) => membership.getView().getDaemons().length === 16,
      ),
      `isolation ${String(round)}: records are kept`,
    );
    fleet.reconnectZone('zone-1');
    fleet.run(LIMIT_MS, () => fleet.isConverged());
    t.ok(fleet.isConverged(), `reconnection ${String(round)}: converged`);
  }
});

t.test('a restarted process reuses the old incarnation', async (t) => {
  const fleet = new FakeFleet({daemonCount: 5, seed: 9, zoneCount: 1});
  fleet.startAll();
  fleet.run(LIMIT_MS, () => fleet.isConverged());
  const node = fleet.nodes[4];
  if (node === undefined) {
    return;
  }
  fleet.command(node, (membership) => membership.drain(fleet.now));
  fleet.run(2_000);
  node.incarnation -= 1;
  fleet.restart(node);
  // Same version as in the previous process, but other content.
  fleet.command(node, (membership) =>
    membership.setLedgerGeneration(5, fleet.now),
  );
  const isKnown = (): boolean =>
    fleet.isMetEverywhere(({membership}) => {
      const record = membership.getView().getDaemon(node.name);
      return record?.isDraining === false && record.ledgerGeneration === 5;
    });
  fleet.run(LIMIT_MS, isKnown);
  t.ok(isKnown(), 'every daemon has the record of the new process');
});
