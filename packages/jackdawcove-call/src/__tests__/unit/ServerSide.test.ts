import type {Attempt, ServerSideInput} from '../../index.js';

import t from 'tap';

import {TEST_REQUEST, TestFleet} from '../TestFleet.js';

const ATTEMPT: Attempt = {
  attemptIdentifier: 'call.1',
  callIdentifier: 'call',
  context: {
    cohort: 0.5,
    depth: 0,
    importance: 'normal',
    revision: 1,
    rootIdentifier: 'call',
  },
  daemonIncarnation: 1,
  fingerprint: 'f',
  instance: 'instance-a',
  instanceIncarnation: 1,
  isIdempotent: true,
  isSuspectRetry: false,
  method: 'GET',
  path: '/prices',
  remainingMilliseconds: 500,
  service: 'shelf',
  tokensLent: 2,
};
const QUERY = {
  ageMilliseconds: 0,
  attemptIdentifier: 'call.1',
  daemonIncarnation: 1,
};
const IDENTIFIER = {attemptIdentifier: 'call.1'};

const arrive = (change: Partial<Attempt> = {}): ServerSideInput => ({
  attempt: {...ATTEMPT, ...change},
  callerDaemon: 'b',
  kind: 'arrive',
});
const resolve = (change: Partial<typeof QUERY> = {}): ServerSideInput => ({
  callerDaemon: 'b',
  kind: 'resolve',
  query: {...QUERY, ...change},
});

type Case = {
  /** Expected effects of the last input. */
  readonly effects: readonly object[];
  readonly inputs: readonly ServerSideInput[];
  readonly name: string;
  readonly now?: number;
};

const FENCED = {refusal: {result: 'fenced', tokensReturned: 2}};
const BACKEND_ANSWERED = {
  attemptIdentifier: 'call.1',
  kind: 'backendAnswered',
} as const;

const CASES: readonly Case[] = [
  {
    effects: [{contextHeader: /^1\./, kind: 'dispatch'}],
    inputs: [arrive()],
    name: 'dispatches an attempt with its context',
  },
  {
    effects: [{kind: 'refuse', refusal: {result: 'instanceDraining'}}],
    inputs: [{kind: 'drain'}, arrive()],
    name: 'refuses an attempt after a drain has started',
  },
  {
    effects: [{kind: 'endAnswer'}],
    inputs: [arrive(), {kind: 'drain'}, BACKEND_ANSWERED],
    name: 'answers an attempt that runs when a drain starts',
  },
  {
    effects: [{refusal: {result: 'noInstance'}}],
    inputs: [{kind: 'withdrawn'}, arrive()],
    name: 'refuses an attempt for a withdrawn instance',
  },
  {
    effects: [{refusal: {result: 'noInstance'}}],
    inputs: [arrive({instanceIncarnation: 2})],
    name: 'refuses an attempt for another incarnation of the instance',
  },
  {
    effects: [{refusal: {result: 'noInstance'}}],
    inputs: [arrive({daemonIncarnation: 2})],
    name: 'refuses an attempt for another incarnation of the daemon',
  },
  {
    effects: [{refusal: {result: 'deadlineExceededBeforeDispatch'}}],
    inputs: [arrive({remainingMilliseconds: 0})],
    name: 'refuses an expired attempt',
  },
  {
    effects: [],
    inputs: [arrive(), arrive()],
    name: 'runs an attempt only once when it arrives twice',
  },
  {
    effects: [],
    inputs: [arrive(), BACKEND_ANSWERED, arrive()],
    name: 'does not run an attempt that has already run',
  },
  {
    effects: [FENCED],
    inputs: [resolve(), arrive()],
    name: 'refuses an attempt that it reported as never seen',
  },
  {
    effects: [{answer: {resolution: 'neverSeen'}}],
    inputs: [resolve()],
    name: 'resolves an attempt that never arrived as never seen',
  },
  {
    effects: [{answer: {resolution: 'running'}}],
    inputs: [arrive(), resolve()],
    name: 'resolves a running attempt as running',
  },
  {
    effects: [{answer: {resolution: 'done'}}, {end: {result: 'ok'}}],
    inputs: [arrive(), BACKEND_ANSWERED, resolve()],
    name: 'resolves an ended attempt as done and repeats the end of its answer',
  },
  {
    effects: [{answer: {resolution: 'unknown'}}],
    inputs: [resolve({daemonIncarnation: 0})],
    name: 'resolves an attempt to an earlier incarnation of the daemon as unknown',
  },
  {
    effects: [{answer: {resolution: 'unknown'}}],
    inputs: [resolve({ageMilliseconds: 5_000})],
    name: 'resolves an attempt sent before the records begin as unknown',
    now: 1_000,
  },
  {
    effects: [{answer: {resolution: 'neverSeen'}}],
    inputs: [{kind: 'drain'}, arrive(), resolve()],
    name: 'resolves a refused attempt as never seen',
  },
  {
    effects: [{kind: 'abort'}],
    inputs: [arrive(), {...IDENTIFIER, kind: 'attemptCancelled'}],
    name: 'aborts a running attempt that is cancelled',
  },
  {
    effects: [{end: {result: 'cancelledWhileRunning'}}],
    inputs: [
      arrive(),
      {...IDENTIFIER, kind: 'attemptCancelled'},
      {...IDENTIFIER, isDispatched: true, kind: 'backendFailed'},
    ],
    name: 'ends a cancelled attempt when its backend request ends',
  },
  {
    effects: [{end: {result: 'noInstance', tokensReturned: 2}}],
    inputs: [
      arrive(),
      {...IDENTIFIER, isDispatched: false, kind: 'backendFailed'},
    ],
    name: 'reports not run if no byte of the request was written',
  },
  {
    effects: [{end: {result: 'outcomeUnknown'}}],
    inputs: [
      arrive(),
      {...IDENTIFIER, isDispatched: true, kind: 'backendFailed'},
    ],
    name: 'reports an unknown outcome if the request was written',
  },
  {
    effects: [
      {end: {result: 'backendServerCrashed'}},
      {records: [{fingerprint: 'f'}]},
    ],
    inputs: [arrive(), {kind: 'backendCrashed'}],
    name: 'marks the requests that run during a crash as suspects',
  },
];

