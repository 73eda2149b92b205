import {randomBytes} from 'node:crypto';

import t from 'tap';

import {callWith, createHead, echo, startPool} from '../utils/poolFixtures.js';

const SIZES = [0, 1, 2_048, 65_536, 65_537, 1_048_576, 33_554_432];

t.test('bodies of every size arrive whole, side by side', async (t) => {
  const directory = new Map();
  const left = await startPool('left', directory);
  const right = await startPool('right', directory);
  right.pool.registerCallListener(echo);
  await Promise.all(
    SIZES.map(async (size) => {
      const body = randomBytes(size);
      const head = createHead(`attempt ${String(size)}`);
      const outcome = await callWith(left.pool, 'right', head, body);
      t.equal(outcome.kind, 'end', `${String(size)} bytes end`);
      t.ok(outcome.body.equals(body), `${String(size)} bytes are the same`);
    }),
  );
  t.equal(left.pool.getStatistics().openSessions, 1);
  t.equal(left.pool.getStatistics().bufferedBytes, 0);
  t.equal(right.pool.getStatistics().bufferedBytes, 0);
  await left.pool.stop();
  await right.pool.stop();
});
