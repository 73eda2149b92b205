import type {AnswerHead} from '../../SessionSchemas.js';
import type {TestEndpoint, TestEndpointOptions} from '../utils/coreFixtures.js';

import fc from 'fast-check';
import t from 'tap';

import {AnswerSource} from '../../AnswerSource.js';
import {
  createEndpoint,
  deliver,
  getCloseResult,
  openSession,
  recordEffects,
  settle,
  UNLIMITED_BYTES,
} from '../utils/coreFixtures.js';
import {createHead} from '../utils/poolFixtures.js';

const SEED = 23;
const TICK_MILLISECONDS = 100;
const OK: AnswerHead = {
  executed: 'yes',
  headers: [],
  load: undefined,
  resultNumber: 0,
  status: 200,
};

function openCall(endpoint: TestEndpoint, body: string): number {
  const callNumber = endpoint.core.outgoing.getNextCallNumber();
  endpoint.core.outgoing.open(createHead(`attempt ${String(callNumber)}`));
  endpoint.core.outgoing.addRequestBytes(callNumber, Buffer.from(body));
  endpoint.core.outgoing.endRequest(callNumber);
  return callNumber;
}

function answerCall(
  endpoint: TestEndpoint,
  callNumber: number,
  body: string,
): void {
  const answer = new AnswerSource(262_144);
  endpoint.core.incoming.attach(callNumber, answer, false);
  answer.setHead(OK);
  answer.body.add(Buffer.from(body));
  answer.finish({kind: 'end', trailer: {load: undefined, tokensReturned: 0}});
  endpoint.core.incoming.recordAnswerBytes(callNumber, body.length);
}

function readAnswers(endpoint: TestEndpoint): Map<number, string> {
  const answers = new Map<number, string>();
  for (const effect of endpoint.effects) {
    if (effect.kind === 'answerBody') {
      const before = answers.get(effect.callNumber) ?? '';
      answers.set(
        effect.callNumber,
        before + Buffer.from(effect.body).toString(),
      );
    }
  }
  return answers;
}

/** Answers calls on one session and returns the frames of the answers. */
function recordSession(calls: number, nonceSeed: string): readonly Buffer[] {
  const {acceptor, initiator} = openSession({nonceSeed});
  for (let index = 0; index < calls; index += 1) {
    const callNumber = openCall(initiator, 'request');
    deliver(initiator, acceptor);
    answerCall(acceptor, callNumber, `${nonceSeed} ${String(callNumber)}`);
    recordEffects(acceptor, acceptor.core.flush(UNLIMITED_BYTES));
  }
  return acceptor.sent;
}

/** Injects frames of an earlier session between those of the current one. */
function runInterleavedSessions(
  replayFlags: readonly boolean[],
  options: TestEndpointOptions,
): boolean {
  const earlier = [...recordSession(replayFlags.length, 'earlier')];
  const {acceptor, initiator} = openSession({...options, nonceSeed: 'later'});
  const callNumbers = replayFlags.map(() => openCall(initiator, 'request'));
  deliver(initiator, acceptor);
  for (const [index, isEarlier] of replayFlags.entries()) {
    const callNumber = callNumbers[replayFlags.length - 1 - index] ?? 0;
    answerCall(acceptor, callNumber, `later ${String(callNumber)}`);
    if (isEarlier) {
      recordEffects(
        initiator,
        initiator.core.receive(earlier.shift() ?? Buffer.of()),
      );
    }
    deliver(acceptor, initiator);
  }
  return [...readAnswers(initiator)].every(
    ([callNumber, body]) => body === `later ${String(callNumber)}`,
  );
}

const REPLAY_FLAGS = fc.array(fc.boolean(), {maxLength: 12, minLength: 1});

t.test('no answer of an earlier session is delivered to a call', async () => {
  fc.assert(
    fc.property(REPLAY_FLAGS, (replayFlags) =>
      runInterleavedSessions(replayFlags, {}),
    ),
    {seed: SEED},
  );
});