for (const {effects, inputs, name, now} of CASES) {
  t.test(name, async (t) => {
    const fleet = new TestFleet({daemons: ['a']});
    const {serverSide} = fleet.get('a');
    const effectLists = inputs.map((input) =>
      serverSide.handle(input, now ?? 0),
    );
    const last = effectLists.at(-1) ?? [];
    t.equal(last.length, effects.length);
    t.match(last, effects);
  });
}

t.test('aborts a running attempt at its deadline', async (t) => {
  const {serverSide} = new TestFleet({daemons: ['a']}).get('a');
  serverSide.handle(arrive(), 0);
  t.same(serverSide.handle({kind: 'tick'}, 499), []);
  t.match(serverSide.handle({kind: 'tick'}, 500), [{kind: 'abort'}]);
  t.same(serverSide.handle({kind: 'tick'}, 510), []);
});

t.test('wrong health hints have no effect', async (t) => {
  const run = (hints: readonly boolean[]): unknown => {
    const {serverSide} = new TestFleet({daemons: ['a']}).get('a');
    return Array.from({length: 40}, (_, index) => {
      for (const isHealthy of hints) {
        const hint = {isHealthy, load: isHealthy ? 0 : 1};
        serverSide.handle({hint, kind: 'healthHint'}, index);
      }
      const attemptIdentifier = `call.${String(index)}`;
      const effects = serverSide.handle(arrive({attemptIdentifier}), index);
      const answeredIdentifier = `call.${String(index - 3)}`;
      const ended = serverSide.handle(
        {attemptIdentifier: answeredIdentifier, kind: 'backendAnswered'},
        index,
      );
      return [effects, ended, serverSide.getStatus()];
    });
  };
  t.same(run([false]), run([]));
  t.same(run([true, false]), run([]));
});

t.test('a cancelled parent starts no more nested calls', async (t) => {
  const fleet = new TestFleet({daemons: ['a']});
  const {callerSide, serverSide} = fleet.get('a');
  const [dispatch] = serverSide.handle(arrive(), 0);
  if (dispatch?.kind !== 'dispatch') {
    return;
  }
  serverSide.handle({...IDENTIFIER, kind: 'attemptCancelled'}, 1);
  const request = {
    ...TEST_REQUEST,
    contextHeader: dispatch.contextHeader,
    isFromLoopback: true,
  };
  const begin = {callIdentifier: 'child', kind: 'begin', request} as const;
  t.match(callerSide.handle(begin, 2), [
    {executed: 'no', kind: 'finish', result: 'cancelledBeforeDispatch'},
  ]);
});
