/** Guards against requests that are sent on long after their callers have left. */

import type {DaemonHost} from '../../DaemonHost.js';
import type {RelayCaller} from '../../relay/RelayCaller.js';
import type {LeavingCallers} from '../fixtures/leavingCallers.js';
import type {RelayBench, RelayPair} from '../fixtures/RelayBench.js';
import type {AddressInfo} from 'node:net';

import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';

import {DEFAULT_CALLER_LIMITS} from 'jackdawcove-routes';
import t from 'tap';

import {MemoryMonitor} from '../../host/MemoryMonitor.js';
import {RelayIngress} from '../../relay/RelayIngress.js';
import {createReadyGuard} from '../fixtures/createReadyGuard.js';
import {STAGES} from '../fixtures/leavingCallers.js';
import {startRelayPair, waitUntil} from '../fixtures/RelayBench.js';
import {RELAY_BENCH_DIALECT} from '../fixtures/RelayBenchDialect.js';

/** From the users' rules: a request must not reach an instance so long after the close. */
const MAXIMUM_DELAY_MILLISECONDS = 500;
const CALLER_COUNT = 60;
const BEGIN_MILLISECONDS = 20;
const TICK_MILLISECONDS = 40;
const WAIT_MILLISECONDS = 10_000;

function waitForStage(stage: Int32Array, previous: number): void {
  Atomics.wait(stage, 0, previous, WAIT_MILLISECONDS);
}

/** An ingress whose clock stands still but while it begins requests. */
class SlowIngress {
  readonly begunAt: number[] = [];
  readonly ingress: RelayIngress;
  leftAt = Number.POSITIVE_INFINITY;
  now = 100_000;
  readonly stage = new Int32Array(new SharedArrayBuffer(4));

  constructor() {
    const log = (): void => undefined;
    this.ingress = new RelayIngress({
      access: {decide: () => 'open'},
      caller: {
        begin: () => {
          this.#begin();
        },
        isCallOfRunningRequest: () => false,
      } as unknown as RelayCaller,
      dialect: {
        ...RELAY_BENCH_DIALECT,
        readRequest: () => ({hostName: 'a.example', path: '/'}),
      },
      flush: () => undefined,
      guard: createReadyGuard(),
      host: {
        clock: () => this.now,
        log: {info: log, warn: log},
        metrics: {increment: log},
      } as unknown as DaemonHost,
      isDraining: () => false,
      memoryMonitor: new MemoryMonitor({bufferedBytes: 1e9}),
      routes: {
        getLimits: () => DEFAULT_CALLER_LIMITS,
        getOrganisations: () => undefined,
        resolve: () => ({route: {}, service: 'orders'}),
      },
    } as never);
  }

  /** Tells the callers to leave and waits until they have. */
  makeCallersLeave(): void {
    Atomics.store(this.stage, 0, STAGES.leave);
    waitForStage(this.stage, STAGES.leave);
    this.leftAt = this.now;
  }

  /** The callers leave as soon as the first of their requests has begun. */
  #begin(): void {
    if (this.leftAt > this.now) {
      this.makeCallersLeave();
    }
    this.begunAt.push(this.now);
    this.now += BEGIN_MILLISECONDS;
  }
}

const INGRESS_CASES: readonly {
  readonly leaveBeforeAccepted?: boolean;
  readonly name: string;
  readonly tickCount: number;
}[] = [
  {name: 'requests that are read in time take long to begin', tickCount: 2},
  {name: 'requests that are read late take long to begin', tickCount: 0},
  {
    leaveBeforeAccepted: true,
    name: 'their connections waited to be accepted',
    tickCount: 2,
  },
];

for (const {leaveBeforeAccepted = false, name, tickCount} of INGRESS_CASES) {
  t.test(`requests of callers that left are not begun: ${name}`, async (t) => {
    const slow = new SlowIngress();
    const {ingress, stage} = slow;
    const server = ingress.createServer().listen(0, '127.0.0.1', 511);
    await once(server, 'listening');
    const workerData: LeavingCallers = {
      count: CALLER_COUNT,
      port: (server.address() as AddressInfo).port,
      request: 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n',
      stage,
    };
    const worker = new Worker(
      new URL('../fixtures/leavingCallers.js', import.meta.url),
      {workerData},
    );
    t.teardown(async () => {
      ingress.destroyConnections();
      server.close();
      await worker.terminate();
    });
    await once(worker, 'online');
    waitForStage(stage, 0);
    if (leaveBeforeAccepted) {
      slow.makeCallersLeave();
      slow.now += MAXIMUM_DELAY_MILLISECONDS;
    }
    for (let count = 0; count < tickCount; count += 1) {
      slow.now += TICK_MILLISECONDS;
      ingress.recordTick();
    }
    let closedCount = 0;
    server.on('connection', (socket) => {
      socket.on('close', () => {
        closedCount += 1;
      });
    });
    await waitUntil(() => closedCount === CALLER_COUNT);
    const late = slow.begunAt.filter(
      (at) => at - slow.leftAt > MAXIMUM_DELAY_MILLISECONDS,
    );
    t.ok(leaveBeforeAccepted || slow.begunAt.length > 0, 'a request began');
    t.equal(late.length, 0, 'none began long after its caller had left');
  });
}

