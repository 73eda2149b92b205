/** Tests the access of requests with keys at the ingress, over real connections. */

import type {DaemonHost} from '../../DaemonHost.js';
import type {ReceivedRequest} from '../../relay/RelayCall.js';
import type {RelayCaller} from '../../relay/RelayCaller.js';
import type {RelayDialect} from '../../relay/RelayTypes.js';
import type {Route, RoutedConfiguration} from 'jackdawcove-routes';
import type {Server, Socket} from 'node:net';

import {once} from 'node:events';
import {connect} from 'node:net';

import {ConfigurationFreshness} from 'jackdawcove-organisations';
import {createHeaderRules} from 'jackdawcove-relay';
import {DEFAULT_CALLER_LIMITS} from 'jackdawcove-routes';
import t from 'tap';
import {ok} from 'true-myth/result';

import {RouteSource} from '../../embedding/RouteSource.js';
import {MemoryMonitor} from '../../host/MemoryMonitor.js';
import {RelayIngress} from '../../relay/RelayIngress.js';
import {RequestAccess} from '../../relay/RequestAccess.js';
import {createReadyGuard} from '../fixtures/createReadyGuard.js';
import {RELAY_BENCH_DIALECT} from '../fixtures/RelayBenchDialect.js';

const KEY_LINE = 'Authorization: ';
const DIALECT: RelayDialect = {
  ...RELAY_BENCH_DIALECT,
  createResultAnswer: ({result}) => ({body: result, headers: [], status: 503}),
  keyedRequestRules: createHeaderRules([
    ['authorization', 'secret'],
    ['x-organisation', 'drop'],
    ['x-request', 'forward'],
  ]),
  readRequest: ({startLine, values}) => {
    const requestIdentifier = values.get('x-request') ?? '';
    const [parentRequestIdentifier] = requestIdentifier.split('.');
    return {
      hostName: 'a.example',
      key: values.get('authorization'),
      method: 'GET',
      parentRequestIdentifier,
      path: startLine.split(' ')[1] ?? '',
      requestIdentifier,
      timeoutMilliseconds: undefined,
    };
  },
  requestRules: createHeaderRules([['x-request', 'forward']]),
};
const ROUTE: Route = {
  attempts: 1,
  hostName: 'a.example',
  importance: 'normal',
  isIdempotent: true,
  latencyObjectiveMilliseconds: 1_000,
  name: 'orders',
  pathPrefix: '/',
  targets: [{service: 'orders', weight: 1}],
  timeoutMilliseconds: 1_000,
};
const CONFIGURATION: RoutedConfiguration = {
  limits: DEFAULT_CALLER_LIMITS,
  organisations: [
    {importance: 'urgent', keys: ['grocers-1'], name: 'grocers'},
    {keys: ['stalls-1'], name: 'stalls'},
  ],
  routes: [
    ROUTE,
    {...ROUTE, isPublic: true, name: 'open', pathPrefix: '/open/'},
  ],
};
const {limits, routes} = CONFIGURATION;
const WITHOUT_ORGANISATIONS: RoutedConfiguration = {limits, routes};

type Outcome = {
  readonly bodies: readonly string[];
  readonly begun: readonly ReceivedRequest[];
  readonly logged: string;
};

type StartedIngress = {
  readonly begun: readonly ReceivedRequest[];
  readonly ingress: RelayIngress;
  readonly logged: readonly unknown[];
};

function startIngress(
  configuration: RoutedConfiguration,
  confirmedAgo: number | undefined,
  isRunning: boolean,
  clock = () => 100_000,
): StartedIngress {
  const logged: unknown[] = [];
  const begun: ReceivedRequest[] = [];
  const log = (...parts: unknown[]): void => {
    logged.push(parts);
  };
  const host = {
    clock,
    log: {info: log, warn: log},
    metrics: {increment: () => undefined},
    wallClock: () => 900_000,
  } as unknown as DaemonHost;
  const source = new RouteSource({
    check: () => ok(undefined),
    read: () => configuration,
  });
  source.apply({
    digest: '',
    documentText: '',
    isConfirmed: true,
    revision: 7,
  });
  const freshness = new ConfigurationFreshness({
    firstNumber: 0,
    getAppliedRevision: () => 7,
    revocationMilliseconds: 5_000,
  });
  if (confirmedAgo !== undefined) {
    const contact = {at: 100_000 - confirmedAgo, revision: 7};
    freshness.recordLeadership(contact, {now: 100_000, wallTime: 900_000});
  }
  const caller = {
    begin: (received: ReceivedRequest) => {
      begun.push(received);
      const name = received.organisation?.name ?? 'none';
      received.exchange.answer(200, '', Buffer.from(`run for ${name}`));
    },
    isCallOfRunningRequest: () => isRunning,
  } as unknown as RelayCaller;
  const ingress = new RelayIngress({
    access: new RequestAccess({freshness, host, routes: source}),
    caller,
    dialect: DIALECT,
    flush: () => undefined,
    guard: createReadyGuard(),
    host,
    isDraining: () => false,
    memoryMonitor: new MemoryMonitor({bufferedBytes: 1e9}),
    routes: source,
  });
  return {begun, ingress, logged};
}

