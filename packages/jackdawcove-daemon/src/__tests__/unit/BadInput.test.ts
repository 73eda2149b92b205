import type {TestHandler} from '../fixtures/TestBackendServer.js';

import {formatAddress} from 'jackdawcove-shared';
import t from 'tap';

import {rawRequest} from '../fixtures/rawRequest.js';
import {startTestDaemon} from '../fixtures/startTestDaemon.js';
import {TestBackendServer} from '../fixtures/TestBackendServer.js';

const CALLER_TIMEOUT_MILLISECONDS = 1_000;
const BODY_LIMIT_BYTES = 4_096;
const HEADER_LIMIT_BYTES = 4_096;

const answerOk: TestHandler = (incoming, outgoing) => {
  incoming.resume();
  incoming.on('end', () => outgoing.end('fine'));
};

const HOST = 'host: localhost\r\n';

const RAW_CASES = [
  {
    name: 'malformed request line',
    parts: ['NONSENSE\r\n\r\n'],
    result: 100,
  },
  {
    name: 'malformed header',
    parts: [`GET /shelf/a HTTP/1.1\r\n${HOST}bad header\r\n\r\n`],
    result: 100,
  },
  {
    name: 'oversized header',
    parts: [
      `GET /shelf/a HTTP/1.1\r\n${HOST}x: ${'y'.repeat(2 * HEADER_LIMIT_BYTES)}\r\n\r\n`,
    ],
    result: 101,
  },
  {
    name: 'declared body too large',
    parts: [
      `POST /shelf/a HTTP/1.1\r\n${HOST}content-length: ${String(BODY_LIMIT_BYTES + 1)}\r\n\r\n`,
    ],
    result: 102,
  },
  {
    name: 'chunked body too large',
    parts: [
      `POST /shelf/a HTTP/1.1\r\n${HOST}transfer-encoding: chunked\r\n\r\n`,
      `2000\r\n${'z'.repeat(0x2000)}\r\n0\r\n\r\n`,
    ],
    result: 102,
  },
  {
    name: 'unknown service',
    parts: [`GET /nowhere/a HTTP/1.1\r\n${HOST}connection: close\r\n\r\n`],
    result: 103,
  },
  {
    name: 'no service',
    parts: [`GET / HTTP/1.1\r\n${HOST}connection: close\r\n\r\n`],
    result: 100,
  },
  {
    name: 'caller that never finishes its head',
    parts: ['GET /shelf/a HTTP/1.1\r\nhost:'],
    result: 105,
  },
  {
    name: 'caller that never finishes its body',
    parts: [`POST /shelf/a HTTP/1.1\r\n${HOST}content-length: 10\r\n\r\nabc`],
    result: 105,
  },
  {
    name: 'malformed idempotency key',
    parts: [
      `POST /shelf/a HTTP/1.1\r\n${HOST}idempotency-key: 7\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    ],
    result: 106,
  },
];

t.test('bad input of callers', async (t) => {
  const daemon = await startTestDaemon({
    extraSettings: [
      '[limits]',
      `body_bytes = ${String(BODY_LIMIT_BYTES)}`,
      `caller_timeout_milliseconds = ${String(CALLER_TIMEOUT_MILLISECONDS)}`,
      `header_bytes = ${String(HEADER_LIMIT_BYTES)}`,
    ],
    name: 'vm-1',
  });
  const {caller, local} = daemon.getAddresses();
  const backend = new TestBackendServer({
    handler: answerOk,
    instance: 'shelf-1',
    localDaemon: local,
    service: 'shelf',
  });
  await backend.start();
  const callOk = async (): Promise<string> => {
    const answer = await fetch(`http://${formatAddress(caller)}/shelf/good`);
    return answer.text();
  };
  t.equal(await callOk(), 'fine', 'a valid call is served');

  for (const {name, parts, result} of RAW_CASES) {
    t.test(name, async (t) => {
      const [answer, good] = await Promise.all([
        rawRequest(caller, parts),
        callOk(),
      ]);
      t.match(answer, new RegExp(`jackdaw-result: ${String(result)}\r\n`));
      t.match(answer, /jackdaw-executed: no\r\n/);
      t.equal(good, 'fine', 'a concurrent call is served');
    });
  }

  t.test(
    'a request whose body is shorter than declared is not run',
    async (t) => {
      const head = `POST /shelf/short HTTP/1.1\r\n${HOST}content-length: 10\r\n\r\nabc`;
      await rawRequest(caller, [head], true);
      t.notOk(backend.runs.includes('POST /short'));
      t.equal(await callOk(), 'fine');
    },
  );

  t.teardown(async () => {
    backend.stop();
    await daemon.stop();
  });
});
