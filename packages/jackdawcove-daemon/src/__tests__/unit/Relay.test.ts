import type {
  Behaviour,
  RelayBench,
  RelayBenchDaemon,
} from '../fixtures/RelayBench.js';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {answerWith, startRelayPair, waitUntil} from '../fixtures/RelayBench.js';

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
const notRun = answerWith('', {headerLines: 'x-not-run: 1\r\n', status: 503});
const unidentifiedRefusal: Behaviour = (socket) => {
  socket.write(
    'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n',
  );
};
const unidentified: Behaviour = (socket) => {
  socket.write('HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nall');
};
const garbage: Behaviour = (socket) => {
  socket.write('not an HTTP answer\r\n\r\n');
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
    name: 'a complete answer',
    status: 200,
  },
  {
    behaviour: surplus,
    body: 'own',
    name: 'a late and a matching answer',
    status: 200,
  },
  {
    behaviour: answerWith('no', {status: 404}),
    body: 'no',
    name: 'a failure of the instance',
    status: 404,
  },
  {
    behaviour: cut,
    executed: 'unknown',
    name: 'a truncated answer',
    status: 502,
  },
  {behaviour: reset, executed: 'unknown', name: 'a reset', status: 502},
  {
    behaviour: garbage,
    executed: 'unknown',
    name: 'an answer that is not HTTP',
    status: 502,
  },
  {
    behaviour: unframed,
    executed: 'unknown',
    name: 'an answer without a length',
    status: 502,
  },
  {
    behaviour: unidentifiedRefusal,
    executed: 'unknown',
    name: 'a refusal that does not identify its request',
    status: 502,
  },
  {
    behaviour: unidentified,
    executed: 'unknown',
    name: 'an answer that does not identify its request',
    status: 502,
  },
  {behaviour: notRun, executed: 'no', name: 'a refusal', sent: 2, status: 503},
  // Guards against a promise to the caller that no instance has made (REFUSED).
  {
    behaviour: answerWith('full', {status: 503}),
    executed: 'unknown',
    name: 'a refusal that does not state that the request was not run',
    status: 502,
  },
];

for (const {behaviour, name, sent = 1, ...expected} of ANSWERS) {
  t.test(`the result of a non-idempotent request after ${name}`, async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    first.behaviour = behaviour;
    const answer = await bench.sendRequest(client, {isIdempotent: false})
      .answer;
    t.match(answer, expected);
    t.equal(first.heads.length, sent, 'number of attempts');
  });
}

for (const [name, behaviour] of Object.entries({
  cut,
  reset,
  unframed,
  unidentified,
  unidentifiedRefusal,
})) {
  t.test(`an idempotent request runs again after ${name}`, async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    const second = await addSecond(bench);
    first.behaviour = behaviour;
    second.behaviour = behaviour;
    const {status} = await bench.sendRequest(client).answer;
    t.equal(status, 502, 'every attempt fails');
    t.equal(first.heads.length + second.heads.length, 2, 'two attempts');
  });
}

t.test('a request goes to another instance while one is full', async (t) => {
  const {bench, client, first} = await startRelayPair(t, 1);
  first.behaviour = silent;
  bench.sendRequest(client);
  await waitUntil(() => first.heads.length === 1);
  const second = await addSecond(bench);
  t.equal((await bench.sendRequest(client).answer).status, 200);
  t.equal(second.heads.length, 1);
});

t.test('a lost session', async (t) => {
  t.test('does not run a request twice', async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    first.behaviour = (socket, head) => {
      setTimeout(() => {
        answerWith('late')(socket, head);
      }, 300);
    };
    const {answer} = bench.sendRequest(client, {isIdempotent: false});
    await waitUntil(() => first.heads.length === 1);
    bench.network.closeSession('client', 'first');
    await delay(100);
    bench.network.openSession('client', 'first');
    t.match(await answer, {body: 'late', status: 200});
    t.equal(first.heads.length, 1);
  });

  t.test('delays but does not lose the answer', async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    first.behaviour = (socket, head) => {
      bench.network.closeSession('client', 'first');
      answerWith('held')(socket, head);
    };
    const {answer} = bench.sendRequest(client, {isIdempotent: false});
    await delay(200);
    bench.network.openSession('client', 'first');
    t.match(await answer, {body: 'held', status: 200});
    t.equal(first.heads.length, 1);
  });

  t.test('resends an offer that did not arrive', async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    bench.network.droppedSenders.add('client');
    const {answer} = bench.sendRequest(client, {isIdempotent: false});
    await delay(50);
    bench.network.droppedSenders.delete('client');
    bench.network.closeSession('client', 'first');
    bench.network.openSession('client', 'first');
    t.equal((await answer).status, 200);
    t.equal(first.heads.length, 1);
  });

  t.test('to a restarted daemon leaves the outcome unknown', async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    first.behaviour = silent;
    const {answer} = bench.sendRequest(client, {isIdempotent: false});
    await waitUntil(() => first.heads.length === 1);
    bench.network.closeSession('client', 'first');
    bench.network.remove('first');
    const restarted = bench.createDaemon('first', 2);
    await restarted.announce(4);
    bench.network.openSession('client', 'first');
    t.match(await answer, {executed: 'unknown', status: 502});
    t.equal(restarted.heads.length, 0, 'it does not run a second time');
  });
});

