import type {DroppedTraffic} from '../fixtures/LinkForwarder.js';
import type {TestHandler} from '../fixtures/TestBackendServer.js';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {createTestFolder} from '../fixtures/createTestFolder.js';
import {waitUntilLedgerServes} from '../fixtures/HeldCalls.js';
import {TestFleet} from '../fixtures/TestFleet.js';

const SILENT_CASES: readonly DroppedTraffic[] = ['both', 'answers', 'requests'];

const serve: TestHandler = (incoming, outgoing) => {
  incoming.resume();
  setTimeout(() => outgoing.end('whole'), 200);
};

t.test('open sessions that go silent', async (t) => {
  const fleet: TestFleet = new TestFleet({
    handler: serve,
    hasLinks: true,
    size: 3,
    slots: 32,
    votersFolder: createTestFolder(t, async () => fleet.stop()),
  });
  await fleet.start();
  await waitUntilLedgerServes(fleet);
  for (const dropped of SILENT_CASES) {
    t.test(`silent: ${dropped}`, async (t) => {
      const reads = Array.from({length: 2}, async (_item, index) =>
        fetch(fleet.getUrl(`/read/${dropped}/${String(index)}`)),
      );
      const orders = Array.from({length: 2}, async (_item, index) =>
        fetch(fleet.getUrl(`/order/${dropped}/${String(index)}`), {
          method: 'POST',
        }),
      );
      await delay(60);
      fleet.silenceOpenConnections(0, 1, dropped);
      fleet.silenceOpenConnections(0, 2, dropped);
      for (const answer of await Promise.all(reads)) {
        t.equal(answer.status, 200, 'a read succeeds on a new session');
        t.equal(await answer.text(), 'whole');
      }
      for (const [index, answer] of (await Promise.all(orders)).entries()) {
        const runs = fleet.countRuns(`/order/${dropped}/${String(index)}`);
        const executed = answer.headers.get('jackdaw-executed');
        t.ok(runs <= 1, `order ${String(index)} ran ${String(runs)} times`);
        t.ok(executed !== 'no' || runs === 0, 'executed "no" means no run');
        t.ok(executed !== 'yes' || runs === 1, 'executed "yes" means a run');
        await answer.arrayBuffer();
      }
    });
  }
});

t.test('an isolated availability zone keeps serving reads', async (t) => {
  const fleet = new TestFleet({handler: serve, hasLinks: true, size: 4});
  await fleet.start();
  t.teardown(async () => fleet.stop());
  const setZonePartition = (dropped: DroppedTraffic): void => {
    for (const from of [0, 2]) {
      for (const to of [1, 3]) {
        fleet.setDroppedTraffic(from, to, dropped);
      }
    }
  };
  setZonePartition('both');
  const callAll = async (): Promise<number[]> =>
    Promise.all(
      [0, 1, 2, 3].map(async (daemon) => {
        const answer = await fetch(fleet.getUrl('/read', daemon));
        await answer.arrayBuffer();
        return answer.status;
      }),
    );
  t.same(
    await callAll(),
    [200, 200, 200, 200],
    'immediately after the partition',
  );
  await delay(4_000);
  t.same(await callAll(), [200, 200, 200, 200], 'after four seconds');
  setZonePartition('none');
  await delay(3_000);
  t.same(
    await callAll(),
    [200, 200, 200, 200],
    'after the partition has healed',
  );
});
