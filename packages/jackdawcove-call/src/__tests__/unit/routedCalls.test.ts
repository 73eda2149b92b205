import type {
  CallerSideEffect,
  CallPolicy,
  ServerSideEffect,
} from '../../index.js';

import t from 'tap';

import {TEST_POLICY, TestFleet} from '../TestFleet.js';

const ROUTED: Partial<CallPolicy> = {
  freeRedirects: 3,
  retryAllowance: 1,
  usesLedger: false,
};

function getAttempt(effects: readonly CallerSideEffect[]) {
  const sent = effects.find(({kind}) => kind === 'sendAttempt');
  return sent?.kind === 'sendAttempt' ? sent.attempt : undefined;
}

function getIdentifier(effects: readonly ServerSideEffect[]): string {
  const dispatch = effects.find(({kind}) => kind === 'dispatch');
  return dispatch?.kind === 'dispatch'
    ? dispatch.attempt.attemptIdentifier
    : '';
}

t.test(
  'a nested call inherits the context of its running parent',
  async (t) => {
    const fleet = new TestFleet({daemons: ['a'], policy: ROUTED});
    const policy = {...TEST_POLICY, ...ROUTED, importance: 'urgent'} as const;
    const root = {policy, requestIdentifier: 'r1', timeoutMilliseconds: 400};
    const [sent] = fleet.begin('a', 'root', root);
    const running = fleet.deliver('a', sent);
    fleet.now = 100;
    const child = {parentRequestIdentifier: 'r1', requestIdentifier: 'r1.c1'};
    const attempt = getAttempt(fleet.begin('a', 'child', child));
    const parent = getAttempt([sent as CallerSideEffect]);
    t.match(attempt?.context, {
      cohort: parent?.context.cohort,
      depth: 1,
      importance: 'urgent',
      rootIdentifier: 'root',
    });
    t.equal(
      attempt?.remainingMilliseconds,
      300,
      "limited by the parent's deadline",
    );

    const attemptIdentifier = getIdentifier(running);
    fleet
      .get('a')
      .serverSide.handle(
        {attemptIdentifier, kind: 'backendAnswered'},
        fleet.now,
      );
    const late = getAttempt(fleet.begin('a', 'late', child));
    t.match(
      late?.context,
      {depth: 0, importance: 'normal'},
      'the parent no longer runs',
    );
  },
);

t.test(
  'a call whose parent identifier is unknown is a root request',
  async (t) => {
    const fleet = new TestFleet({daemons: ['a'], policy: ROUTED});
    const request = {parentRequestIdentifier: 'forged', requestIdentifier: 'x'};
    t.equal(getAttempt(fleet.begin('a', 'call', request))?.context.depth, 0);
  },
);

t.test(
  'a non-idempotent request without a ledger is not retried',
  async (t) => {
    const policy = {...ROUTED, isIdempotent: false};
    const fleet = new TestFleet({daemons: ['a', 'b', 'c'], policy});
    const [sent] = fleet.begin('a', 'call');
    t.equal(sent?.kind, 'sendAttempt', 'no claim is made');
    const attempt = getAttempt([sent as CallerSideEffect]);
    const effects = fleet.get('a').callerSide.handle(
      {
        end: {
          attemptIdentifier: attempt?.attemptIdentifier ?? '',
          load: {
            downstreamThreshold: 0,
            inFlight: 0,
            limit: 4,
            queueingDelayMilliseconds: 0,
            threshold: 0,
          },
          result: 'outcomeUnknown',
          tokensReturned: 1,
        },
        kind: 'answerEnd',
      },
      10,
    );
    t.match(effects, [{executed: 'unknown', kind: 'finish'}]);
  },
);

t.test('refusals by daemons cost no retry token', async (t) => {
  const policy = {...ROUTED, retryAllowance: 0};
  const daemons = ['a', 'b', 'c', 'd', 'e'];
  const fleet = new TestFleet({daemons, policy});
  for (const daemon of daemons) {
    fleet.get(daemon).serverSide.handle({kind: 'drain'}, 0);
  }
  let effects = fleet.begin('a', 'call');
  let attempts = 0;
  while (effects[0]?.kind === 'sendAttempt') {
    attempts += 1;
    const refusal = fleet.deliver('a', effects[0])[0];
    effects = fleet.reply(refusal);
  }
  t.equal(attempts, 4, 'first attempt and three redirects');
  t.match(effects, [
    {executed: 'no', kind: 'finish', result: 'instanceDraining'},
  ]);
});

t.test(
  'a crash suspect runs concurrently when suspects are not isolated',
  async (t) => {
    const fleet = new TestFleet({
      daemons: ['a'],
      server: {
        isFencing: true,
        isIsolatingSuspects: false,
        isQuarantining: true,
      },
      slots: 64,
    });
    const [first] = fleet.begin('a', 'first');
    fleet.deliver('a', first);
    fleet.get('a').quarantine.recordCrash(
      {
        fingerprints: [
          getAttempt([first as CallerSideEffect])?.fingerprint ?? '',
        ],
        instance: 'instance-b',
        instanceIncarnation: 1,
        service: 'shelf',
      },
      0,
    );
    const attempt = getAttempt([first as CallerSideEffect]);
    const effects = fleet.get('a').serverSide.handle(
      {
        attempt: {...attempt, attemptIdentifier: 'second.1'} as never,
        callerDaemon: 'a',
        kind: 'arrive',
      },
      0,
    );
    t.match(effects, [{kind: 'dispatch'}]);
  },
);
