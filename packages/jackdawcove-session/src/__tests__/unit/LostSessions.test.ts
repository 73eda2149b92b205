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
  createHead,
  createOutcomeCollector,
  sendOk,
  startPool,
} from '../utils/poolFixtures.js';

const SHORT_KEEPALIVE = {
  keepaliveIntervalMilliseconds: 100,
  keepaliveTimeoutMilliseconds: 300,
};
const REQUEST = 'two crates of pickles '.repeat(40);
const ANSWER = 'a long label sheet '.repeat(40_000);

type SessionFixture = {
  readonly forwarder: Forwarder;
  readonly history: CallHistory;
  readonly left: TestPool;
  readonly right: TestPool;
  readonly stopServing: () => void;
};

async function createFixture(
  t: Test,
  options: TestPoolOptions = {},
): Promise<SessionFixture> {
  const directory = new Map();
  const history = new CallHistory();
  const left = await startPool('left', directory, {
    limits: SHORT_KEEPALIVE,
    ...options,
  });
  const right = await startPool('right', directory, {
    limits: SHORT_KEEPALIVE,
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

/** Calls, and resolves the attempt again each time the session is lost. */
async function callUntilResolved(
  fixture: SessionFixture,
  attempt: string,
): Promise<CallOutcome> {
  const {history, left} = fixture;
  history.expect(attempt, REQUEST, ANSWER);
  const body = Buffer.from(REQUEST);
  let outcome = await callWith(left.pool, 'right', createHead(attempt), body);
  let received = outcome.body;
  while (outcome.failure?.kind === 'lost') {
    outcome = await resolveAttempt(left, attempt);
    received = Buffer.concat([received, outcome.body]);
  }
  outcome = {...outcome, body: received};
  history.recordOutcome(attempt, outcome);
  return outcome;
}

function resolveAttempt(left: TestPool, attempt: string): Promise<CallOutcome> {
  return new Promise((onDone) => {
    const handlers = createOutcomeCollector(onDone, (bytes) => {
      call.grantCredit(bytes.length);
    });
    const call = left.pool.resolveAttempt('right', attempt, handlers);
  });
}

const CUT_OFFSETS: readonly (readonly [Direction, readonly number[]])[] = [
  [
    'upstream',
    [0, 1, 15, 16, 120, 200, 240, 241, 260, 600, 1_000, 1_249, 1_250],
  ],
  ['downstream', [0, 1, 16, 100, 200, 240, 260, 300, 65_536, 200_000, 380_000]],
];

t.test('a session cut at any byte causes no wrong outcome', async (t) => {
  const fixture = await createFixture(t);
  for (const [direction, offsets] of CUT_OFFSETS) {
    for (const [index, offset] of [...offsets, ...offsets].entries()) {
      const attempt = `cut ${String(index)} ${direction} ${String(offset)}`;
      if (index < offsets.length) {
        await callUntilResolved(fixture, `${attempt}: opens the session`);
      }
      fixture.forwarder.cutAfter(direction, offset);
      const outcome = await callUntilResolved(fixture, attempt);
      t.strictSame(fixture.history.findViolations(), [], attempt);
      const isKnown =
        outcome.kind === 'end' ||
        outcome.resolutions.includes('neverSeen') ||
        outcome.failure?.kind === 'notSent';
      t.ok(isKnown, `${attempt}: ${outcome.kind}`);
      fixture.forwarder.cutAfter(direction, 0);
      await callUntilResolved(fixture, `${attempt}: closes the session`);
    }
  }
});

const SILENCED_DIRECTIONS: readonly (readonly Direction[])[] = [
  ['upstream', 'downstream'],
  ['upstream'],
  ['downstream'],
];

t.test('a silent session is replaced and its calls are resolved', async (t) => {
  for (const directions of SILENCED_DIRECTIONS) {
    const fixture = await createFixture(t);
    const name = directions.join(' and ');
    t.equal((await callUntilResolved(fixture, 'first')).kind, 'end', name);
    fixture.forwarder.silence(...directions);
    const outcome = await callUntilResolved(fixture, 'second');
    fixture.forwarder.release();
    t.strictSame(fixture.history.findViolations(), [], name);
    const isRequestDelivered = !directions.includes('upstream');
    t.equal(outcome.kind, isRequestDelivered ? 'end' : 'resolution', name);
    t.strictSame(
      outcome.resolutions,
      [isRequestDelivered ? 'done' : 'neverSeen'],
      `${name}: resolution`,
    );
    t.equal(fixture.forwarder.getConnectionCount(), 2, `${name}: new session`);
    const third = await callUntilResolved(fixture, 'third');
    t.equal(third.kind, 'end', `${name}: later call`);
    t.equal(
      fixture.history.getRuns('second'),
      isRequestDelivered ? 1 : 0,
      `${name}: runs`,
    );
  }
});

t.test(
  'the answer of a running attempt moves to the new session',
  async (t) => {
    const fixture = await createFixture(t);
    const {forwarder, left, right} = fixture;
    const incomingCalls: IncomingCall[] = [];
    let written = 0;
    const writeUpTo = (limit: number) => {
      let isWritable = true;
      while (isWritable && written < limit) {
        const part = ANSWER.slice(written, written + 1_000);
        written += part.length;
        isWritable = incomingCalls[0]?.write(Buffer.from(part)) ?? false;
      }
      if (written === ANSWER.length) {
        incomingCalls[0]?.end({load: undefined, tokensReturned: 0});
      }
    };
    fixture.stopServing();
    right.pool.registerCallListener((incoming) => {
      incomingCalls.push(incoming);
      incoming.accept({
        onBody: () => undefined,
        onCancel: () => undefined,
        onEnd: () => {
          sendOk(incoming);
          right.pool.send('left', 'answerStarted', 'cut the session');
          writeUpTo(ANSWER.length);
        },
        onWritable: () => {
          writeUpTo(ANSWER.length);
        },
      });
    });
    left.pool.registerListener('answerStarted', () => {
      forwarder.cutAll();
    });
    const body = Buffer.from(REQUEST);
    const first = await callWith(left.pool, 'right', createHead('slow'), body);
    t.equal(first.failure?.kind, 'lost');
    t.ok(ANSWER.startsWith(first.body.toString()));
    const resumed = await resolveAttempt(left, 'slow');
    t.strictSame(resumed.resolutions, ['running']);
    const heads = [first.status, resumed.status].filter((head) => head === 200);
    t.equal(heads.length, 1, 'the head is delivered once');
    t.equal(first.body.toString() + resumed.body.toString(), ANSWER);
    t.equal(incomingCalls.length, 1, 'the attempt runs once');
  },
);

for (const fencesAttempts of [true, false]) {
  const name = fencesAttempts ? 'is refused' : 'runs if fencing is disabled';
  t.test(`a fenced attempt that arrives later ${name}`, async (t) => {
    const fixture = await createFixture(t, {
      limits: SHORT_KEEPALIVE,
      switches: {fencesAttempts},
    });
    await callUntilResolved(fixture, 'first');
    fixture.forwarder.silence('upstream');
    const lost = await callUntilResolved(fixture, 'late');
    t.strictSame(lost.resolutions, ['neverSeen']);
    const again = await callWith(
      fixture.left.pool,
      'right',
      createHead('late'),
      Buffer.from(REQUEST),
    );
    const {length} = fixture.history.findViolations();
    t.equal(length, fencesAttempts ? 0 : 1, 'violations in the history');
    t.equal(again.resultName, fencesAttempts ? 'fenced' : undefined);
  });
}
