/** Answers of faulty backend servers and how the client reports them. */

import type {BackendAnswerClassification} from '../../embedding/EmbeddingTypes.js';
import type {AddressInfo, Socket} from 'node:net';

import {once} from 'node:events';
import {createServer} from 'node:net';

import t from 'tap';

import {BackendClient} from '../../dataPlane/BackendClient.js';

const HOST = '127.0.0.1';
const IDENTIFIER_HEADER = 'x-identifier';

function formatAnswer(identifier: string, length = 5, head = ''): string {
  return [
    'HTTP/1.1 200 OK',
    `content-length: ${String(length)}`,
    `${IDENTIFIER_HEADER}: ${identifier}`,
    ...(head === '' ? [] : [head]),
    '',
    'hello',
  ].join('\r\n');
}

const RESET_DELAY_MILLISECONDS = 20;

function formatUnframed(identifier: string): string {
  const head = `HTTP/1.1 200 OK\r\n${IDENTIFIER_HEADER}: ${identifier}\r\n`;
  return `${head}connection: close\r\n\r\nhello`;
}

type Outcome = 'answered' | 'maybeRun' | 'notSent' | 'refused';

async function send(
  client: BackendClient,
  identifier: string,
): Promise<Outcome> {
  return new Promise((resolve) => {
    client.send(
      {
        body: undefined,
        headers: [
          ['host', 'shelf'],
          [IDENTIFIER_HEADER, identifier],
        ],
        method: 'GET',
        path: '/',
      },
      {
        classifyAnswer: ({headers}): BackendAnswerClassification => {
          const echoed = headers.find(([name]) => name === IDENTIFIER_HEADER);
          const isRefused = headers.some(([name]) => name === 'x-not-run');
          if (isRefused) {
            return 'notRun';
          }
          return echoed?.[1] === identifier ? 'answer' : 'foreign';
        },
        onBody: () => true,
        onEnd: () => {
          resolve('answered');
        },
        onFailure: (isDispatched, isRefused) => {
          const notRun = isRefused === true ? 'refused' : 'notSent';
          resolve(isDispatched ? 'maybeRun' : notRun);
        },
        onHead: () => undefined,
      },
    );
  });
}

type Case = {
  readonly answer: (socket: Socket, identifier: string) => void;
  readonly expected: readonly Outcome[];
  readonly name: string;
};

const CASES: readonly Case[] = [
  {
    answer: (socket, identifier) => socket.write(formatAnswer(identifier)),
    expected: ['answered', 'answered'],
    name: 'whole answers on one connection',
  },
  {
    answer: (socket, identifier) => {
      socket.write(formatAnswer(identifier, 50));
      socket.destroy();
    },
    expected: ['maybeRun', 'maybeRun'],
    name: 'truncated answers',
  },
  {
    answer: (socket, identifier) => {
      socket.write(formatUnframed(identifier));
      socket.end();
    },
    expected: ['answered', 'answered'],
    name: 'answers without a length that end with their connection',
  },
  {
    answer: (socket, identifier) => {
      socket.write(formatUnframed(identifier), () => {
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS);
      });
    },
    expected: ['maybeRun', 'maybeRun'],
    name: 'answers without a length whose connection is reset midway',
  },
  {
    answer: (socket, identifier) =>
      socket.write(formatAnswer(identifier) + formatAnswer(identifier)),
    expected: ['answered', 'answered'],
    name: 'an unexpected second answer to each request',
  },
  {
    answer: (socket) => socket.write(formatAnswer('of another request')),
    expected: ['maybeRun', 'maybeRun'],
    name: 'the answer of another request',
  },
  {
    answer: (socket) => socket.write('no answer at all\r\n\r\n'),
    expected: ['maybeRun', 'maybeRun'],
    name: 'bytes that are not an HTTP answer',
  },
  ...['000', '001', '099', '600', '999', '1000'].map((status): Case => ({
    answer: (socket, identifier) =>
      socket.write(formatAnswer(identifier).replace(' 200 ', ` ${status} `)),
    expected: ['maybeRun', 'maybeRun'],
    name: `status ${status}, which is none of HTTP`,
  })),
  {
    answer: (socket, identifier) =>
      socket.write(formatAnswer(identifier, 5, 'x-not-run: 1')),
    expected: ['refused', 'refused'],
    name: 'a head that states that the request was not run',
  },
];

for (const {answer, expected, name} of CASES) {
  t.test(name, async (t) => {
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        const pattern = new RegExp(`${IDENTIFIER_HEADER}: (.*)\r\n`);
        answer(socket, pattern.exec(bytes.toString())?.[1] ?? '');
      });
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const client = new BackendClient({host: HOST, port}, 1);
    const outcomes = [
      await send(client, 'first'),
      await send(client, 'second'),
    ];
    t.same(outcomes, expected);
    client.close();
    for (const socket of sockets) {
      socket.destroy();
    }
    server.close();
  });
}

t.test('a port without a listener', async (t) => {
  const client = new BackendClient({host: HOST, port: 1}, 1);
  t.equal(await send(client, 'first'), 'notSent');
  client.close();
});

t.test(
  'an aborted request frees its connection for the next one',
  async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        if (bytes.toString().includes('answer me')) {
          socket.write(formatAnswer('answer me'));
        }
      });
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const client = new BackendClient({host: HOST, port}, 1);
    const handlers = {
      classifyAnswer: (): BackendAnswerClassification => 'answer',
      onBody: () => true,
      onEnd: () => undefined,
      onFailure: () => undefined,
      onHead: () => undefined,
    };
    const request = {body: undefined, headers: [], method: 'GET', path: '/'};
    const abortRunning = client.send(request, handlers);
    const abortWaiting = client.send(request, handlers);
    const last = send(client, 'answer me');
    abortWaiting();
    abortRunning();
    t.equal(await last, 'answered');
    client.close();
    server.close();
  },
);

t.test('a draining client completes admitted requests', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const pattern = new RegExp(`${IDENTIFIER_HEADER}: (.*)\r\n`);
      const identifier = pattern.exec(bytes.toString())?.[1] ?? '';
      setTimeout(() => socket.write(formatAnswer(identifier)), 20);
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const client = new BackendClient({host: HOST, port}, 1);
  const running = send(client, 'running');
  const waiting = send(client, 'waiting');
  client.drain();
  t.same(await Promise.all([running, waiting]), ['answered', 'answered']);
  server.close();
});