t.test('the deadline', async (t) => {
  t.test('of a queued request: it has not run and will not run', async (t) => {
    const {bench, client, first} = await startRelayPair(t, 1);
    first.behaviour = silent;
    bench.sendRequest(client);
    await waitUntil(() => first.heads.length === 1);
    const request = {isIdempotent: false, timeoutMilliseconds: 200};
    t.match(await bench.sendRequest(client, request).answer, {
      executed: 'no',
      status: 503,
    });
    await delay(100);
    t.equal(first.heads.length, 1);
  });

  t.test(
    'of a running request is reported without waiting for the run',
    async (t) => {
      const {bench, client, first} = await startRelayPair(t);
      first.behaviour = silent;
      const startedAt = performance.now();
      const request = {isIdempotent: false, timeoutMilliseconds: 200};
      const {status} = await bench.sendRequest(client, request).answer;
      t.equal(status, 502);
      t.ok(performance.now() - startedAt < 700, 'within half a second');
    },
  );
});

t.test('a caller that disconnects', async (t) => {
  const {bench, client, first} = await startRelayPair(t, 1);
  let isClosed = false;
  first.behaviour = (socket) => {
    socket.on('close', () => {
      isClosed = true;
    });
  };
  const running = bench.sendRequest(client);
  await waitUntil(() => first.heads.length === 1);
  const waiting = bench.sendRequest(client);
  await delay(20);
  waiting.exchange.onDisconnected();
  running.exchange.onDisconnected();
  await waitUntil(() => isClosed);
  await delay(50);
  t.equal(first.heads.length, 1, 'the queued request is not sent');
  t.equal(client.caller.getOpenCalls(), 0);
  t.equal(first.server.getOpenOffers(), 0);
});

t.test('a draining instance gets no new requests', async (t) => {
  const {bench, client, first} = await startRelayPair(t, 1);
  first.behaviour = (socket, head) => {
    setTimeout(() => {
      answerWith('ok')(socket, head);
    }, 150);
  };
  const running = bench.sendRequest(client, {isIdempotent: false});
  await waitUntil(() => first.heads.length === 1);
  const waiting = bench.sendRequest(client, {isIdempotent: false});
  await delay(20);
  await first.announce(1, 'draining');
  t.match(
    await waiting.answer,
    {executed: 'no'},
    'the queued request is refused',
  );
  t.match(await bench.sendRequest(client).answer, {executed: 'no'});
  t.equal((await running.answer).status, 200, 'the running request finishes');
  t.equal(first.heads.length, 1);
});

t.test('an instance never runs more than its slots', async (t) => {
  const {bench, client, first} = await startRelayPair(t, 3);
  let running = 0;
  let maximumRunning = 0;
  first.behaviour = (socket, head) => {
    running += 1;
    maximumRunning = Math.max(maximumRunning, running);
    setTimeout(() => {
      running -= 1;
      answerWith('ok')(socket, head);
    }, 10);
  };
  // Ample time: on a slow machine, some would be refused for waiting too long.
  const request = {
    latencyObjectiveMilliseconds: 20_000,
    timeoutMilliseconds: 20_000,
  };
  const all = Array.from(
    {length: 60},
    () => bench.sendRequest(client, request).answer,
  );
  const answers = await Promise.all(all);
  t.same(
    answers.filter(({status}) => status !== 200),
    [],
    'every answer is a success',
  );
  t.equal(maximumRunning, 3);
});

t.test('what would wait too long is refused and has not run', async (t) => {
  const {bench, client, first} = await startRelayPair(t, 3);
  first.behaviour = (socket, head) => {
    setTimeout(() => {
      answerWith('ok')(socket, head);
    }, 40);
  };
  const all = Array.from({length: 60}, () => bench.sendRequest(client).answer);
  const answers = await Promise.all(all);
  const refused = answers.filter(({status}) => status !== 200);
  t.ok(refused.length > 0, 'a wait of 0.8 s exceeds the objective');
  for (const answer of refused) {
    t.match(answer, {executed: 'no', result: 'shedByAdmission', status: 503});
  }
  t.equal(first.heads.length, answers.length - refused.length);
});

t.test('a silent daemon gets no new requests', async (t) => {
  const {bench, client, first} = await startRelayPair(t);
  const second = await addSecond(bench);
  bench.network.droppedSenders.add('first');
  const unanswered = Array.from({length: 8}, () => bench.sendRequest(client));
  await waitUntil(() => first.heads.length > 0);
  await delay(500);
  const sentToFirst = first.heads.length;
  for (let count = 0; count < 8; count += 1) {
    t.equal((await bench.sendRequest(client).answer).status, 200);
  }
  t.equal(first.heads.length, sentToFirst);
  t.ok(second.heads.length >= 8);
  for (const {exchange} of unanswered) {
    exchange.onDisconnected();
  }
});

t.test(
  'a call is recognized by the running request that makes it',
  async (t) => {
    const {bench, client, first} = await startRelayPair(t);
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
    const {answer} = bench.sendRequest(client);
    await waitUntil(() => first.heads.length === 1);
    t.ok(first.caller.isCallOfRunningRequest(facts));
    t.notOk(
      client.caller.isCallOfRunningRequest(facts),
      'only by the daemon of the instance',
    );
    await answer;
    t.notOk(first.caller.isCallOfRunningRequest(facts));
  },
);
