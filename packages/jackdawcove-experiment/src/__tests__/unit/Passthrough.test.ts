import type {AddressInfo} from 'node:net';

import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

import {formatAddress} from 'jackdawcove-shared';
import t from 'tap';
import {request} from 'undici';

import {startCallerSideProxy} from '../../passthrough/startCallerSideProxy.js';
import {startServerSideProxy} from '../../passthrough/startServerSideProxy.js';

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

t.test(
  'the pass-through proxies forward requests and answers unchanged',
  async (t) => {
    const backendServer = createServer((incoming, outgoing) => {
      outgoing.writeHead(201, {
        'seen-method': incoming.method,
        'seen-path': incoming.url,
        'seen-stall': incoming.headers['stall'],
      });
      incoming.pipe(outgoing);
    });
    await new Promise<void>((resolve) =>
      backendServer.listen(0, '127.0.0.1', resolve),
    );
    const {port} = backendServer.address() as AddressInfo;
    const serverProxy = await startServerSideProxy({
      backendServer: {host: '127.0.0.1', port},
      connections: 4,
      listen: LISTEN,
    });
    const callerProxy = await startCallerSideProxy({
      listen: LISTEN,
      serverProxy: serverProxy.address,
    });
    t.teardown(async () => {
      await callerProxy.stop();
      await serverProxy.stop();
      backendServer.closeAllConnections();
      backendServer.close();
    });
    const answers = CASES.map(async ([method, path, size], index) => {
      const body = randomBytes(size);
      const answer = await request(
        `http://${formatAddress(callerProxy.address)}${path}`,
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
  },
);

t.test(
  'the pass-through proxies answer 502 when the backend server refuses connections',
  async (t) => {
    const serverProxy = await startServerSideProxy({
      backendServer: {host: '127.0.0.1', port: 1},
      connections: 1,
      listen: LISTEN,
    });
    const callerProxy = await startCallerSideProxy({
      listen: LISTEN,
      serverProxy: serverProxy.address,
    });
    t.teardown(() => callerProxy.stop());
    const url = `http://${formatAddress(callerProxy.address)}/`;
    const answer = await request(url);
    await answer.body.dump();
    t.equal(answer.statusCode, 502);
    await serverProxy.stop();
  },
);
