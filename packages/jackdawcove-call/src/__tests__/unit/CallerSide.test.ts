import type {
  CallerSideEffect,
  CallerSideInput,
  CallPolicy,
  CallRequest,
  LoadReport,
} from '../../index.js';
import type {ResultName} from 'jackdawcove-shared';

import t from 'tap';

import {TestFleet} from '../TestFleet.js';

const LOAD: LoadReport = {
  downstreamThreshold: 0,
  inFlight: 0,
  limit: 4,
  queueingDelayMilliseconds: 0,
  threshold: 0,
};
const CALL = {callIdentifier: 'call'};

const refused = (attempt: number, result: ResultName): CallerSideInput => ({
  kind: 'attemptRefused',
  refusal: {
    attemptIdentifier: `call.${String(attempt)}`,
    load: LOAD,
    result,
    retryAfterMilliseconds: 300,
    tokensReturned: 1,
  },
});
const ended = (attempt: number, result: ResultName): CallerSideInput => ({
  end: {
    attemptIdentifier: `call.${String(attempt)}`,
    load: LOAD,
    result,
    tokensReturned: 1,
  },
  kind: 'answerEnd',
});
const head = (attempt: number): CallerSideInput => ({
  head: {attemptIdentifier: `call.${String(attempt)}`, load: LOAD},
  kind: 'answerHead',
});
const resolved = (
  resolution: 'done' | 'neverSeen' | 'running' | 'unknown',
): CallerSideInput => ({
  answer: {attemptIdentifier: 'call.1', resolution},
  kind: 'resolved',
});
const sessionLost = (daemon: string): CallerSideInput => ({
  daemon,
  kind: 'sessionLost',
});
const GRANTED = {...CALL, kind: 'claimGranted'} as const;
const CALLER_DISCONNECTED = {...CALL, kind: 'callerDisconnected'} as const;
const KEY: Partial<CallRequest> = {idempotencyKey: 'key'};
const MINTED_KEY: Partial<CallRequest> = {...KEY, isKeyMinted: true};
const NON_IDEMPOTENT: Partial<CallPolicy> = {isIdempotent: false};

type Case = {
  /** What the last input must give. */
  readonly effects: readonly object[];
  readonly inputs: readonly CallerSideInput[];
  readonly name: string;
  readonly policy?: Partial<CallPolicy>;
  readonly request?: Partial<CallRequest>;
};

const SENT = {kind: 'sendAttempt'};
const CANCELLED = {kind: 'cancelAttempt'};

function finish(result: ResultName, executed: string): object {
  return {executed, kind: 'finish', result};
}

function completed(outcome: string): object {
  return {idempotencyKey: 'key', kind: 'completeClaim', outcome};
}

