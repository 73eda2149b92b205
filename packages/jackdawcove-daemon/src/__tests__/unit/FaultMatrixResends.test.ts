import t from 'tap';

import {createTestFolder} from '../fixtures/createTestFolder.js';
import {
  callToEnd,
  HeldCalls,
  waitUntilLedgerServes,
} from '../fixtures/HeldCalls.js';
import {TestFleet} from '../fixtures/TestFleet.js';

const NO_INSTANCE = '203';

t.test(
  'a resent request that ran is not reported as not executed while there is no instance',
  async (t) => {
    const held = new HeldCalls();
    const fleet: TestFleet = new TestFleet({
      handler: (incoming, outgoing) => {
        held.serve(incoming, outgoing);
      },
      size: 3,
      votersFolder: createTestFolder(t, async () => fleet.stop()),
    });
    await fleet.start();
    await waitUntilLedgerServes(fleet);
    const first = await callToEnd(fleet.getUrl('/order'), {method: 'POST'});
    t.equal(first.status, 200, `result ${String(first.result)}`);
    await Promise.all(fleet.backends.map(async (backend) => backend.drain()));
    for (let result: string | null = null; result !== NO_INSTANCE;) {
      ({result} = await callToEnd(fleet.getUrl('/read'), {}));
    }
    const again = await callToEnd(fleet.getUrl('/order'), {
      headers: {'idempotency-key': first.key ?? ''},
      method: 'POST',
    });
    t.comment(`resent: ${JSON.stringify({again, first})}`);
    t.equal(fleet.countRuns('POST /order'), 1);
    t.not(again.executed, 'no', `result ${String(again.result)}`);
  },
);
