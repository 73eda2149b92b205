import type {IncomingCall, SessionLimits} from '../../SessionTypes.js';
import type {CallOutcome} from '../utils/poolFixtures.js';
import type {AddressInfo} from 'node:net';
import type {Test} from 'tap';

import {randomBytes} from 'node:crypto';
import {connect, createServer} from 'node:net';

import t from 'tap';

import {
  callWith,
  createHead,
  createOutcomeCollector,
  echo,
  startPool,
} from '../utils/poolFixtures.js';

const BODY_SIZES = [0, 1, 2_048, 65_536, 65_537, 1_048_576, 33_554_432];

t.test('concurrent bodies of every size arrive complete', async (t) => {
  const directory = new Map();
  const left = await startPool('left', directory);
  const right = await startPool('right', directory);
  right.pool.registerCallListener(echo);
  await Promise.all(
    BODY_SIZES.map(async (size) => {
      const body = randomBytes(size);
      const head = createHead(`attempt ${String(size)}`);
      const outcome = await callWith(left.pool, 'right', head, body);
      t.equal(outcome.kind, 'end', `${String(size)} bytes end`);
      t.ok(outcome.body.equals(body), `${String(size)} bytes are the same`);
    }),
  );
  t.equal(left.pool.getStatistics().openSessions, 1);
  t.equal(left.pool.getStatistics().bufferedBytes, 0);
  t.equal(right.pool.getStatistics().bufferedBytes, 0);
  await left.pool.stop();
  await right.pool.stop();
});

async function startPair(t: Test, limits: Partial<SessionLimits> = {}) {
  const directory = new Map();
  const left = await startPool('left', directory, {limits});
  const right = await startPool('right', directory, {limits});
  right.pool.registerCallListener(echo);
  t.teardown(async () => {
    await left.pool.stop();
    await right.pool.stop();
  });
  return {directory, left, right};
}

t.test('a slow reader blocks no other call', async (t) => {
  const {left, right} = await startPair(t);
  const unreadChunks: Uint8Array[] = [];
  const big = randomBytes(4_194_304);
  const slowHead = createHead('slow');
  const outcome = new Promise<CallOutcome>((onDone) => {
    const call = left.pool.openCall(
      'right',
      slowHead,
      createOutcomeCollector(onDone, (bytes) => unreadChunks.push(bytes)),
    );
    call.write(big);
    call.end();
    right.pool.registerListener('read', () => undefined);
    left.pool.registerListener('read', () => {
      unreadChunks.splice(0).forEach((bytes) => {
        call.grantCredit(bytes.length);
      });
    });
  });
  for (let index = 0; index < 50; index += 1) {
    const body = randomBytes(index * 100);
    const head = createHead(`quick ${String(index)}`);
    const quick = await callWith(left.pool, 'right', head, body);
    t.ok(quick.body.equals(body), `quick call ${String(index)}`);
  }
  const unreadBytes = unreadChunks.reduce((sum, {length}) => sum + length, 0);
  t.ok(unreadBytes <= 262_144, 'the slow call received at most one window');
  const readTimer = setInterval(() => {
    right.pool.send('left', 'read', 'on');
  }, 1);
  const {body, kind} = await outcome;
  clearInterval(readTimer);
  t.equal(kind, 'end');
  t.ok(body.equals(big));
});

t.test(
  'two daemons that connect simultaneously keep one session',
  async (t) => {
    const {left, right} = await startPair(t);
    left.pool.registerCallListener(echo);
    const body = Buffer.from('crate');
    const outcomes = await Promise.all(
      Array.from({length: 20}, async (_, index) => {
        const isLeft = index % 2 === 0;
        const from = isLeft ? left.pool : right.pool;
        const head = createHead(`attempt ${String(index)}`);
        return await callWith(from, isLeft ? 'right' : 'left', head, body);
      }),
    );
    for (const outcome of outcomes) {
      t.equal(outcome.kind, 'end');
    }
    t.equal(left.pool.getStatistics().openSessions, 1);
    t.equal(right.pool.getStatistics().openSessions, 1);
  },
);

t.test('a call that cannot be sent fails as notSent', async (t) => {
  const {directory, left} = await startPair(t);
  const other = await startPool('other', directory, {
    fleetKeys: {current: 'another fleet'},
  });
  t.teardown(() => other.pool.stop());
  directory.set('closed', {host: '127.0.0.1', port: 1});
  directory.set('wrong', directory.get('right'));
  const cases: readonly (readonly [string, number, string])[] = [
    ['absent', 1_000, 'daemonUnreachable'],
    ['closed', 1_000, 'daemonUnreachable'],
    ['wrong', 1_000, 'daemonUnreachable'],
    ['other', 1_000, 'authenticationFailed'],
  ];
  for (const [to, remainingMilliseconds, result] of cases) {
    const head = createHead(`to ${to}`, {remainingMilliseconds});
    const outcome = await callWith(left.pool, to, head, Buffer.of());
    t.equal(outcome.failure?.kind, 'notSent', to);
    t.equal(outcome.failure?.failure.result, result, to);
  }
});

