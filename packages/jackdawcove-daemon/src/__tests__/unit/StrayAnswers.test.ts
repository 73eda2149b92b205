/** Answers of instances that belong to no request, or to another one. */

import type {AddressInfo, Socket} from 'node:net';
import type {Test} from 'tap';

import {once} from 'node:events';
import {createServer} from 'node:net';

import t from 'tap';

import {BackendPool} from '../../relay/BackendPool.js';
import {waitUntil} from '../fixtures/RelayBench.js';
import {RELAY_BENCH_DIALECT} from '../fixtures/RelayBenchDialect.js';

/** Request to the instance, what the instance writes, and how the request ends. */
type Step = {
  readonly bodyBytes?: number;
  readonly identifier: string;
  /** Undefined for an idempotent request. */
  readonly isIdempotent?: boolean;
  readonly outcome: string;
  /** What the instance writes before it reads the body, on its first connection. */
  readonly repeats?: readonly string[];
  readonly writes: readonly string[];
};

type Case = {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly strays: readonly string[];
};

function format(status: number, identifier?: string, body = ''): string {
  const lines = [
    `HTTP/1.1 ${String(status)} Status`,
    ...(identifier === undefined ? [] : [`x-request: ${identifier}`]),
    ...(status === 503 ? ['x-not-run: 1'] : []),
    `content-length: ${String(body.length)}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Request r1 once more, before whose answer its earlier refusal is repeated. */
const RESENT_AFTER_REFUSAL: Step = {
  identifier: 'r1',
  isIdempotent: false,
  outcome: '200 own',
  repeats: [format(503, 'r1')],
  writes: [format(200, 'r1', 'own')],
};

const CASES: readonly Case[] = [
  {
    name: 'an answer to another request is skipped',
    steps: [
      {
        identifier: 'r1',
        outcome: '200 own',
        writes: [format(200, 'r0', 'late'), format(200, 'r1', 'own')],
      },
    ],
    strays: ['foreign r1 200'],
  },
  {
    name: 'a refusal that is repeated without its identifier proves nothing',
    steps: [
      {
        identifier: 'r1',
        isIdempotent: false,
        outcome: 'notRun',
        writes: [format(503, 'r1')],
      },
      {
        identifier: 'r2',
        isIdempotent: false,
        outcome: 'unidentified',
        writes: [format(503), format(200, 'r2', 'own')],
      },
      {
        identifier: 'r3',
        outcome: '200 own',
        writes: [format(200, 'r3', 'own')],
      },
    ],
    strays: ['unidentified r2 503'],
  },
  ...[true, false].map((isIdempotent) => ({
    name: `a refusal that is repeated is not taken for that of the next attempt, ${
      isIdempotent ? 'after an idempotent one' : 'non-idempotent'
    }`,
    steps: [
      {
        identifier: 'r1',
        isIdempotent,
        outcome: 'notRun',
        writes: [format(503, 'r1')],
      },
      RESENT_AFTER_REFUSAL,
    ],
    strays: [],
  })),
  {
    name: 'a refusal that is repeated after other requests on its connection',
    steps: [
      {identifier: 'r1', outcome: 'notRun', writes: [format(503, 'r1')]},
      {
        identifier: 'r2',
        outcome: '200 own',
        writes: [format(200, 'r2', 'own')],
      },
      RESENT_AFTER_REFUSAL,
    ],
    strays: [],
  },
  {
    name: 'a refusal that is repeated twice before the answer to another request',
    steps: [
      {identifier: 'r1', outcome: 'notRun', writes: [format(503, 'r1')]},
      {
        identifier: 'r2',
        isIdempotent: false,
        outcome: '200 own',
        writes: [
          format(503, 'r1'),
          format(503, 'r1'),
          format(200, 'r2', 'own'),
        ],
      },
    ],
    strays: ['foreign r2 503', 'foreign r2 503'],
  },
  {
    name: 'a refusal that is repeated while the body of another request is written',
    steps: [
      {identifier: 'r1', outcome: 'notRun', writes: [format(503, 'r1')]},
      {
        bodyBytes: 8_388_608,
        identifier: 'r2',
        isIdempotent: false,
        outcome: '200 own',
        repeats: [format(503, 'r1')],
        writes: [format(200, 'r2', 'own')],
      },
    ],
    strays: ['foreign r2 503'],
  },
  {
    name: 'a failure that is repeated is not taken for that of the next attempt',
    steps: [
      {
        identifier: 'r1',
        outcome: '500 failed',
        writes: [format(500, 'r1', 'failed')],
      },
      {
        identifier: 'r1',
        outcome: '200 own',
        repeats: [format(500, 'r1', 'failed')],
        writes: [format(200, 'r1', 'own')],
      },
    ],
    strays: [],
  },
  {
    name: 'an answer without an identifier is not passed on',
    steps: [
      {
        identifier: 'r1',
        outcome: 'unidentified',
        writes: [format(200, undefined, 'whose')],
      },
    ],
    strays: ['unidentified r1 200'],
  },
  {
    name: 'bytes after an answer close the connection',
    steps: [
      {
        identifier: 'r1',
        outcome: '200 own',
        writes: [format(200, 'r1', 'own') + format(200, 'r1', 'again')],
      },
      {
        identifier: 'r2',
        outcome: '200 own',
        repeats: [format(503)],
        writes: [format(200, 'r2', 'own')],
      },
    ],
    strays: ['idle undefined 200'],
  },
  {
    name: 'the first bytes of an extra answer close the connection',
    steps: [
      {
        identifier: 'r1',
        outcome: '200 own',
        writes: [`${format(200, 'r1', 'own')}HTTP/1.1 503 Sta`],
      },
      {
        identifier: 'r2',
        outcome: '200 own',
        repeats: ['tus\r\ncontent-length: 0\r\n\r\n'],
        writes: [format(200, 'r2', 'own')],
      },
    ],
    strays: ['idle undefined undefined'],
  },
];

const READ_PAUSE_MILLISECONDS = 50;

function createHead({bodyBytes = 0, identifier}: Step): string {
  return `POST / HTTP/1.1\r\nx-request: ${identifier}\r\ncontent-length: ${String(bodyBytes)}\r\n\r\n`;
}

function getRequestBytes(step: Step): number {
  return createHead(step).length + (step.bodyBytes ?? 0);
}

function writeAll(socket: Socket, texts: readonly string[]): void {
  for (const text of texts) {
    socket.write(text);
  }
}

/** Writes what a step lists for its request. */
async function startInstance(t: Test) {
  const steps: Step[] = [];
  const strays: string[] = [];
  let onStray: () => void = () => undefined;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    let missingBytes = 0;
    let step: Step | undefined;
    socket.on('data', ({length}) => {
      if (missingBytes === 0) {
        step = steps.shift();
        missingBytes = step === undefined ? length : getRequestBytes(step);
        writeAll(socket, socket === sockets[0] ? (step?.repeats ?? []) : []);
        if (length < missingBytes) {
          socket.pause();
          setTimeout(() => socket.resume(), READ_PAUSE_MILLISECONDS);
        }
      }
      missingBytes -= length;
      if (missingBytes === 0) {
        writeAll(socket, step?.writes ?? []);
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pool = new BackendPool(
    {host: '127.0.0.1', port},
    RELAY_BENCH_DIALECT,
    () => performance.now(),
    ({cause, requestIdentifier, status}) => {
      strays.push(`${cause} ${String(requestIdentifier)} ${String(status)}`);
      onStray();
    },
  );
  t.teardown(() => {
    pool.close();
    server.close();
    for (const socket of sockets) {
      socket.destroy();
    }
  });
  return {
    nextStray: async (): Promise<void> =>
      new Promise((resolve) => {
        onStray = resolve;
      }),
    send: async (step: Step): Promise<string> => {
      steps.push(step);
      return send(pool, step);
    },
    sockets,
    strays,
  };
}

async function send(pool: BackendPool, step: Step): Promise<string> {
  const {bodyBytes = 0, identifier, isIdempotent = true} = step;
  return new Promise((resolve) => {
    pool.send(
      {
        body: new Uint8Array(bodyBytes),
        head: createHead(step),
        method: 'POST',
        requestIdentifier: identifier,
      },
      isIdempotent,
      (outcome) => {
        resolve(
          outcome.kind === 'answer'
            ? `${String(outcome.status)} ${outcome.body.toString()}`
            : outcome.kind,
        );
      },
    );
  });
}

for (const {name, steps, strays} of CASES) {
  t.test(name, async (t) => {
    const instance = await startInstance(t);
    for (const step of steps) {
      t.equal(await instance.send(step), step.outcome, step.identifier);
    }
    await waitUntil(() => instance.strays.length >= strays.length);
    t.same(instance.strays, strays);
  });
}

t.test('refusals of different requests share a connection', async (t) => {
  const instance = await startInstance(t);
  for (let request = 1; request <= 65; request += 1) {
    t.equal(instance.sockets.length, request === 1 ? 0 : 1);
    const identifier = `r${String(request)}`;
    await instance.send({
      identifier,
      isIdempotent: false,
      outcome: 'notRun',
      writes: [format(503, identifier)],
    });
  }
  t.equal(instance.sockets.length, 2, 'a connection remembers 64 of them');
});

t.test('no request is sent on a connection that is being closed', async (t) => {
  const instance = await startInstance(t);
  const first = {
    identifier: 'r1',
    outcome: '200 own',
    writes: [format(200, 'r1', 'own')],
  };
  t.equal(await instance.send(first), first.outcome);
  const stray = instance.nextStray();
  instance.sockets[0]?.write('extra');
  await stray;
  const second = {
    identifier: 'r2',
    isIdempotent: false,
    outcome: '200 own',
    writes: [format(200, 'r2', 'own')],
  };
  t.equal(await instance.send(second), second.outcome);
});
