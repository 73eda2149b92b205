/** Guards against open connections that keep the limits of an earlier configuration. */

import type {DaemonHost} from '../../DaemonHost.js';
import type {ReceivedRequest} from '../../relay/RelayCall.js';
import type {RelayCaller} from '../../relay/RelayCaller.js';
import type {Socket} from 'node:net';

import {once} from 'node:events';
import {connect} from 'node:net';

import {DEFAULT_CALLER_LIMITS} from 'jackdawcove-routes';
import t from 'tap';
import {ok} from 'true-myth/result';

import {RouteSource} from '../../embedding/RouteSource.js';
import {MemoryMonitor} from '../../host/MemoryMonitor.js';
import {RelayIngress} from '../../relay/RelayIngress.js';
import {RequestAccess} from '../../relay/RequestAccess.js';
import {createReadyGuard} from '../fixtures/createReadyGuard.js';
import {RELAY_BENCH_DIALECT} from '../fixtures/RelayBenchDialect.js';

const REVISION = {digest: '', documentText: '', isConfirmed: true};
const SMALL = {bodyBytes: 100, headerBytes: 100};
const LARGE = {bodyBytes: 1_000, headerBytes: 1_000};
const ALLOWED = 'answered';

const host = {
  clock: () => 100_000,
  log: {info: () => undefined, warn: () => undefined},
  metrics: {increment: () => undefined},
} as unknown as DaemonHost;

/** Listener whose limits a test changes; every request that it accepts is answered. */
class Scene {
  readonly routes: RouteSource;
  #limits = SMALL;
  #revision = 0;

  constructor() {
    this.routes = new RouteSource({
      check: () => ok(undefined),
      read: () => ({
        limits: {...DEFAULT_CALLER_LIMITS, ...this.#limits},
        routes: [
          {
            attempts: 1,
            hostName: 'a.example',
            importance: 'normal',
            isIdempotent: true,
            latencyObjectiveMilliseconds: 1_000,
            name: 'orders',
            pathPrefix: '/',
            targets: [{service: 'orders', weight: 1}],
            timeoutMilliseconds: 1_000,
          },
        ],
      }),
    });
  }

  apply(limits: typeof SMALL): void {
    this.#limits = limits;
    this.#revision += 1;
    this.routes.apply({...REVISION, revision: this.#revision});
  }

  createIngress(): RelayIngress {
    return new RelayIngress({
      access: new RequestAccess({host, routes: this.routes}),
      caller: {
        begin: ({exchange}: ReceivedRequest) => {
          exchange.answer(200, '', Buffer.from(ALLOWED));
        },
        isCallOfRunningRequest: () => false,
      } as unknown as RelayCaller,
      dialect: {
        ...RELAY_BENCH_DIALECT,
        createResultAnswer: ({result}) => ({
          body: result,
          headers: [],
          status: 413,
        }),
        readRequest: ({startLine}) => ({
          hostName: 'a.example',
          key: undefined,
          method: 'POST',
          parentRequestIdentifier: '',
          path: startLine.split(' ')[1] ?? '',
          requestIdentifier: 'r1',
          timeoutMilliseconds: undefined,
        }),
      },
      flush: () => undefined,
      guard: createReadyGuard(),
      host,
      isDraining: () => false,
      memoryMonitor: new MemoryMonitor({bufferedBytes: 1e9}),
      routes: this.routes,
    });
  }
}

async function send(socket: Socket, path: string, body: string) {
  socket.write(
    `POST ${path} HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${String(body.length)}\r\n\r\n${body}`,
  );
  const [answer] = (await once(socket, 'data')) as [Buffer];
  return answer.toString().split('\r\n\r\n')[1];
}

const LONG_BODY = 'b'.repeat(500);
const LONG_PATH = `/${'p'.repeat(500)}`;
const CASES = [
  {after: LARGE, before: SMALL, body: LONG_BODY, result: ALLOWED},
  {after: SMALL, before: LARGE, body: LONG_BODY, result: 'bodyTooLarge'},
  {after: LARGE, before: SMALL, path: LONG_PATH, result: ALLOWED},
  {after: SMALL, before: LARGE, path: LONG_PATH, result: 'headersTooLarge'},
];

for (const {after, before, body = '', path = '/', result} of CASES) {
  const part = body === '' ? 'head' : 'body';
  t.test(
    `limits change under an open connection: ${part} ${result}`,
    async (t) => {
      const scene = new Scene();
      scene.apply(before);
      const server = scene
        .createIngress()
        .createServer()
        .listen(0, '127.0.0.1');
      await once(server, 'listening');
      const address = server.address();
      const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
      const socket = connect({host: '127.0.0.1', port});
      t.equal(await send(socket, '/', ''), ALLOWED, 'before the change');
      scene.apply(after);
      t.equal(await send(socket, path, body), result);
      socket.destroy();
      server.close();
    },
  );
}
