import type {Behaviour, RelayBenchDaemon} from '../fixtures/RelayBench.js';
import type {Test} from 'tap';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {answerWith, RelayBench, waitUntil} from '../fixtures/RelayBench.js';

type Pair = {
  readonly bench: RelayBench;
  readonly client: RelayBenchDaemon;
  readonly first: RelayBenchDaemon;
};

async function startPair(t: Test, slots = 4): Promise<Pair> {
  const bench = new RelayBench();
  t.teardown(() => {
    bench.stop();
  });
  const client = bench.createDaemon('client');
  const first = bench.createDaemon('first');
  await first.announce(slots);
  bench.candidates = [first];
  return {bench, client, first};
}

async function addSecond(bench: RelayBench): Promise<RelayBenchDaemon> {
  const second = bench.createDaemon('second');
  await second.announce(4);
  bench.candidates.push(second);
  return second;
}

const silent: Behaviour = () => undefined;
const cut: Behaviour = (socket) => {
  socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
};
const reset: Behaviour = (socket) => {
  socket.resetAndDestroy();
};
const notRun: Behaviour = (socket) => {
  socket.write(
    'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n',
  );
};
const garbage: Behaviour = (socket) => {
  socket.write('neither here nor there\r\n\r\n');
};
const unframed: Behaviour = (socket) => {
  socket.end('HTTP/1.1 200 OK\r\n\r\nall or half');
};
const surplus: Behaviour = (socket, head) => {
  answerWith('late', {identifier: 'r0'})(socket, head);
  answerWith('own')(socket, head);
};

const ANSWERS = [
  {
    behaviour: answerWith('ok'),
    body: 'ok',
    name: 'a whole answer',
    status: 200,
  },
  {behaviour: surplus, body: 'own', name: 'a late answer first', status: 200},
  {
    behaviour: answerWith('no', {status: 404}),
    body: 'no',
    name: 'a failure of the instance',
    status: 404,
  },
  {behaviour: cut, executed: 'unknown', name: 'a cut answer', status: 502},
  {behaviour: reset, executed: 'unknown', name: 'a reset', status: 502},
  {behaviour: garbage, executed: 'unknown', name: 'no HTTP', status: 502},
  {behaviour: unframed, executed: 'unknown', name: 'no length', status: 502},
  {behaviour: notRun, executed: 'no', name: 'a refusal', sent: 2, status: 503},
];

for (const {behaviour, name, sent = 1, ...expected} of ANSWERS) {
  t.test(`${name} reaches a non-idempotent request as it is`, async (t) => {
    const {bench, client, first} = await startPair(t);
    first.behaviour = behaviour;
    const answer = await bench.ask(client, {isIdempotent: false}).answer;
    t.match(answer, expected);
    t.equal(first.heads.length, sent, 'sent as often as it may');
  });
}

for (const [name, behaviour] of Object.entries({cut, reset, unframed})) {
  t.test(`an idempotent request runs again after ${name}`, async (t) => {
    const {bench, client, first} = await startPair(t);
    const second = await addSecond(bench);
    first.behaviour = behaviour;
    second.behaviour = behaviour;
    const {status} = await bench.ask(client).answer;
    t.equal(status, 502, 'every instance fails it');
    t.equal(first.heads.length + second.heads.length, 2, 'two attempts');
  });
}

t.test('a request looks elsewhere while an instance is full', async (t) => {
  const {bench, client, first} = await startPair(t, 1);
  first.behaviour = silent;
  bench.ask(client);
  await waitUntil(() => first.heads.length === 1);
  const second = await addSecond(bench);
  t.equal((await bench.ask(client).answer).status, 200);
  t.equal(second.heads.length, 1);
});

t.test('a lost session', async (t) => {
  t.test('joins the run again; it does not run twice', async (t) => {
    const {bench, client, first} = await startPair(t);
    first.behaviour = (socket, head) => {
      setTimeout(() => {
        answerWith('late')(socket, head);
      }, 300);
    };
    const {answer} = bench.ask(client, {isIdempotent: false});
    await waitUntil(() => first.heads.length === 1);
    bench.network.close('client', 'first');
    await delay(100);
    bench.network.open('client', 'first');
    t.match(await answer, {body: 'late', status: 200});
    t.equal(first.heads.length, 1);
  });

  t.test('finds the answer that could not be sent', async (t) => {
    const {bench, client, first} = await startPair(t);
    first.behaviour = (socket, head) => {
      bench.network.close('client', 'first');
      answerWith('held')(socket, head);
    };
    const {answer} = bench.ask(client, {isIdempotent: false});
    await delay(200);
    bench.network.open('client', 'first');
    t.match(await answer, {body: 'held', status: 200});
    t.equal(first.heads.length, 1);
  });

  t.test('brings an offer that never arrived', async (t) => {
    const {bench, client, first} = await startPair(t);
    bench.network.lossy.add('client');
    const {answer} = bench.ask(client, {isIdempotent: false});
    await delay(50);
    bench.network.lossy.delete('client');
    bench.network.close('client', 'first');
    bench.network.open('client', 'first');
    t.equal((await answer).status, 200);
    t.equal(first.heads.length, 1);
  });

  t.test('with a process that ended leaves the outcome unknown', async (t) => {
    const {bench, client, first} = await startPair(t);
    first.behaviour = silent;
    const {answer} = bench.ask(client, {isIdempotent: false});
    await waitUntil(() => first.heads.length === 1);
    bench.network.close('client', 'first');
    bench.network.remove('first');
    const restarted = bench.createDaemon('first', 2);
    await restarted.announce(4);
    bench.network.open('client', 'first');
    t.match(await answer, {executed: 'unknown', status: 502});
    t.equal(restarted.heads.length, 0, 'it is not run a second time');
  });
});

