import type {Behaviour, RelayPair} from '../fixtures/RelayBench.js';
import type {Socket} from 'node:net';
import type {Test} from 'tap';

import t from 'tap';

import {answerWith, startRelayPair, waitUntil} from '../fixtures/RelayBench.js';
import {writeWithoutEnd} from '../fixtures/writeWithoutEnd.js';

/** Half of the timeout of the route of the bench. */
const DETECTION_MILLISECONDS = 1_000;
const PIECE_BYTES = 65_536;
const MEGABYTE = 1_048_576;
/** A small VM has 250 MB, of which a daemon under load takes up to 100. */
const MAXIMUM_BODY_BYTES = 150 * MEGABYTE;
/** Half of the heap that a daemon may use on such a VM. */
const MAXIMUM_HEAP_BYTES = 78 * MEGABYTE;

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const LARGE_CHUNK = `${PIECE_BYTES.toString(16)}\r\n${'x'.repeat(PIECE_BYTES)}\r\n`;

/** Writes the start once, and then the piece again and again until it is closed. */
function repeatForever(start: string, piece: string): Behaviour {
  const pieces = Buffer.from(
    piece.repeat(Math.max(1, Math.floor(PIECE_BYTES / piece.length))),
  );
  return (socket) => {
    socket.write(start);
    writeWithoutEnd(socket, pieces);
  };
}

const ANSWERS: Readonly<Record<string, Behaviour>> = {
  'a body in chunks': repeatForever(CHUNKED_HEAD, LARGE_CHUNK),
  'a body until the end of the connection': repeatForever(
    `${HEAD}\r\n`,
    'all or half',
  ),
  'a failure until the end of the connection': repeatForever(
    'HTTP/1.1 500 Failed\r\n\r\n',
    'all or half',
  ),
  'a head': repeatForever(HEAD, 'x-name: value\r\n'),
  'a head that is one line': repeatForever('HTTP/1.1 200 ', 'OK'),
  'answers to another request': repeatForever(
    '',
    `${HEAD}x-request: r0\r\ncontent-length: 4\r\n\r\nlate`,
  ),
  'bytes that are no answer': repeatForever('', '\u0000\u0001\u0002'),
  'empty lines': repeatForever('', '\r\n'),
  'informational answers': repeatForever('', 'HTTP/1.1 100 Continue\r\n\r\n'),
  trailers: repeatForever(`${CHUNKED_HEAD}0\r\n`, 'x-name: value\r\n'),
};

type EndlessPair = RelayPair & {readonly sockets: Socket[]};

async function startPair(t: Test, behaviour: Behaviour): Promise<EndlessPair> {
  const pair = await startRelayPair(t, 20);
  const sockets: Socket[] = [];
  pair.first.behaviour = (socket, head) => {
    sockets.push(socket);
    behaviour(socket, head);
  };
  return {...pair, sockets};
}

for (const [name, behaviour] of Object.entries(ANSWERS)) {
  t.test(
    `${name} without end fails the request long before its deadline`,
    async (t) => {
      const {bench, client, first, sockets} = await startPair(t, behaviour);
      const startedAt = performance.now();
      const request = {isIdempotent: false};
      const answer = await bench.sendRequest(client, request).answer;
      t.match(answer, {executed: 'unknown', status: 502});
      t.ok(
        performance.now() - startedAt < DETECTION_MILLISECONDS,
        `${String(Math.round(performance.now() - startedAt))} ms`,
      );
      await waitUntil(() => sockets.every(({closed}) => closed));
      first.behaviour = answerWith('sound');
      t.match(await bench.sendRequest(client).answer, {status: 200});
    },
  );
}

t.test('many endless answers at once', async (t) => {
  const endless = repeatForever(CHUNKED_HEAD, LARGE_CHUNK);
  const {bench, client, first} = await startPair(t, endless);
  const base = process.memoryUsage().arrayBuffers;
  let peak = 0;
  const sampler = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().arrayBuffers - base);
  }, 5);
  const request = {isIdempotent: false};
  const answers = Array.from(
    {length: 12},
    () => bench.sendRequest(client, request).answer,
  );
  await waitUntil(() => first.heads.length === 12);
  first.behaviour = answerWith('sound');
  t.match(await bench.sendRequest(client).answer, {status: 200});
  for (const {status} of await Promise.all(answers)) {
    t.equal(status, 502);
  }
  clearInterval(sampler);
  t.ok(
    peak < MAXIMUM_BODY_BYTES,
    `${String(Math.round(peak / MEGABYTE))} MB of bodies at most`,
  );
});

t.test(
  'an endless answer does not cut a large one with a length',
  async (t) => {
    const endless = repeatForever(CHUNKED_HEAD, LARGE_CHUNK);
    const {bench, client, first} = await startPair(t, endless);
    const length = 20 * MEGABYTE;
    const endlessAnswer = bench.sendRequest(client, {
      isIdempotent: false,
    }).answer;
    await waitUntil(() => first.heads.length === 1);
    first.behaviour = (socket, head) => {
      const identifier = /x-request: (.*)/.exec(head)?.[1] ?? '';
      socket.write(
        `${HEAD}x-request: ${identifier}\r\ncontent-length: ${String(length)}\r\n\r\n`,
      );
      socket.write(Buffer.alloc(length, 'y'));
    };
    const {body, status} = await bench.sendRequest(client).answer;
    t.equal(status, 200);
    t.equal(body.length, length);
    t.equal((await endlessAnswer).status, 502);
  },
);

t.test('an endless answer in chunks of one byte', async (t) => {
  const endless = repeatForever(CHUNKED_HEAD, '1\r\nx\r\n');
  const {bench, client} = await startPair(t, endless);
  const base = process.memoryUsage();
  let peak = 0;
  const sampler = setInterval(() => {
    const {arrayBuffers, heapUsed} = process.memoryUsage();
    peak = Math.max(
      peak,
      arrayBuffers + heapUsed - base.arrayBuffers - base.heapUsed,
    );
  }, 5);
  const {status} = await bench.sendRequest(client, {isIdempotent: false})
    .answer;
  clearInterval(sampler);
  t.equal(status, 502);
  t.ok(
    peak < MAXIMUM_HEAP_BYTES,
    `${String(Math.round(peak / MEGABYTE))} MB more at most`,
  );
});
