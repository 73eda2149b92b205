/** Tests connections of callers that end while requests arrive, over real sockets. */

import type {RelayExchange} from '../../relay/RelayTypes.js';
import type {UnansweredRequests} from '../../relay/UnansweredRequests.js';
import type {Socket} from 'node:net';
import type {Test} from 'tap';

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

import {createHeaderRules} from 'jackdawcove-relay';
import t from 'tap';

import {ClientConnection} from '../../relay/ClientConnection.js';
import {waitUntil} from '../fixtures/RelayBench.js';
import {RELAY_BENCH_DIALECT} from '../fixtures/RelayBenchDialect.js';

const IDLE_TIMEOUT_MILLISECONDS = 15_000;
const HEADER_TIMEOUT_MILLISECONDS = 3_000;
const REQUEST = 'GET /a/ HTTP/1.1\r\nhost: a.example\r\n\r\n';

class Scene {
  readonly begun: RelayExchange[] = [];
  caller!: Socket;
  connection!: ClientConnection;
  heldBytes = 0;
  isClosed = false;
  isDraining = false;
  now = 100_000;
  received = '';
  readonly unanswered: UnansweredRequests[] = [];

  async start(t: Test): Promise<this> {
    const server = createServer((socket) => {
      this.connection = new ClientConnection(socket, {
        clock: () => this.now,
        dialect: RELAY_BENCH_DIALECT,
        getRequestRules: () => createHeaderRules([['host', 'forward']]),
        isDraining: () => this.isDraining,
        limits: {bodyBytes: 1e6, headBytes: 1e4},
        onClosed: () => {
          this.isClosed = true;
        },
        onHeldBytes: (byteCount) => {
          this.heldBytes += byteCount;
        },
        onReceivedBytes: () => undefined,
        onRequest: (_head, _body, exchange) => {
          this.begun.push(exchange);
        },
        onUnanswered: (requests) => {
          this.unanswered.push(requests);
        },
      });
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    this.caller = connect({allowHalfOpen: true, host: '127.0.0.1', port});
    this.caller.on('data', (bytes) => {
      this.received += bytes.toString();
    });
    t.teardown(() => {
      this.caller.destroy();
      server.close();
    });
    await once(server, 'connection');
    return this;
  }

  async send(count: number): Promise<void> {
    const expected = this.begun.length + count;
    this.caller.write(REQUEST.repeat(count));
    await waitUntil(() => this.begun.length === expected);
  }

  answer(index: number, body = 'ok'): void {
    this.begun[index]?.answer(200, '', Buffer.from(body));
  }
}

const IDLE_CLOSES: Readonly<Record<string, (scene: Scene) => void>> = {
  'a planned stop': ({connection}) => {
    connection.closeIfIdle();
  },
  'the idle timeout': ({connection, now}) => {
    connection.checkTimeouts(now + IDLE_TIMEOUT_MILLISECONDS + 1, {
      headerTimeoutMilliseconds: HEADER_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
    });
  },
};

for (const [name, close] of Object.entries(IDLE_CLOSES)) {
  t.test(`a request that crosses ${name} is not passed on`, async (t) => {
    const scene = await new Scene().start(t);
    await scene.send(1);
    scene.answer(0);
    const end = once(scene.caller, 'end');
    close(scene);
    await end;
    scene.caller.end(REQUEST);
    await waitUntil(() => scene.isClosed);
    t.equal(scene.begun.length, 1, 'only the request before the close');
    t.match(scene.unanswered, [{cause: 'closedWhileIdle', openCount: 1}]);
    t.equal(scene.unanswered.length, 1);
  });
}

const DRAINED_ORDERS: readonly (readonly number[])[] = [
  [0],
  [0, 1],
  [1, 0],
  [2, 0, 1],
  [1, 2, 0],
];

for (const order of DRAINED_ORDERS) {
  const text = order.join(', ');
  t.test(`a stop closes a connection answered in order ${text}`, async (t) => {
    const scene = await new Scene().start(t);
    await scene.send(order.length);
    scene.isDraining = true;
    const end = once(scene.caller, 'end');
    for (const index of order) {
      scene.answer(index, `answer-${String(index)}`);
    }
    scene.connection.closeIfIdle();
    await end;
    const bodies = scene.received.match(/answer-\d/g) ?? [];
    t.strictSame(
      bodies,
      [...order].sort().map((index) => `answer-${String(index)}`),
    );
    t.match(scene.received, /connection: close\r\n\r\nanswer-\d$/);
    t.strictSame(scene.unanswered, []);
  });
}

t.test(
  'a stop waits for an answer whose caller has ended its half',
  async (t) => {
    const scene = await new Scene().start(t);
    await scene.send(1);
    scene.caller.pause();
    const body = 'b'.repeat(20_000_000);
    scene.answer(0, body);
    scene.caller.end(REQUEST);
    await waitUntil(() => scene.unanswered.length === 1);
    t.ok(scene.connection.isBusy(), 'while the answer is not written');
    t.ok(scene.heldBytes > body.length / 2, 'while it is held');
    const end = once(scene.caller, 'end');
    scene.caller.resume();
    await end;
    t.equal(scene.received.indexOf(body) + body.length, scene.received.length);
    await waitUntil(() => scene.isClosed);
    t.equal(scene.heldBytes, 0, 'nothing is held afterwards');
  },
);

t.test('what follows refused input is not read', async (t) => {
  const scene = await new Scene().start(t);
  await scene.send(2);
  scene.caller.write('x'.repeat(20_000));
  await waitUntil(() => scene.connection.isPaused());
  scene.caller.write(REQUEST.repeat(2));
  scene.answer(0);
  t.ok(scene.connection.isPaused(), 'while another request is open');
  scene.answer(1);
  await once(scene.caller, 'end');
  t.match(
    scene.received,
    /^HTTP\/1.1 200 [^]*ok[^]*ok/,
    'the answers before it',
  );
  t.ok(scene.connection.isPaused(), 'nor after the last answer');
  t.equal(scene.begun.length, 2);
  scene.now += IDLE_TIMEOUT_MILLISECONDS;
  const limits = {
    headerTimeoutMilliseconds: HEADER_TIMEOUT_MILLISECONDS,
    idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
  };
  scene.connection.checkTimeouts(scene.now, limits);
  scene.connection.checkTimeouts(scene.now + IDLE_TIMEOUT_MILLISECONDS, limits);
  await waitUntil(() => scene.isClosed);
  t.equal(scene.heldBytes, 0);
});
