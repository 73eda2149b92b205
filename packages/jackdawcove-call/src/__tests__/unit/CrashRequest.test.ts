import type {CallerSideEffect, ServerSideEffect} from '../../index.js';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {DEFAULT_CALLER_SWITCHES, DEFAULT_SERVER_SWITCHES} from '../../index.js';
import {TestFleet} from '../TestFleet.js';

const DAEMONS = ['a', 'b', 'c', 'd', 'e'];
const RESENDS = 20;
const RESTART_MILLISECONDS = 200;
const SEEDS = 20;

type CrashOptions = {
  readonly isQuarantining: boolean;
  /** Whether other daemons receive the suspects before the next resend. */
  readonly isSpreading: boolean;
  readonly seed: number;
};

/** Resends a request that crashes its instance; returns the crash count. */
function countCrashes(options: CrashOptions): number {
  const {isQuarantining, isSpreading, seed} = options;
  const fleet = new TestFleet({
    caller: {...DEFAULT_CALLER_SWITCHES, isQuarantining},
    daemons: DAEMONS,
    seed,
    server: {...DEFAULT_SERVER_SWITCHES, isQuarantining},
  });
  const randomNumber = createSeededRandom(seed);
  let crashes = 0;
  const deliverSuspects = (
    effects: readonly (CallerSideEffect | ServerSideEffect)[],
  ): void => {
    for (const effect of effects) {
      if (effect.kind === 'spreadSuspects' && isSpreading) {
        for (const {quarantine} of fleet.daemons.values()) {
          quarantine.merge(effect.records, fleet.now);
        }
      }
    }
  };
  const applyEffects = (
    from: string,
    effects: readonly CallerSideEffect[],
  ): void => {
    deliverSuspects(effects);
    const send = effects.find(({kind}) => kind === 'sendAttempt');
    if (send?.kind !== 'sendAttempt') {
      return;
    }
    const [first] = fleet.deliver(from, send);
    if (first?.kind === 'dispatch') {
      crashes += 1;
      const {serverSide} = fleet.get(send.daemon);
      const ended = serverSide.handle({kind: 'backendCrashed'}, fleet.now);
      deliverSuspects(ended);
      fleet.announceRestartedInstance(send.daemon);
      const end = ended.find(({kind}) => kind === 'endAnswer');
      applyEffects(from, fleet.reply(end));
      return;
    }
    applyEffects(from, fleet.reply(first));
  };
  for (let resend = 0; resend < RESENDS; resend += 1) {
    const from = DAEMONS[Math.floor(randomNumber() * DAEMONS.length)] as string;
    applyEffects(from, fleet.begin(from, `call-${String(resend)}`));
    fleet.now += RESTART_MILLISECONDS;
  }
  return crashes;
}

t.test('a crash request causes at most two crashes', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const options = {isQuarantining: true, isSpreading: true, seed};
    t.equal(countCrashes(options), 2, `seed ${String(seed)}`);
  }
});

t.test(
  'without quarantine a crash request causes more than two crashes',
  async (t) => {
    const options = {isQuarantining: false, isSpreading: true, seed: 1};
    t.ok(countCrashes(options) > 2);
  },
);

t.test('without messages each daemon detects the request itself', async (t) => {
  const options = {isQuarantining: true, isSpreading: false, seed: 1};
  const crashes = countCrashes(options);
  t.ok(crashes > 2, 'the bound of two depends on the messages');
  t.ok(
    crashes <= 2 * DAEMONS.length,
    `at most two crashes per daemon: ${String(crashes)}`,
  );
});

t.test(
  'a harmless suspect runs once in isolation and is cleared',
  async (t) => {
    const fleet = new TestFleet({daemons: ['a', 'b']});
    const [send] = fleet.begin('a', 'call-1');
    if (send?.kind !== 'sendAttempt') {
      return;
    }
    const {fingerprint} = send.attempt;
    fleet.deliver('a', send);
    const {serverSide} = fleet.get(send.daemon);
    const effects = serverSide.handle({kind: 'backendCrashed'}, 0);
    const [spread] = effects.filter(({kind}) => kind === 'spreadSuspects');
    const records = spread?.kind === 'spreadSuspects' ? spread.records : [];
    for (const {quarantine} of fleet.daemons.values()) {
      quarantine.merge(records, 0);
    }
    const end = effects.find(({kind}) => kind === 'endAnswer');
    const [retry] = fleet.reply(end).filter(({kind}) => kind === 'sendAttempt');
    t.match(retry, {attempt: {isSuspectRetry: true}});
    if (retry?.kind !== 'sendAttempt') {
      return;
    }
    t.not(retry.daemon, send.daemon, 'on another instance');
    t.match(fleet.deliver('a', retry), [{kind: 'dispatch'}]);
    const waiting = fleet.begin(retry.daemon, 'call-2').at(-1);
    t.match(fleet.deliver(retry.daemon, waiting), [
      {refusal: {result: 'suspectWaiting'}},
    ]);
    const {attemptIdentifier} = retry.attempt;
    const {quarantine, serverSide: retryServerSide} = fleet.get(retry.daemon);
    retryServerSide.handle({attemptIdentifier, kind: 'backendAnswered'}, 5);
    t.equal(quarantine.getSuspicion(fingerprint, 6), 'clear');
  },
);
