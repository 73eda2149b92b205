import type {IncomingCall} from '../../SessionTypes.js';
import type {Direction} from '../utils/Forwarder.js';
import type {TestPool, TestPoolOptions} from '../utils/poolFixtures.js';
import type {Test} from 'tap';

import t from 'tap';

import {CallHistory} from '../utils/CallHistory.js';
import {Forwarder} from '../utils/Forwarder.js';
import {
  type CallOutcome,
  callWith,
  collect,
  createHead,
  sendOk,
  startPool,
} from '../utils/poolFixtures.js';

const QUICK = {
  keepaliveIntervalMilliseconds: 100,
  keepaliveTimeoutMilliseconds: 300,
};
const REQUEST = 'two crates of pickles '.repeat(40);
const ANSWER = 'a long label sheet '.repeat(40_000);

type Bench = {
  readonly forwarder: Forwarder;
  readonly history: CallHistory;
  readonly left: TestPool;
  readonly right: TestPool;
  readonly stopServing: () => void;
};

async function openBench(
  t: Test,
  options: TestPoolOptions = {},
): Promise<Bench> {
  const directory = new Map();
  const history = new CallHistory();
  const left = await startPool('left', directory, {limits: QUICK, ...options});
  const right = await startPool('right', directory, {
    limits: QUICK,
    ...options,
  });
  const forwarder = new Forwarder(right.address);
  directory.set('right', await forwarder.start());
  const stopServing = right.pool.registerCallListener((incoming) => {
    history.serve(incoming, (answer) => {
      sendOk(incoming);
      incoming.write(answer);
      incoming.end({load: undefined, tokensReturned: 0});
    });
  });
  t.teardown(async () => {
    forwarder.stop();
    await left.pool.stop();
    await right.pool.stop();
  });
  return {forwarder, history, left, right, stopServing};
}

/** Calls, and asks for the outcome as often as the session is lost. */
async function callUntilKnown(
  bench: Bench,
  attempt: string,
): Promise<CallOutcome> {
  const {history, left} = bench;
  history.expect(attempt, REQUEST, ANSWER);
  const body = Buffer.from(REQUEST);
  let outcome = await callWith(left.pool, 'right', createHead(attempt), body);
  let received = outcome.body;
  while (outcome.failure?.kind === 'lost') {
    outcome = await resolve(left, attempt);
    received = Buffer.concat([received, outcome.body]);
  }
  outcome = {...outcome, body: received};
  history.recordOutcome(attempt, outcome);
  return outcome;
}

function resolve(left: TestPool, attempt: string): Promise<CallOutcome> {
  return new Promise((onDone) => {
    const handlers = collect(onDone, (bytes) => {
      call.grantCredit(bytes.length);
    });
    const call = left.pool.resolveAttempt('right', attempt, handlers);
  });
}

const CUTS: readonly (readonly [Direction, readonly number[]])[] = [
  ['forth', [0, 1, 15, 16, 120, 200, 240, 241, 260, 600, 1_000, 1_249, 1_250]],
  ['back', [0, 1, 16, 100, 200, 240, 260, 300, 65_536, 200_000, 380_000]],
];

t.test('a session cut at any step leaves no wrong outcome', async (t) => {
  const bench = await openBench(t);
  for (const [direction, offsets] of CUTS) {
    for (const [index, offset] of [...offsets, ...offsets].entries()) {
      const attempt = `cut ${String(index)} ${direction} at ${String(offset)}`;
      if (index < offsets.length) {
        await callUntilKnown(bench, `${attempt}: opens the session`);
      }
      bench.forwarder.cutAfter(direction, offset);
      const outcome = await callUntilKnown(bench, attempt);
      t.strictSame(bench.history.findViolations(), [], attempt);
      const isKnown =
        outcome.kind === 'end' ||
        outcome.resolutions.includes('neverSeen') ||
        outcome.failure?.kind === 'notSent';
      t.ok(isKnown, `${attempt}: ${outcome.kind}`);
      bench.forwarder.cutAfter(direction, 0);
      await callUntilKnown(bench, `${attempt}: closes the session`);
    }
  }
});