async function listenOn(ingress: RelayIngress): Promise<Server> {
  const server = ingress.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

function connectTo(server: Server, localAddress: string): Socket {
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  return connect({host: '127.0.0.1', localAddress, port});
}

async function play(
  texts: readonly string[],
  configuration: RoutedConfiguration,
  confirmedAgo: number | undefined,
  isRunning: boolean,
  localAddress: string,
): Promise<Outcome> {
  const {begun, ingress, logged} = startIngress(
    configuration,
    confirmedAgo,
    isRunning,
  );
  const server = await listenOn(ingress);
  const socket = connectTo(server, localAddress);
  let answers = '';
  socket.on('data', (bytes) => {
    answers += bytes.toString();
  });
  socket.write(texts.join(''));
  await once(socket, 'end');
  socket.destroy();
  server.close();
  const bodies = [...answers.matchAll(/\r\n\r\n([^H]*)/g)].map(
    ([, body]) => body ?? '',
  );
  return {begun, bodies, logged: JSON.stringify(logged)};
}

/** A request; the last one of a connection closes it. */
function createRequest(lines: string, path = '/', isLast = true): string {
  const end = isLast ? 'connection: close\r\n\r\n' : '\r\n';
  return `GET ${path} HTTP/1.1\r\nhost: a.example\r\nx-request: r1.2\r\n${lines}${end}`;
}

const CASES: readonly {
  readonly bodies: readonly string[];
  readonly confirmedAgo?: number | undefined;
  readonly isRunning?: boolean;
  readonly localAddress?: string;
  readonly name: string;
  readonly texts: readonly string[];
}[] = [
  {
    bodies: ['run for grocers', 'run for stalls', 'unauthenticated'],
    name: 'requests of one connection carry different keys',
    texts: [
      createRequest(`${KEY_LINE}grocers-1\r\n`, '/', false),
      createRequest(`${KEY_LINE}stalls-1\r\n`, '/', false),
      createRequest(`${KEY_LINE}other\r\n`),
    ],
  },
  {
    bodies: ['unauthenticated'],
    name: 'a request without a key that claims a parent',
    texts: [createRequest('')],
  },
  {
    bodies: ['unauthenticated'],
    isRunning: true,
    name: 'a client elsewhere that knows the identifier of a running request',
    texts: [createRequest('')],
  },
  {
    bodies: ['unauthenticated'],
    localAddress: '127.0.0.1',
    name: 'a client on this VM that claims a parent',
    texts: [createRequest('')],
  },
  {
    bodies: ['run for none'],
    confirmedAgo: undefined,
    isRunning: true,
    localAddress: '127.0.0.1',
    name: 'a call of the local instance while it runs the parent',
    texts: [createRequest('')],
  },
  {
    bodies: ['unauthenticated'],
    name: 'two keys',
    texts: [createRequest(`${KEY_LINE}grocers-1\r\n`.repeat(2))],
  },
  {
    bodies: ['configurationNotConfirmed'],
    confirmedAgo: 4_600,
    name: 'a known key without a recent confirmation',
    texts: [createRequest(`${KEY_LINE}grocers-1\r\n`)],
  },
  {
    bodies: ['configurationNotConfirmed'],
    confirmedAgo: undefined,
    name: 'a known key without any confirmation',
    texts: [createRequest(`${KEY_LINE}grocers-1\r\n`)],
  },
  {
    bodies: ['run for none'],
    confirmedAgo: undefined,
    name: 'an open route without any confirmation',
    texts: [createRequest('', '/open/')],
  },
];

for (const {bodies, name, texts, ...options} of CASES) {
  const {isRunning = false, localAddress = '127.0.0.9'} = options;
  t.test(name, async (t) => {
    const confirmedAgo = 'confirmedAgo' in options ? options.confirmedAgo : 0;
    const forged = 'X-Organisation: forged\r\nAuthorization';
    const sent = texts.map((text) => text.replace('Authorization', forged));
    const outcome = await play(
      sent,
      CONFIGURATION,
      confirmedAgo,
      isRunning,
      localAddress,
    );
    t.strictSame(outcome.bodies, bodies);
    for (const {forwardedLines, organisation} of outcome.begun) {
      const expected =
        organisation === undefined
          ? ''
          : `x-organisation: ${organisation.name}`;
      t.equal(/x-organisation.*/i.exec(forwardedLines)?.[0] ?? '', expected);
      t.notMatch(forwardedLines, /authorization/i);
    }
    t.notMatch(outcome.logged, /grocers-1|stalls-1/);
  });
}

t.test('without organisations the credential is forwarded', async (t) => {
  const lines = `Authorization: Basic abc\r\nX-Organisation: own\r\n`;
  const {begun, bodies} = await play(
    [createRequest(lines)],
    WITHOUT_ORGANISATIONS,
    undefined,
    false,
    '127.0.0.9',
  );
  t.strictSame(bodies, ['run for none']);
  t.equal(
    begun[0]?.forwardedLines,
    `host: a.example\r\nx-request: r1.2\r\n${lines}x-caller: bench\r\n`,
  );
});

const IDLE_CLOSES: Readonly<Record<string, (ingress: RelayIngress) => void>> = {
  'a planned stop': (ingress) => {
    ingress.closeIdleConnections();
  },
  'the idle timeout': (ingress) => {
    ingress.checkTimeouts();
  },
};

for (const [name, close] of Object.entries(IDLE_CLOSES)) {
  t.test(`a request that arrives before ${name} is answered`, async (t) => {
    let now = 100_000;
    const {begun, ingress} = startIngress(
      WITHOUT_ORGANISATIONS,
      undefined,
      false,
      () => now,
    );
    const server = await listenOn(ingress);
    const socket = connectTo(server, '127.0.0.9');
    t.teardown(() => {
      socket.destroy();
      ingress.destroyConnections();
      server.close();
    });
    socket.write(createRequest('', '/', false));
    await once(socket, 'data');
    now += DEFAULT_CALLER_LIMITS.idleTimeoutMilliseconds + 1;
    socket.write(createRequest('', '/', false));
    close(ingress);
    const [bytes] = (await Promise.race([
      once(socket, 'data'),
      once(socket, 'end'),
    ])) as [Buffer?];
    t.match(bytes?.toString(), /run for none$/);
    t.equal(begun.length, 2);
  });
}
