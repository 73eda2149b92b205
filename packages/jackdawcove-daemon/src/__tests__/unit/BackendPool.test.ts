import type {BackendOutcome} from '../../relay/BackendTypes.js';
import type {ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Test} from 'tap';

import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {BackendPool} from '../../relay/BackendPool.js';
import {
  MAXIMUM_RECEIVING_ANSWER_BYTES,
  READ_BUFFER_BYTES,
} from '../../relay/RelayConstants.js';
import {RELAY_BENCH_DIALECT} from '../fixtures/RelayBenchDialect.js';
import {writeWithoutEnd} from '../fixtures/writeWithoutEnd.js';

/** Time in which the server hears that a connection was closed. */
const CLOSE_MILLISECONDS = 50;

type Step = {
  readonly at: number;
  readonly connections: number;
  readonly isIdempotent: boolean;
};

/**
 * `connections`: opened so far, after the request at `at` has ended; `kept`: of these, open
 * at the end.
 */
const CASES: readonly {
  readonly kept: number;
  readonly name: string;
  readonly steps: readonly Step[];
}[] = [
  {
    kept: 1,
    name: 'an idempotent request reuses a connection',
    steps: [
      {at: 0, connections: 1, isIdempotent: true},
      {at: 3_000, connections: 1, isIdempotent: true},
    ],
  },
  {
    kept: 1,
    name: 'a connection that was idle for too long is not reused',
    steps: [
      {at: 0, connections: 1, isIdempotent: true},
      {at: 60_000, connections: 2, isIdempotent: true},
    ],
  },
  {
    kept: 1,
    name: 'a non-idempotent request reuses a connection that was just used',
    steps: [
      {at: 0, connections: 1, isIdempotent: true},
      {at: 900, connections: 1, isIdempotent: false},
    ],
  },
  {
    kept: 3,
    name: 'one that is too old for a non-idempotent request is kept for others',
    steps: [
      {at: 0, connections: 1, isIdempotent: true},
      {at: 1_500, connections: 2, isIdempotent: false},
      {at: 2_600, connections: 3, isIdempotent: false},
      {at: 2_700, connections: 3, isIdempotent: false},
    ],
  },
];

function answerWhole(outgoing: ServerResponse): void {
  outgoing.end('whole');
}