const SILENCES: readonly (readonly Direction[])[] = [
  ['forth', 'back'],
  ['forth'],
  ['back'],
];

t.test('a silent session is replaced and its calls resolved', async (t) => {
  for (const directions of SILENCES) {
    const bench = await openBench(t);
    const name = directions.join(' and ');
    t.equal((await callUntilKnown(bench, 'first')).kind, 'end', name);
    bench.forwarder.silence(...directions);
    const outcome = await callUntilKnown(bench, 'second');
    bench.forwarder.release();
    t.strictSame(bench.history.findViolations(), [], name);
    const wasSeen = !directions.includes('forth');
    t.equal(outcome.kind, wasSeen ? 'end' : 'resolution', name);
    t.strictSame(
      outcome.resolutions,
      [wasSeen ? 'done' : 'neverSeen'],
      `${name}: resolution`,
    );
    t.equal(bench.forwarder.getConnectionCount(), 2, `${name}: new session`);
    const third = await callUntilKnown(bench, 'third');
    t.equal(third.kind, 'end', `${name}: goes on`);
    t.equal(bench.history.getRuns('second'), wasSeen ? 1 : 0, `${name}: runs`);
  }
});

t.test('an attempt that runs on gets its answer re-attached', async (t) => {
  const bench = await openBench(t);
  const {forwarder, left, right} = bench;
  const held: IncomingCall[] = [];
  let written = 0;
  const writeWithin = (limit: number) => {
    let isWritable = true;
    while (isWritable && written < limit) {
      const part = ANSWER.slice(written, written + 1_000);
      written += part.length;
      isWritable = held[0]?.write(Buffer.from(part)) ?? false;
    }
    if (written === ANSWER.length) {
      held[0]?.end({load: undefined, tokensReturned: 0});
    }
  };
  bench.stopServing();
  right.pool.registerCallListener((incoming) => {
    held.push(incoming);
    incoming.accept({
      onBody: () => undefined,
      onCancel: () => undefined,
      onEnd: () => {
        sendOk(incoming);
        right.pool.send('left', 'half', 'of the answer follows');
        writeWithin(ANSWER.length);
      },
      onWritable: () => {
        writeWithin(ANSWER.length);
      },
    });
  });
  left.pool.registerListener('half', () => {
    forwarder.cutAll();
  });
  const body = Buffer.from(REQUEST);
  const first = await callWith(left.pool, 'right', createHead('slow'), body);
  t.equal(first.failure?.kind, 'lost');
  t.ok(ANSWER.startsWith(first.body.toString()));
  const rest = await resolve(left, 'slow');
  t.strictSame(rest.resolutions, ['running']);
  const heads = [first.status, rest.status].filter((head) => head === 200);
  t.equal(heads.length, 1, 'the head is delivered once');
  t.equal(first.body.toString() + rest.body.toString(), ANSWER);
  t.equal(held.length, 1, 'runs once');
});

for (const fencesAttempts of [true, false]) {
  const name = fencesAttempts ? 'is refused' : 'runs without fencing';
  t.test(`a fenced attempt that arrives later ${name}`, async (t) => {
    const bench = await openBench(t, {
      limits: QUICK,
      switches: {fencesAttempts},
    });
    await callUntilKnown(bench, 'first');
    bench.forwarder.silence('forth');
    const lost = await callUntilKnown(bench, 'late');
    t.strictSame(lost.resolutions, ['neverSeen']);
    const again = await callWith(
      bench.left.pool,
      'right',
      createHead('late'),
      Buffer.from(REQUEST),
    );
    const {length} = bench.history.findViolations();
    t.equal(length, fencesAttempts ? 0 : 1, 'the checker sees it');
    t.equal(again.resultName, fencesAttempts ? 'fenced' : undefined);
  });
}
