import type {AddressInfo} from 'node:net';

import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

import {formatAddress} from 'jackdawcove-shared';
import t from 'tap';
import {request} from 'undici';

import {startFloorBack} from '../../floor/startFloorBack.js';
import {startFloorFront} from '../../floor/startFloorFront.js';

const LISTEN = {host: '127.0.0.1', port: 0};

const CASES: readonly (readonly [
  method: 'GET' | 'POST',
  path: string,
  bytes: number,
])[] = [
  ['GET', '/jars?zone=erie-dock', 0],
  ['POST', '/crates/7', 1],
  ['POST', '/crates/8', 2_048],
  ['POST', '/labels', 300_000],
];

t.test('the floor passes requests and answers on unchanged', async (t) => {
  const backend = createServer((incoming, outgoing) => {
    outgoing.writeHead(201, {
      'seen-method': incoming.method,
      'seen-path': incoming.url,
      'seen-stall': incoming.headers['stall'],
    });
    incoming.pipe(outgoing);
  });
  await new Promise<void>((resolve) => backend.listen(0, '127.0.0.1', resolve));
  const {port} = backend.address() as AddressInfo;
  const back = await startFloorBack({
    backendServer: {host: '127.0.0.1', port},
    connections: 4,
    listen: LISTEN,
  });
  const front = await startFloorFront({back: back.address, listen: LISTEN});
  t.teardown(async () => {
    await front.stop();
    await back.stop();
    backend.closeAllConnections();
    backend.close();
  });
  const answers = CASES.map(async ([method, path, size], index) => {
    const body = randomBytes(size);
    const answer = await request(
      `http://${formatAddress(front.address)}${path}`,
      {
        body: size === 0 ? null : body,
        headers: {stall: String(index)},
        method,
      },
    );
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    t.equal(answer.statusCode, 201);
    t.ok(bytes.equals(body), `${path}: body`);
    t.match(answer.headers, {
      'seen-method': method,
      'seen-path': path,
      'seen-stall': String(index),
    });
  });
  await Promise.all(answers);
});

t.test('the floor answers 502 without a backend server', async (t) => {
  const back = await startFloorBack({
    backendServer: {host: '127.0.0.1', port: 1},
    connections: 1,
    listen: LISTEN,
  });
  const front = await startFloorFront({back: back.address, listen: LISTEN});
  t.teardown(() => front.stop());
  const url = `http://${formatAddress(front.address)}/`;
  const first = await request(url);
  await first.body.dump();
  t.equal(first.statusCode, 502);
  await back.stop();
});