async function startPool(
  t: Test,
  handler: (outgoing: ServerResponse) => void = answerWhole,
) {
  let connections = 0;
  let closed = 0;
  let now = 0;
  const server = createServer((incoming, outgoing) => {
    outgoing.setHeader('x-request', String(incoming.headers['x-request']));
    handler(outgoing);
  });
  // The server states no time for which it keeps connections.
  server.keepAliveTimeout = 0;
  server.on('connection', (socket) => {
    connections += 1;
    socket.on('close', () => {
      closed += 1;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const pool = new BackendPool(
    {host: '127.0.0.1', port},
    RELAY_BENCH_DIALECT,
    () => now,
    () => undefined,
  );
  t.teardown(() => {
    pool.close();
    server.close();
    server.closeAllConnections();
  });
  return {
    getConnections: () => connections,
    getOpenConnections: () => connections - closed,
    getReceivingBytes: () => pool.getReceivingBytes(),
    send: async (at: number, isIdempotent: boolean): Promise<string> => {
      now = at;
      return new Promise((resolve) => {
        const requestIdentifier = `r${String(at)}`;
        const head = `GET / HTTP/1.1\r\nhost: a\r\nx-request: ${requestIdentifier}\r\n\r\n`;
        const body = new Uint8Array(0);
        pool.send(
          {body, head, method: 'GET', requestIdentifier},
          isIdempotent,
          ({kind}) => {
            resolve(kind);
          },
        );
      });
    },
  };
}

for (const {kept, name, steps} of CASES) {
  t.test(name, async (t) => {
    const pool = await startPool(t);
    for (const {at, connections, isIdempotent} of steps) {
      t.equal(await pool.send(at, isIdempotent), 'answer');
      t.equal(pool.getConnections(), connections, `at ${String(at)} ms`);
    }
    await delay(CLOSE_MILLISECONDS);
    t.equal(pool.getOpenConnections(), kept, 'kept');
  });
}

const ANSWERS_AT_ONCE = 150;
const PIECE = Buffer.alloc(READ_BUFFER_BYTES, 'x');
const PIECES = 11;
const REST_MILLISECONDS = 300;

/** Writes most of each answer, and the rest once all requests have arrived. */
function createAnswersInTwoParts(): (outgoing: ServerResponse) => void {
  const unfinished: ServerResponse[] = [];
  return (outgoing) => {
    for (let piece = 0; piece < PIECES; piece += 1) {
      outgoing.write(PIECE);
    }
    unfinished.push(outgoing);
    if (unfinished.length === ANSWERS_AT_ONCE) {
      setTimeout(() => {
        for (const each of unfinished) {
          each.end();
        }
      }, REST_MILLISECONDS);
    }
  };
}

const AT_ONCE = [
  {
    handler: createAnswersInTwoParts(),
    kind: 'answer',
    name: 'many answers under a megabyte, which wait for each other',
  },
  {
    handler: (outgoing: ServerResponse) => {
      writeWithoutEnd(outgoing, PIECE);
    },
    kind: 'broken',
    name: 'many answers without end, which are cut',
  },
] as const;

// Guards against faulty instances that fill the memory of the daemon beside them with
// many answers at once, each too small to count as a large one.
for (const {handler, kind, name} of AT_ONCE) {
  t.test(
    `together take no more than one of the largest: ${name}`,
    async (t) => {
      const pool = await startPool(t, handler);
      let peak = 0;
      const sampler = setInterval(() => {
        peak = Math.max(peak, pool.getReceivingBytes());
      }, 1);
      const kinds = await Promise.all(
        Array.from({length: ANSWERS_AT_ONCE}, (_, index) =>
          pool.send(index, true),
        ),
      );
      clearInterval(sampler);
      t.strictSame(new Set(kinds), new Set([kind]));
      // Each connection may have read once more before it waits.
      const slack = ANSWERS_AT_ONCE * READ_BUFFER_BYTES;
      t.ok(peak <= MAXIMUM_RECEIVING_ANSWER_BYTES + slack, String(peak));
      t.ok(peak > 0);
      t.equal(pool.getReceivingBytes(), 0, 'nothing is counted in the end');
    },
  );
}

t.test('answers wait while memory is short, and arrive whole', async (t) => {
  let isShort = true;
  let buffered = 0;
  const server = createServer((incoming, outgoing) => {
    outgoing.setHeader('x-request', incoming.headers['x-request'] ?? '');
    outgoing.end(Buffer.alloc(PIECES * READ_BUFFER_BYTES, 'x'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const pool = new BackendPool(
    {host: '127.0.0.1', port: (server.address() as AddressInfo).port},
    RELAY_BENCH_DIALECT,
    () => 0,
    () => undefined,
    {
      addBytes: (byteCount) => {
        buffered += byteCount;
      },
      isShort: () => isShort,
    },
  );
  t.teardown(() => {
    pool.close();
    server.close();
    server.closeAllConnections();
  });
  const ends: BackendOutcome[] = [];
  for (let count = 0; count < ANSWERS_AT_ONCE; count += 1) {
    const requestIdentifier = `r${String(count)}`;
    const head = `GET / HTTP/1.1\r\nhost: a\r\nx-request: ${requestIdentifier}\r\n\r\n`;
    pool.send(
      {body: new Uint8Array(0), head, method: 'GET', requestIdentifier},
      true,
      (outcome) => ends.push(outcome),
    );
  }
  let peak = 0;
  while (ends.length < ANSWERS_AT_ONCE) {
    await delay(5);
    peak = Math.max(peak, buffered);
    // Room comes and goes, as answers are sent on.
    isShort = !isShort;
    pool.resumeWaiting();
  }
  t.ok(ends.every(({kind}) => kind === 'answer'));
  t.equal(buffered, 0, 'nothing stays counted');
  t.ok(peak < MAXIMUM_RECEIVING_ANSWER_BYTES, 'not all at once');
});