t.test(
  'without the binding check answers reach calls of another session',
  async (t) => {
    const switches = {checksBinding: false};
    const details = fc.check(
      fc.property(REPLAY_FLAGS, (replayFlags) =>
        runInterleavedSessions(replayFlags, {switches}),
      ),
      {seed: SEED},
    );
    t.ok(details.failed);
  },
);

t.test('answers for finished calls are dropped and counted', async (t) => {
  const {acceptor, initiator} = openSession();
  const callNumber = openCall(initiator, 'request');
  const other = openCall(initiator, 'request');
  deliver(initiator, acceptor);
  answerCall(acceptor, callNumber, 'late');
  answerCall(acceptor, other, 'in time');
  initiator.core.outgoing.cancel(callNumber);
  deliver(acceptor, initiator);
  t.strictSame([...readAnswers(initiator)], [[other, 'in time']]);
  t.equal(initiator.core.getCounts().framesDropped, 1);
  t.equal(getCloseResult(initiator), undefined);
});

t.test('head, small body and end are sent as one frame each way', async (t) => {
  const {acceptor, initiator} = openSession();
  const before = initiator.core.getCounts();
  const callNumber = openCall(initiator, 'x'.repeat(2_048));
  deliver(initiator, acceptor);
  answerCall(acceptor, callNumber, 'y'.repeat(2_048));
  deliver(acceptor, initiator);
  const after = initiator.core.getCounts();
  t.equal(after.framesSent - before.framesSent, 1);
  t.equal(after.framesReceived - before.framesReceived, 1);
  t.equal(initiator.effects.at(-1)?.kind, 'answerEnd');
});

for (const checksBodies of [true, false]) {
  const name = checksBodies ? 'fails' : 'is accepted without the check';
  t.test(`an altered or truncated answer ${name}`, async (t) => {
    for (const alteration of ['altered', 'truncated'] as const) {
      const switches = {checksBinding: false, checksBodies};
      const {acceptor, initiator} = openSession({switches});
      const callNumber = openCall(initiator, 'request');
      deliver(initiator, acceptor);
      answerCall(acceptor, callNumber, 'z'.repeat(100_000));
      recordEffects(acceptor, acceptor.core.flush(UNLIMITED_BYTES));
      const frames = acceptor.sent.splice(0);
      const bytes = Buffer.concat(frames);
      const first = bytes.readUInt32BE(0) + 4;
      if (alteration === 'altered') {
        bytes.write('a', first - 1);
      }
      const second = first + bytes.readUInt32BE(first) + 4;
      const skipped = alteration === 'truncated' ? second : first;
      recordEffects(
        initiator,
        initiator.core.receive(bytes.subarray(0, first)),
      );
      recordEffects(initiator, initiator.core.receive(bytes.subarray(skipped)));
      const last = initiator.effects.at(-1);
      t.equal(last?.kind, checksBodies ? 'failed' : 'answerEnd', alteration);
      t.equal(initiator.core.getPhase(), 'open', 'the session stays open');
    }
  });
}

t.test('sending beyond the credit closes the session', async (t) => {
  const {acceptor, initiator} = openSession(
    {limits: {streamWindowBytes: 100_000}},
    {limits: {streamWindowBytes: 1_000}},
  );
  const callNumber = openCall(initiator, '');
  const {outgoing} = initiator.core;
  outgoing.open(createHead('in parts'));
  for (const part of ['x'.repeat(600), 'y'.repeat(400), 'z']) {
    t.equal(getCloseResult(acceptor), undefined);
    outgoing.addRequestBytes(callNumber + 2, Buffer.from(part));
    deliver(initiator, acceptor);
  }
  t.equal(getCloseResult(acceptor), 'flowControlViolation');
});

t.test('calls over the limit are refused', async (t) => {
  const limits = {maximumCallsPerSession: 2};
  const {acceptor, initiator} = openSession({}, {limits});
  const numbers = [1, 2, 3].map(() => openCall(initiator, ''));
  settle(initiator, acceptor);
  const refused = initiator.effects.find(({kind}) => kind === 'refused');
  t.match(refused, {
    callNumber: numbers[2],
    refusal: {failure: {result: 'tooManyOpenCalls'}},
  });
});

