/** Tests that a stop of the daemon of a caller does not truncate answers that it reads slowly. */

import type {Address} from 'jackdawcove-shared';
import type {Socket} from 'node:net';

import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {TestFleet} from '../fixtures/TestFleet.js';

const BODY_BYTES = 8_000_000;
const READ_BYTES = 16_384;
const READ_INTERVAL_MILLISECONDS = 10;
const HEAD_END = '\r\n\r\n';

async function send(address: Address): Promise<Socket> {
  const socket = connect(address.port, address.host);
  await once(socket, 'connect');
  socket.write(
    'GET /shelf/books HTTP/1.1\r\nconnection: close\r\nhost: shelf\r\n\r\n',
  );
  await once(socket, 'readable');
  return socket;
}

async function readSlowly(socket: Socket): Promise<Buffer> {
  const chunks: Buffer[] = [];
  while (!socket.readableEnded && !socket.destroyed) {
    const size = Math.min(READ_BYTES, socket.readableLength);
    const chunk = socket.read(size === 0 ? undefined : size) as Buffer | null;
    if (chunk !== null) {
      chunks.push(chunk);
    }
    await delay(READ_INTERVAL_MILLISECONDS);
  }
  return Buffer.concat(chunks);
}

t.test('an answer of a service is whole after a stop', async (t) => {
  const fleet = new TestFleet({
    extraSettings: ['[drain]', 'spread_milliseconds = 0'],
    handler: (_incoming, outgoing) => {
      outgoing.end(Buffer.alloc(BODY_BYTES, 'book'));
    },
    size: 2,
  });
  await fleet.start();
  const socket = await send(fleet.getCaller());
  socket.on('error', () => undefined);
  const stopped = fleet.daemons[0]?.stop();
  const received = await readSlowly(socket);
  const bodyStart = received.indexOf(HEAD_END) + HEAD_END.length;
  t.match(received.toString('latin1', 0, bodyStart), /^HTTP\/1.1 200 /);
  t.equal(received.length - bodyStart, BODY_BYTES, 'the whole body');
  await stopped;
  await fleet.stop();
});
