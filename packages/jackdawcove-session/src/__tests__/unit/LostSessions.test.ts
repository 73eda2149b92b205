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
const ANSWER = 'a long label sheet '.repeat(20_000);

type Bench = {
  readonly forwarder: Forwarder;
  readonly history: CallHistory;
  readonly left: TestPool;
  readonly right: TestPool;
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
  right.pool.registerCallListener((incoming) => {
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
  return {forwarder, history, left, right};
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
    const call = left.pool.resolveAttempt(
      'right',
      attempt,
      collect(onDone, (bytes) => {
        call.grantCredit(bytes.length);
      }),
    );
  });
}

const CUTS: readonly (readonly [Direction, readonly number[]])[] = [
  ['forth', [0, 1, 15, 16, 120, 200, 240, 241, 260, 600, 1_000, 1_249, 1_250]],
  ['back', [0, 1, 16, 100, 200, 240, 260, 300, 65_536, 200_000, 380_000]],
];

t.test('a session cut at any step leaves no wrong outcome', async (t) => {
  const bench = await openBench(t);
  for (const [direction, offsets] of CUTS) {
    for (const offset of offsets) {
      const attempt = `cut ${direction} after ${String(offset)}`;
      bench.left.pool.send('right', 'none', 'opens the session');
      bench.forwarder.cutAfter(direction, offset);
      const outcome = await callUntilKnown(bench, attempt);
      t.strictSame(bench.history.findViolations(), [], attempt);
      const isKnown =
        outcome.kind === 'end' ||
        outcome.resolutions.includes('neverSeen') ||
        outcome.failure?.kind === 'notSent';
      t.ok(isKnown, `${attempt}: ${outcome.kind}`);
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
  const {forwarder, history, left, right} = bench;
  t.equal((await callUntilKnown(bench, 'first')).kind, 'end');
  history.expect('slow', REQUEST, ANSWER);
  const answers: (() => void)[] = [];
  right.pool.registerListener('go', () => answers.forEach((run) => run()));
  const outcome = new Promise<CallOutcome>((onDone) => {
    left.pool.registerListener('arrived', () => undefined);
    void callWith(left.pool, 'right', createHead('slow'), Buffer.from(REQUEST))
      .then(() => resolve(left, 'slow'))
      .then(onDone);
  });
  answers.push(() => undefined);
  forwarder.cutAfter('back', 1);
  const {body, kind, resolutions} = await outcome;
  t.equal(kind, 'end');
  t.ok(resolutions[0] === 'done' || resolutions[0] === 'running');
  t.equal(body.toString(), ANSWER);
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