const SILENCES: readonly (readonly [
  name: string,
  toAcceptor: boolean,
  toInitiator: boolean,
  isBusy: boolean,
])[] = [
  ['in both directions', false, false, true],
  ['towards the server', false, true, true],
  ['towards the caller', true, false, true],
  ['in both directions, from the first call on', false, false, false],
];

/** Silences a session after 3 s; returns how long each end then took to close. */
function runSilence(
  toAcceptor: boolean,
  toInitiator: boolean,
  isBusy: boolean,
  options: TestEndpointOptions,
): readonly (number | undefined)[] {
  const {acceptor, initiator} = openSession(options);
  const closedAt: (number | undefined)[] = [undefined, undefined];
  if (isBusy) {
    openCall(initiator, 'request');
    deliver(initiator, acceptor);
  }
  for (let now = 0; now <= 10_000; now += TICK_MILLISECONDS) {
    const isSilent = now >= 3_000;
    if (!isBusy && now === 3_000) {
      openCall(initiator, 'request');
    }
    for (const [index, endpoint] of [initiator, acceptor].entries()) {
      recordEffects(endpoint, endpoint.core.tick(now));
      recordEffects(endpoint, endpoint.core.flush(UNLIMITED_BYTES));
      if (getCloseResult(endpoint) !== undefined) {
        closedAt[index] ??= now - 3_000;
      }
    }
    transfer(initiator, acceptor, !isSilent || toAcceptor);
    transfer(acceptor, initiator, !isSilent || toInitiator);
  }
  return closedAt;
}

function transfer(
  from: TestEndpoint,
  to: TestEndpoint,
  isDelivered: boolean,
): void {
  for (const bytes of from.sent.splice(0)) {
    if (isDelivered) {
      recordEffects(to, to.core.receive(bytes));
    }
  }
}

t.test('silence is detected within 2 s when there is a call', async (t) => {
  for (const [name, toAcceptor, toInitiator, isBusy] of SILENCES) {
    const [initiator, acceptor] = runSilence(
      toAcceptor,
      toInitiator,
      isBusy,
      {},
    );
    t.ok((initiator ?? Infinity) < 2_000, `${name}: ${String(initiator)}`);
    if (isBusy) {
      t.ok((acceptor ?? Infinity) < 2_000, `${name}: ${String(acceptor)}`);
    }
  }
});

t.test('silence is not detected without keepalive', async (t) => {
  const switches = {checksKeepalive: false};
  t.strictSame(runSilence(false, false, true, {switches}), [
    undefined,
    undefined,
  ]);
});

t.test('a working session is never reported as silent', async (t) => {
  t.strictSame(runSilence(true, true, true, {}), [undefined, undefined]);
  t.strictSame(runSilence(true, true, false, {}), [undefined, undefined]);
});

t.test(
  'a pause of this process is not taken for silence of the peer',
  async (t) => {
    const {acceptor, initiator} = openSession();
    openCall(initiator, 'request');
    recordEffects(initiator, initiator.core.tick(100));
    settle(initiator, acceptor);
    recordEffects(initiator, initiator.core.tick(60_000));
    settle(initiator, acceptor);
    recordEffects(initiator, initiator.core.tick(60_100));
    t.equal(initiator.core.getPhase(), 'open');
  },
);

t.test(
  'a goodbye closes an idle session unless a call crosses it',
  async (t) => {
    for (const isCrossed of [false, true]) {
      const {acceptor, initiator} = openSession();
      if (isCrossed) {
        openCall(acceptor, 'crossing');
        recordEffects(acceptor, acceptor.core.flush(UNLIMITED_BYTES));
      }
      recordEffects(initiator, initiator.core.sendGoodbye());
      settle(initiator, acceptor);
      const phase = isCrossed ? 'open' : 'closed';
      t.equal(initiator.core.getPhase(), phase);
      t.equal(acceptor.core.getPhase(), phase);
    }
    t.equal(createEndpoint('initiator').core.sendGoodbye().length, 0);
  },
);
