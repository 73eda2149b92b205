/** Tests a daemon whose clock went back between its starts. */

import t from 'tap';

import {RelayBench} from '../fixtures/RelayBench.js';

// Guards against a machine that refuses all offers until its daemon ends.
t.test(
  'a daemon whose clock went back before its start takes offers',
  async (t) => {
    const bench = new RelayBench();
    t.teardown(() => {
      bench.stop();
    });
    const client = bench.createDaemon('client');
    const first = bench.createDaemon('first');
    await first.announce(4);
    bench.candidates = [first];
    first.announcedIncarnation = first.incarnation + 5;
    t.match(await bench.sendRequest(client).answer, {status: 200});
    t.equal(first.heads.length, 1);
  },
);