const SLOTS = 4;

/** Opens the connections to the instance, which then wait for the next requests. */
async function openConnections({bench, client, first}: RelayPair) {
  const answers = Array.from(
    {length: SLOTS},
    () => bench.sendRequest(client).answer,
  );
  await Promise.all(answers);
  return first.heads.length;
}

t.test(
  'offers that a lagging daemon reads with their cancellations do not run',
  async (t) => {
    const pair = await startRelayPair(t, SLOTS);
    const {bench, client, first} = pair;
    const runCount = await openConnections(pair);
    for (let count = 0; count < SLOTS; count += 1) {
      bench.sendRequest(client).exchange.onDisconnected();
    }
    // Blocks the event loop, as a paused or overloaded process does.
    const blocked = new Int32Array(new SharedArrayBuffer(4));
    Atomics.wait(blocked, 0, 0, MAXIMUM_DELAY_MILLISECONDS);
    await waitUntil(() => first.server.getOpenOffers() === 0);
    await delay(BEGIN_MILLISECONDS);
    t.equal(first.heads.length, runCount, 'the instance got none of them');
  },
);

/** What keeps the cancellation from its daemon, and what lets it through again. */
type Interruption = {
  readonly begin: (bench: RelayBench) => void;
  readonly end: (bench: RelayBench) => void;
};

const INTERRUPTIONS: Readonly<Record<string, Interruption>> = {
  'the session accepts no packets': {
    begin: ({network}) => {
      network.refusedSenders.add('client');
    },
    end: ({network}) => {
      network.refusedSenders.clear();
    },
  },
  'the session is lost': {
    begin: ({network}) => {
      network.closeSession('client', 'first');
    },
    end: ({network}) => {
      network.openSession('client', 'first');
    },
  },
};

for (const [name, {begin, end}] of Object.entries(INTERRUPTIONS)) {
  t.test(
    `a queued offer whose caller left does not run: ${name}`,
    async (t) => {
      const {bench, client, first} = await startRelayPair(t, 1);
      let finishFirst = (): void => undefined;
      const {behaviour} = first;
      first.behaviour = (socket, head) => {
        finishFirst = () => {
          behaviour(socket, head);
        };
      };
      const {answer} = bench.sendRequest(client);
      await waitUntil(() => first.heads.length === 1);
      const {exchange} = bench.sendRequest(client);
      await waitUntil(() => first.server.getLoad().queued === 1);
      begin(bench);
      exchange.onDisconnected();
      end(bench);
      await delay(TICK_MILLISECONDS);
      finishFirst();
      await answer;
      await delay(TICK_MILLISECONDS);
      t.equal(first.heads.length, 1, 'only the first request ran');
    },
  );
}

t.test('calls of a run whose caller left are not sent on', async (t) => {
  const {bench, client, first} = await startRelayPair(t);
  const second = bench.createDaemon('second');
  await second.announce(SLOTS);
  first.behaviour = () => undefined;
  const {exchange} = bench.sendRequest(client);
  await waitUntil(() => first.heads.length === 1);
  const parentRequestIdentifier = /x-request: (.*)/.exec(
    first.heads[0] ?? '',
  )?.[1];
  bench.candidates = [second];
  const call = () => bench.sendRequest(first, {parentRequestIdentifier}).answer;
  t.equal((await call()).status, 200, 'while it runs they are');
  exchange.onDisconnected();
  await waitUntil(() => first.server.getOpenOffers() === 0);
  const {executed, result} = await call();
  t.same(
    {executed, result},
    {executed: 'no', result: 'cancelledBeforeDispatch'},
  );
  t.equal(second.heads.length, 1, 'the other instance got the first call only');
});