const CASES: readonly Case[] = [
  {
    effects: [finish('unknownService', 'no')],
    inputs: [],
    name: 'an unknown service',
    request: {service: 'nowhere'},
  },
  {
    effects: [finish('chainTooDeep', 'no')],
    inputs: [],
    name: 'a chain that is too deep',
    policy: {maximumDepth: -1},
  },
  {
    effects: [finish('deadlineExceededBeforeDispatch', 'no')],
    inputs: [],
    name: 'a deadline that has passed',
    request: {timeoutMilliseconds: 0},
  },
  {
    effects: [finish('unknownService', 'unknown')],
    inputs: [],
    name: 'no instance for a key that may have run before',
    policy: NON_IDEMPOTENT,
    request: {...KEY, service: 'nowhere'},
  },
  {
    effects: [finish('unknownService', 'no')],
    inputs: [],
    name: 'no instance for a minted key',
    policy: NON_IDEMPOTENT,
    request: {...MINTED_KEY, service: 'nowhere'},
  },
  {
    effects: [finish('deadlineExceededBeforeDispatch', 'unknown')],
    inputs: [],
    name: 'a passed deadline for a key that may have run before',
    policy: NON_IDEMPOTENT,
    request: {...KEY, timeoutMilliseconds: 0},
  },
  {
    effects: [finish('chainTooDeep', 'unknown')],
    inputs: [],
    name: 'a chain too deep for a key that may have run before',
    policy: {...NON_IDEMPOTENT, maximumDepth: -1},
    request: KEY,
  },
  {
    effects: [finish('ledgerUnavailable', 'unknown')],
    inputs: [{...CALL, kind: 'claimRefused', result: 'ledgerUnavailable'}],
    name: 'no ledger for a key that may have run before',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [finish('ledgerUnavailable', 'no')],
    inputs: [{...CALL, kind: 'claimRefused', result: 'ledgerUnavailable'}],
    name: 'no ledger for a minted key',
    policy: NON_IDEMPOTENT,
    request: MINTED_KEY,
  },
  {
    effects: [completed('notRun'), finish('retryAllowanceExhausted', 'no')],
    inputs: [GRANTED, refused(1, 'shedByAdmission')],
    name: 'refused after the ledger granted the key',
    policy: {...NON_IDEMPOTENT, retryAllowance: 0},
    request: KEY,
  },
  {
    effects: [{attempt: {attemptIdentifier: 'call.2'}}],
    inputs: [refused(1, 'shedByAdmission')],
    name: 'a refusal is redirected',
  },
  {
    effects: [{...finish('retryAllowanceExhausted', 'no'), attempts: 1}],
    inputs: [refused(1, 'shedByAdmission')],
    name: 'a refusal is final, at once, without a token',
    policy: {retryAllowance: 0},
  },
  {
    effects: [
      {...finish('shedByAdmission', 'no'), retryAfterMilliseconds: 300},
    ],
    inputs: [refused(1, 'shedByAdmission'), refused(2, 'shedByAdmission')],
    name: 'no instance is tried twice',
  },
  {
    effects: [finish('quarantined', 'no')],
    inputs: [refused(1, 'quarantined')],
    name: 'a refusal that no instance would lift is final',
  },
  {
    effects: [finish('shedByAdmission', 'no')],
    inputs: [refused(1, 'shedByAdmission')],
    name: 'a body that cannot be sent again is not redirected',
    request: {isReplayable: false},
  },
  {
    effects: [SENT],
    inputs: [ended(1, 'outcomeUnknown')],
    name: 'an idempotent request is retried after an unknown outcome',
  },
  {
    effects: [finish('outcomeUnknown', 'unknown')],
    inputs: [ended(1, 'outcomeUnknown'), refused(2, 'shedByAdmission')],
    name: 'a refusal after an unknown outcome is not reported as not run',
  },
  {
    effects: [completed('unknown'), finish('outcomeUnknown', 'unknown')],
    inputs: [GRANTED, ended(1, 'outcomeUnknown')],
    name: 'a non-idempotent request is not',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [SENT],
    inputs: [GRANTED, refused(1, 'shedByAdmission')],
    name: 'but it is redirected when it is proved not to have run',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [finish('invalidIdempotencyKey', 'no')],
    inputs: [],
    name: 'a non-idempotent request needs a key',
    policy: NON_IDEMPOTENT,
  },
  {
    effects: [{...finish('ok', 'yes'), isAnswerForwarded: true}],
    inputs: [{...CALL, kind: 'claimAnswered'}],
    name: 'the ledger holds the answer',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [finish('alreadyRun', 'yes')],
    inputs: [{...CALL, kind: 'claimRefused', result: 'alreadyRun'}],
    name: 'the ledger refuses the key',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [completed('ran'), finish('ok', 'yes')],
    inputs: [GRANTED, head(1), ended(1, 'ok')],
    name: 'the claim is completed with the answer',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [{...finish('answerCut', 'unknown'), isAnswerForwarded: true}],
    inputs: [head(1), ended(1, 'answerCut')],
    name: 'a cut answer ends as an error',
  },
  {
    effects: [],
    inputs: [ended(1, 'ok'), ended(1, 'ok')],
    name: 'an answer to a finished call is dropped',
  },
  {
    effects: [],
    inputs: [refused(1, 'shedByAdmission'), head(1)],
    name: 'so is one to an attempt that was given up',
  },
  {
    effects: [CANCELLED, finish('cancelledWhileRunning', 'unknown')],
    inputs: [CALLER_DISCONNECTED],
    name: 'a caller that is gone cancels its request',
  },
  {
    effects: [],
    inputs: [GRANTED, CALLER_DISCONNECTED],
    name: 'but not a non-idempotent one under way',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [completed('notRun'), finish('cancelledBeforeDispatch', 'no')],
    inputs: [CALLER_DISCONNECTED],
    name: 'nothing is dispatched for a caller that is gone',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
];

function begin(
  fleet: TestFleet,
  request: Partial<CallRequest> | undefined,
): readonly CallerSideEffect[] {
  return fleet.begin('a', 'call', request);
}

for (const {effects, inputs, name, policy, request} of CASES) {
  t.test(name, async (t) => {
    const fleet = new TestFleet({daemons: ['a', 'b'], policy: policy ?? {}});
    let last = begin(fleet, request);
    for (const input of inputs) {
      last = fleet.get('a').callerSide.handle(input, 1);
    }
    t.equal(last.length, effects.length);
    t.match(last, effects);
  });
}

type LostSessionCase = {
  readonly effects: readonly object[];
  readonly inputs: readonly CallerSideInput[];
  readonly name: string;
  readonly policy?: Partial<CallPolicy>;
  readonly tickAt?: number;
};

const TICK = {kind: 'tick'} as const;
const RESOLVE = {kind: 'resolveAttempt'};
const SPREAD_SUSPECTS = {kind: 'spreadSuspects'};

const LOST_SESSION_CASES: readonly LostSessionCase[] = [
  {effects: [RESOLVE], inputs: [], name: 'asks what became of the attempt'},
  {
    effects: [SENT],
    inputs: [resolved('neverSeen')],
    name: 'redirects what was fenced, also when it is non-idempotent',
    policy: NON_IDEMPOTENT,
  },
  {effects: [], inputs: [resolved('running')], name: 'waits for what runs'},
  {
    effects: [
      CANCELLED,
      SPREAD_SUSPECTS,
      completed('unknown'),
      finish('outcomeUnknown', 'unknown'),
    ],
    inputs: [resolved('unknown')],
    name: 'says unknown when it is',
    policy: NON_IDEMPOTENT,
  },
  {
    effects: [CANCELLED, SPREAD_SUSPECTS, SENT],
    inputs: [resolved('unknown')],
    name: 'retries what is idempotent',
  },
  {
    effects: [RESOLVE],
    inputs: [TICK],
    name: 'asks again for a non-idempotent request',
    policy: NON_IDEMPOTENT,
    tickAt: 300,
  },
  {
    effects: [CANCELLED, SPREAD_SUSPECTS, SENT],
    inputs: [TICK],
    name: 'gives an idempotent attempt up and retries it elsewhere',
    tickAt: 300,
  },
  {
    effects: [
      CANCELLED,
      completed('unknown'),
      finish('deadlineExceededWhileRunning', 'unknown'),
    ],
    inputs: [TICK],
    name: 'ends at the deadline',
    policy: NON_IDEMPOTENT,
    tickAt: 1_000,
  },
];

for (const {effects, inputs, name, policy, tickAt} of LOST_SESSION_CASES) {
  t.test(`a cut session: ${name}`, async (t) => {
    const fleet = new TestFleet({
      daemons: ['a', 'b', 'c'],
      policy: policy ?? {},
    });
    const {callerSide} = fleet.get('a');
    let sent = begin(fleet, KEY).at(-1);
    if (sent?.kind === 'claim') {
      [sent] = callerSide.handle(GRANTED, 0);
    }
    const daemon = sent?.kind === 'sendAttempt' ? sent.daemon : '';
    let last = callerSide.handle(sessionLost(daemon), 1);
    for (const input of inputs) {
      last = callerSide.handle(input, tickAt ?? 2);
    }
    t.equal(last.length, effects.length);
    t.match(last, effects);
  });
}

t.test('a leaving instance gets nothing new', async (t) => {
  const fleet = new TestFleet({daemons: ['a', 'b', 'c']});
  for (const [index, candidate] of fleet.candidates.entries()) {
    fleet.candidates[index] = {...candidate, isDraining: index > 0};
  }
  for (let call = 0; call < 20; call += 1) {
    t.match(fleet.begin('b', `call-${String(call)}`), [{daemon: 'a'}]);
  }
});

t.test(
  'a request lost on its way goes to the only instance again',
  async (t) => {
    const fleet = new TestFleet({daemons: ['a', 'b', 'c']});
    for (const [index, candidate] of fleet.candidates.entries()) {
      fleet.candidates[index] = {...candidate, isDraining: index !== 1};
    }
    const {callerSide} = fleet.get('a');
    t.match(begin(fleet, KEY), [{daemon: 'b'}]);
    callerSide.handle(sessionLost('b'), 1);
    t.match(callerSide.handle(resolved('neverSeen'), 2), [{daemon: 'b'}]);
  },
);
