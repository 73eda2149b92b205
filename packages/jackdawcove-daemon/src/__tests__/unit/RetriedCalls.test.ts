import type {
  Behaviour,
  ReceivedAnswer,
  RelayBench,
  RelayBenchDaemon,
} from '../fixtures/RelayBench.js';
import type {Test} from 'tap';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {answerWith, startRelayPair, waitUntil} from '../fixtures/RelayBench.js';

async function addInstance(
  bench: RelayBench,
  name: string,
): Promise<RelayBenchDaemon> {
  const daemon = bench.createDaemon(name);
  await daemon.announce(4);
  bench.candidates.push(daemon);
  return daemon;
}

const silent: Behaviour = () => undefined;
const reset: Behaviour = (socket) => {
  socket.resetAndDestroy();
};
const notRun = answerWith('', {headerLines: 'x-not-run: 1\r\n', status: 503});

t.test(
  'a request that may have run is never said not to have run',
  async (t) => {
    const {bench, client, first} = await startRelayPair(t);
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
    const {bench, client, first} = await startRelayPair(t);
    first.behaviour = (socket, head) => {
      first.server.drain();
      answerWith('failed', {status: 500})(socket, head);
    };
    const answer = await bench.sendRequest(client).answer;
    t.equal(first.heads.length, 1, 'the repetition is refused by the daemon');
    t.match(answer, {executed: 'unknown', status: 502});
  },
);

const LOST_CALLS = [
  {behaviour: reset, name: 'a call whose answer is lost'},
  {behaviour: notRun, name: 'a call that the instance refuses'},
  {
    behaviour: answerWith('failed', {status: 500}),
    name: 'a call that fails by itself',
  },
];

/** Starts a run on the first daemon, and two instances for its calls. */
async function startRun(
  t: Test,
  behaviour: Behaviour,
): Promise<{
  readonly call: () => Promise<ReceivedAnswer>;
  readonly instances: readonly RelayBenchDaemon[];
}> {
  const {bench, client, first} = await startRelayPair(t);
  first.behaviour = silent;
  const run = bench.sendRequest(client, {timeoutMilliseconds: 5_000});
  await waitUntil(() => first.heads.length === 1);
  const identifier = /x-request: (.*)/.exec(first.heads[0] ?? '')?.[1];
  const instances = await Promise.all([
    addInstance(bench, 'second'),
    addInstance(bench, 'third'),
  ]);
  bench.candidates = [...instances];
  for (const instance of instances) {
    let isFirst = true;
    instance.behaviour = (socket, head) => {
      (isFirst ? behaviour : answerWith('ok'))(socket, head);
      isFirst = false;
    };
  }
  t.teardown(() => {
    run.exchange.onDisconnected();
  });
  return {
    call: () =>
      bench.sendRequest(first, {parentRequestIdentifier: identifier}).answer,
    instances,
  };
}

for (const {behaviour, name} of LOST_CALLS) {
  t.test(
    `${name} is repeated within the budget of the instances`,
    async (t) => {
      const {call, instances} = await startRun(t, behaviour);
      // A new process may not repeat anything yet.
      t.not((await call()).status, 200);
      const sent = (): number =>
        instances.reduce((total, {heads}) => total + heads.length, 0);
      t.equal(sent(), 1);
      await delay(1_500);
      t.equal((await call()).status, 200);
      t.ok(sent() >= 2);
    },
  );
}