t.test(
  'the time to connect counts against the deadline of a call',
  async (t) => {
    const {directory, left} = await startPair(t);
    const silentServer = createServer();
    await new Promise<void>((resolve) =>
      silentServer.listen(0, '127.0.0.1', resolve),
    );
    const {port} = silentServer.address() as AddressInfo;
    t.teardown(() => silentServer.close());
    directory.set('silent', {host: '127.0.0.1', port});
    const head = createHead('waits', {remainingMilliseconds: 150});
    const outcome = await callWith(left.pool, 'silent', head, Buffer.of());
    t.equal(outcome.failure?.kind, 'notSent');
    t.equal(outcome.failure?.failure.result, 'deadlineExceededBeforeDispatch');
  },
);

t.test(
  'malformed bytes close only the connection they arrive on',
  async (t) => {
    const {left, right} = await startPair(t);
    const body = Buffer.from('crate');
    await callWith(left.pool, 'right', createHead('before'), body);
    for (const bytes of [Buffer.alloc(64, 0xff), randomBytes(4_096)]) {
      const socket = connect(right.address);
      socket.on('error', () => undefined);
      socket.write(bytes);
      await new Promise((resolve) => socket.once('close', resolve));
    }
    const after = await callWith(left.pool, 'right', createHead('after'), body);
    t.equal(after.kind, 'end');
    const closed = right.events.filter(({kind}) => kind === 'sessionClosed');
    t.equal(closed.length, 2, 'both are reported');
    t.equal(right.pool.getStatistics().openSessions, 1);
  },
);

t.test('a restarted daemon gets a new session', async (t) => {
  const {directory, left, right} = await startPair(t);
  const body = Buffer.from('crate');
  await callWith(left.pool, 'right', createHead('first'), body);
  await right.pool.stop();
  const restarted = await startPool('right', directory, {
    incarnation: 2,
    listen: right.address,
  });
  t.teardown(() => restarted.pool.stop());
  restarted.pool.registerCallListener(echo);
  const head = createHead('second');
  let outcome = await callWith(left.pool, 'right', head, body);
  while (outcome.failure?.kind === 'notSent') {
    outcome = await callWith(left.pool, 'right', head, body);
  }
  t.equal(outcome.kind, 'end');
});

const PACKETS = [
  {incarnation: undefined, isSent: true, name: 'for no process in particular'},
  {incarnation: 2, isSent: true, name: 'for the process that has the session'},
  {incarnation: 1, isSent: false, name: 'for the process before'},
] as const;

for (const {incarnation, isSent, name} of PACKETS) {
  // Guards against answers to a killed process that its successor receives (review/1).
  t.test(`a packet ${name} ${isSent ? 'is' : 'is not'} sent`, async (t) => {
    const directory = new Map();
    const left = await startPool('left', directory);
    const right = await startPool('right', directory, {incarnation: 2});
    t.teardown(async () => {
      await Promise.all([left.pool.stop(), right.pool.stop()]);
    });
    const received: string[] = [];
    right.pool.registerPacketListener({
      onLost: () => undefined,
      onOpened: () => undefined,
      onPacket: (bytes) => received.push(Buffer.from(bytes).toString()),
    });
    right.pool.registerCallListener(echo);
    await callWith(left.pool, 'right', createHead('a'), Buffer.alloc(0));
    t.equal(
      left.pool.sendPacket('right', Buffer.from('answer'), {incarnation}),
      isSent,
    );
    await callWith(left.pool, 'right', createHead('b'), Buffer.alloc(0));
    t.strictSame(received, isSent ? ['answer'] : []);
  });
}

t.test('messages reach the listener of their channel', async (t) => {
  const {left, right} = await startPair(t);
  const seen: unknown[] = [];
  await new Promise<void>((resolve) => {
    right.pool.registerListener('ledger', (message, source) => {
      seen.push([message, source.daemon, source.address.port]);
      if (seen.length === 3) {
        resolve();
      }
    });
    left.pool.send('right', 'unregistered', 'dropped');
    left.pool.send('right', 'ledger', {claim: 1});
    left.pool.send(right.address, 'ledger', {claim: 2});
    left.pool.sendDatagram(right.address, 'ledger', {claim: 3});
  });
  t.strictSame(
    new Set(seen.map((item) => JSON.stringify(item))),
    new Set(
      [1, 2, 3].map((claim) =>
        JSON.stringify([{claim}, 'left', left.address.port]),
      ),
    ),
  );
  const tooLong = Buffer.alloc(1_400);
  t.notOk(left.pool.sendDatagram(right.address, 'ledger', tooLong));
  t.throws(() => right.pool.registerListener('ledger', () => undefined));
});