t.test('the end of the time', async (t) => {
  t.test(
    'of a request that waits: it has not run and never will',
    async (t) => {
      const {bench, client, first} = await startPair(t, 1);
      first.behaviour = silent;
      bench.ask(client);
      await waitUntil(() => first.heads.length === 1);
      const short = {isIdempotent: false, timeoutMilliseconds: 200};
      t.match(await bench.ask(client, short).answer, {
        executed: 'no',
        status: 503,
      });
      await delay(100);
      t.equal(first.heads.length, 1);
    },
  );

  t.test('of a request that runs is told at once', async (t) => {
    const {bench, client, first} = await startPair(t);
    first.behaviour = silent;
    const began = performance.now();
    const short = {isIdempotent: false, timeoutMilliseconds: 200};
    const {status} = await bench.ask(client, short).answer;
    t.equal(status, 502);
    t.ok(performance.now() - began < 700, 'within half a second');
  });
});

t.test('a caller that leaves', async (t) => {
  const {bench, client, first} = await startPair(t, 1);
  let isClosed = false;
  first.behaviour = (socket) => {
    socket.on('close', () => {
      isClosed = true;
    });
  };
  const running = bench.ask(client);
  await waitUntil(() => first.heads.length === 1);
  const waiting = bench.ask(client);
  await delay(20);
  waiting.exchange.onGone();
  running.exchange.onGone();
  await waitUntil(() => isClosed);
  await delay(50);
  t.equal(first.heads.length, 1, 'what waited is not sent');
  t.equal(client.caller.getOpenCalls(), 0);
  t.equal(first.server.getOpenOffers(), 0);
});

t.test('a drained instance gets nothing new', async (t) => {
  const {bench, client, first} = await startPair(t, 1);
  first.behaviour = (socket, head) => {
    setTimeout(() => {
      answerWith('ok')(socket, head);
    }, 150);
  };
  const running = bench.ask(client, {isIdempotent: false});
  await waitUntil(() => first.heads.length === 1);
  const waiting = bench.ask(client, {isIdempotent: false});
  await delay(20);
  await first.announce(1, 'draining');
  t.match(await waiting.answer, {executed: 'no'}, 'the queue is handed back');
  t.match(await bench.ask(client).answer, {executed: 'no'});
  t.equal((await running.answer).status, 200, 'what it runs ends');
  t.equal(first.heads.length, 1);
});

t.test('an instance never runs more than its slots', async (t) => {
  const {bench, client, first} = await startPair(t, 3);
  let running = 0;
  let most = 0;
  first.behaviour = (socket, head) => {
    running += 1;
    most = Math.max(most, running);
    setTimeout(() => {
      running -= 1;
      answerWith('ok')(socket, head);
    }, 10);
  };
  const all = Array.from({length: 60}, () => bench.ask(client).answer);
  const answers = await Promise.all(all);
  t.ok(answers.every(({status}) => status === 200));
  t.equal(most, 3);
});

t.test('a silent daemon gets no new requests', async (t) => {
  const {bench, client, first} = await startPair(t);
  const second = await addSecond(bench);
  bench.network.lossy.add('first');
  const lost = Array.from({length: 8}, () => bench.ask(client));
  await waitUntil(() => first.heads.length > 0);
  await delay(500);
  const seen = first.heads.length;
  for (let count = 0; count < 8; count += 1) {
    t.equal((await bench.ask(client).answer).status, 200);
  }
  t.equal(first.heads.length, seen);
  t.ok(second.heads.length >= 8);
  for (const {exchange} of lost) {
    exchange.onGone();
  }
});

t.test('a call is known by the run that makes it', async (t) => {
  const {bench, client, first} = await startPair(t);
  first.behaviour = (socket, head) => {
    setTimeout(() => {
      answerWith('ok')(socket, head);
    }, 50);
  };
  const facts = {
    hostName: 'a.example',
    method: 'GET',
    parentRequestIdentifier: 'r1',
    path: '/a/',
    requestIdentifier: 'r1.1',
    timeoutMilliseconds: undefined,
  };
  const {answer} = bench.ask(client);
  await waitUntil(() => first.heads.length === 1);
  t.ok(first.caller.isCallOfRun(facts));
  t.notOk(client.caller.isCallOfRun(facts), 'only beside the instance');
  await answer;
  t.notOk(first.caller.isCallOfRun(facts));
});
