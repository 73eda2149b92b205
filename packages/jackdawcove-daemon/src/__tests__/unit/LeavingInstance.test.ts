import type {RelayPair} from '../fixtures/RelayBench.js';
import type {Test} from 'tap';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {answerWith, startRelayPair, waitUntil} from '../fixtures/RelayBench.js';

const leaving = answerWith('leaving', {headerLines: 'x-leaving: 1\r\n'});

async function startFleet(t: Test): Promise<RelayPair> {
  const pair = await startRelayPair(t, 2);
  pair.first.behaviour = leaving;
  return pair;
}

t.test(
  'an instance that says that it leaves gets no further requests',
  async (t) => {
    const {bench, client, first} = await startFleet(t);
    const otherClient = bench.createDaemon('other-client');
    t.equal((await bench.sendRequest(client).answer).status, 200);
    for (const daemon of [client, otherClient]) {
      t.match(await bench.sendRequest(daemon).answer, {
        executed: 'no',
        status: 503,
      });
    }
    t.equal(first.heads.length, 1);
    t.equal(first.backend?.state, 'draining', 'the fleet learns it');
  },
);

t.test(
  'requests that wait for a leaving instance go to another one',
  async (t) => {
    const {bench, client, first} = await startFleet(t);
    first.behaviour = (socket, head) => {
      setTimeout(() => {
        leaving(socket, head);
      }, 100);
    };
    const answers = [1, 2, 3, 4].map(() => bench.sendRequest(client).answer);
    await waitUntil(() => first.heads.length === 2);
    const second = bench.createDaemon('second');
    await second.announce(4);
    bench.candidates.push(second);
    const statuses = (await Promise.all(answers)).map(({status}) => status);
    t.strictSame(statuses, [200, 200, 200, 200]);
    t.equal(first.heads.length, 2);
    t.equal(second.heads.length, 2);
  },
);

t.test(
  'a daemon that saw an instance leave does not use it after a restart of the daemon beside it',
  async (t) => {
    const {bench, client, first} = await startFleet(t);
    await bench.sendRequest(client).answer;
    const {backend} = first;
    bench.network.closeSession('client', 'first');
    bench.network.remove('first');
    const restarted = bench.createDaemon('first', 2);
    if (backend !== undefined) {
      // A delayed announcement from before the instance began to leave.
      restarted.backend = {...backend, state: 'ready'};
    }
    restarted.server.refreshBackendServer();
    bench.candidates = [restarted];
    bench.network.openSession('client', 'first');
    t.match(await bench.sendRequest(client).answer, {
      executed: 'no',
      status: 503,
    });
    await delay(50);
    t.equal(first.heads.length, 1);
  },
);

t.test('the next process of an instance that left is used', async (t) => {
  const {bench, client, first} = await startFleet(t);
  await bench.sendRequest(client).answer;
  first.behaviour = answerWith('new');
  first.backend = undefined;
  first.server.refreshBackendServer();
  await first.announce(2, 'ready', 2);
  t.match(await bench.sendRequest(client).answer, {body: 'new', status: 200});
});

t.test(
  'a process that leaves is not used although its withdrawal came before its answer',
  async (t) => {
    const {bench, client, first} = await startFleet(t);
    first.behaviour = (socket, head) => {
      setTimeout(() => {
        leaving(socket, head);
      }, 100);
    };
    const {answer} = bench.sendRequest(client);
    await waitUntil(() => first.heads.length === 1);
    const {backend} = first;
    first.backend = undefined;
    first.server.refreshBackendServer();
    t.equal((await answer).status, 200);
    // A delayed announcement of the same process.
    first.backend = backend;
    first.server.refreshBackendServer();
    t.match(await bench.sendRequest(client).answer, {
      executed: 'no',
      status: 503,
    });
    t.equal(first.heads.length, 1);
  },
);