t.test('an idle session closes and the next call reopens it', async (t) => {
  const {left, right} = await startPair(t, {idleCloseMilliseconds: 150});
  const body = Buffer.from('crate');
  await callWith(left.pool, 'right', createHead('first'), body);
  while (right.pool.getStatistics().openSessions > 0) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  const again = await callWith(left.pool, 'right', createHead('again'), body);
  t.equal(again.kind, 'end');
});

t.test('cancelling a call cancels it at the peer', async (t) => {
  const {directory, left, right} = await startPair(t);
  const other = await startPool('other', directory);
  t.teardown(() => other.pool.stop());
  const reason = await new Promise<string>((resolve) => {
    other.pool.registerCallListener((incoming) => {
      incoming.accept({
        onBody: () => undefined,
        onCancel: ({result}) => {
          resolve(result);
        },
        onEnd: () => {
          other.pool.send('right', 'arrived', '');
        },
      });
    });
    right.pool.registerListener('arrived', () => {
      call.cancel();
    });
    const failOnAny = createOutcomeCollector(() => {
      t.fail('no handler is called');
    });
    const head = createHead('cancelled');
    const call = right.pool.openCall('other', head, failOnAny);
    call.end();
  });
  t.equal(reason, 'cancelledWhileRunning');
  t.equal(left.pool.getStatistics().openCalls, 0);
});

t.test('a duplicate attempt does not affect the first arrival', async (t) => {
  const directory = new Map();
  const other = await startPool('other', directory);
  t.teardown(() => other.pool.stop());
  const held: IncomingCall[] = [];
  const server = await startPool('server', directory);
  t.teardown(() => server.pool.stop());
  server.pool.registerCallListener((incoming) => {
    held.push(incoming);
    incoming.accept({
      onBody: () => undefined,
      onCancel: () => undefined,
      onEnd: () => undefined,
    });
  });
  const head = createHead('twice');
  const first = callWith(other.pool, 'server', head, Buffer.of());
  const second = await callWith(other.pool, 'server', head, Buffer.of());
  t.equal(second.failure?.failure.result, 'outcomeUnknown');
  held.forEach(echo);
  held[0]?.write(Buffer.from('whole'));
  held[0]?.end({load: undefined, tokensReturned: 0});
  t.equal((await first).body.toString(), 'whole');
  t.equal(held.length, 1);
});

t.test('an oversized message affects no other message', async (t) => {
  const {left, right} = await startPair(t);
  const seen: unknown[] = [];
  await new Promise<void>((resolve) => {
    right.pool.registerListener('ledger', (message) => {
      seen.push(message);
      if (seen.length === 2) {
        resolve();
      }
    });
    left.pool.send('right', 'ledger', {claim: 1});
    left.pool.send('right', 'ledger', {claim: Buffer.alloc(2_000_000)});
    left.pool.send('right', 'ledger', {claim: 2});
  });
  t.strictSame(seen, [{claim: 1}, {claim: 2}]);
  t.equal(left.pool.getStatistics().messagesDropped, 1);
  t.equal(left.pool.getStatistics().sessionsClosed, 0);
});

t.test('an invalid call or answer head fails only its own call', async (t) => {
  const {left, right} = await startPair(t);
  const directory = new Map();
  const server = await startPool('server', directory);
  const caller = await startPool('caller', directory);
  t.teardown(async () => {
    await server.pool.stop();
    await caller.pool.stop();
  });
  server.pool.registerCallListener((incoming) => {
    incoming.accept({
      onBody: () => undefined,
      onCancel: () => undefined,
      onEnd: () => {
        incoming.sendHead({
          executed: 'yes',
          headers: [],
          load: undefined,
          resultNumber: 0,
          status: 7_000,
        });
      },
    });
  });
  const head = createHead('bad head', {tokens: -1});
  const refused = await callWith(left.pool, 'right', head, Buffer.of());
  t.equal(refused.failure?.kind, 'notSent');
  const good = createHead('bad answer');
  const failed = await callWith(caller.pool, 'server', good, Buffer.of());
  t.equal(failed.failure?.failure.result, 'internalError');
  t.equal(right.pool.getStatistics().sessionsClosed, 0);
  t.equal(caller.pool.getStatistics().sessionsClosed, 0);
});
