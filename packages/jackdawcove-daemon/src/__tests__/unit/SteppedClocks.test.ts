/** Tests a daemon whose clock went back between its starts. */

import t from 'tap';

import {startRelayPair} from '../fixtures/RelayBench.js';

// Guards against a machine that refuses all offers until its daemon ends.
t.test(
  'a daemon whose clock went back before its start takes offers',
  async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    first.announcedIncarnation = first.incarnation + 5;
    t.match(await bench.sendRequest(client).answer, {status: 200});
    t.equal(first.heads.length, 1);
  },
);
