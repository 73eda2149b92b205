import type {RelayBenchDaemon} from '../fixtures/RelayBench.js';
import type {Test} from 'tap';

import t from 'tap';

import {answerWith, RelayBench} from '../fixtures/RelayBench.js';

async function addInstance(
  bench: RelayBench,
  name: string,
): Promise<RelayBenchDaemon> {
  const daemon = bench.createDaemon(name);
  await daemon.announce(4);
  bench.candidates.push(daemon);
  return daemon;
}

async function startInstance(t: Test): Promise<{
  readonly bench: RelayBench;
  readonly client: RelayBenchDaemon;
  readonly first: RelayBenchDaemon;
}> {
  const bench = new RelayBench();
  t.teardown(() => {
    bench.stop();
  });
  const client = bench.createDaemon('client');
  return {bench, client, first: await addInstance(bench, 'first')};
}

t.test(
  'a request that may have run is never said not to have run',
  async (t) => {
    const {bench, client, first} = await startInstance(t);
    first.behaviour = (socket) => {
      first.server.drain();
      socket.destroy();
    };
    const answer = await bench.sendRequest(client).answer;
    t.equal(first.heads.length, 1, 'the repetition is refused by the daemon');
    t.match(answer, {executed: 'unknown', status: 502});
  },
);

t.test(
  'a request that failed and cannot be repeated is said to have run',
  async (t) => {
    const {bench, client, first} = await startInstance(t);
    first.behaviour = (socket, head) => {
      first.server.drain();
      answerWith('failed', {status: 500})(socket, head);
    };
    const answer = await bench.sendRequest(client).answer;
    t.equal(first.heads.length, 1, 'the repetition is refused by the daemon');
    t.match(answer, {executed: 'unknown', status: 502});
  },
);
