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
  /** Expected effects of the last input. */
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
    name: 'refuses a call to an unknown service',
    request: {service: 'nowhere'},
  },
  {
    effects: [finish('chainTooDeep', 'no')],
    inputs: [],
    name: 'refuses a call of a chain that is too deep',
    policy: {maximumDepth: -1},
  },
  {
    effects: [finish('deadlineExceededBeforeDispatch', 'no')],
    inputs: [],
    name: 'refuses a call whose deadline has passed',
    request: {timeoutMilliseconds: 0},
  },
  {
    effects: [finish('unknownService', 'unknown')],
    inputs: [],
    name: 'reports unknown for an unknown service and a key supplied by the caller',
    policy: NON_IDEMPOTENT,
    request: {...KEY, service: 'nowhere'},
  },
  {
    effects: [finish('unknownService', 'no')],
    inputs: [],
    name: 'reports not run for an unknown service and a minted key',
    policy: NON_IDEMPOTENT,
    request: {...MINTED_KEY, service: 'nowhere'},
  },
  {
    effects: [finish('deadlineExceededBeforeDispatch', 'unknown')],
    inputs: [],
    name: 'reports unknown for a passed deadline and a key supplied by the caller',
    policy: NON_IDEMPOTENT,
    request: {...KEY, timeoutMilliseconds: 0},
  },
  {
    effects: [finish('chainTooDeep', 'unknown')],
    inputs: [],
    name: 'reports unknown for a chain too deep and a key supplied by the caller',
    policy: {...NON_IDEMPOTENT, maximumDepth: -1},
    request: KEY,
  },
  {
    effects: [finish('ledgerUnavailable', 'unknown')],
    inputs: [{...CALL, kind: 'claimRefused', result: 'ledgerUnavailable'}],
    name: 'reports unknown without a ledger for a key supplied by the caller',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [finish('ledgerUnavailable', 'no')],
    inputs: [{...CALL, kind: 'claimRefused', result: 'ledgerUnavailable'}],
    name: 'reports not run without a ledger for a minted key',
    policy: NON_IDEMPOTENT,
    request: MINTED_KEY,
  },
  {
    effects: [completed('notRun'), finish('retryAllowanceExhausted', 'no')],
    inputs: [GRANTED, refused(1, 'shedByAdmission')],
    name: 'reports not run when an attempt is refused after the claim was granted',
    policy: {...NON_IDEMPOTENT, retryAllowance: 0},
    request: KEY,
  },
  {
    effects: [{attempt: {attemptIdentifier: 'call.2'}}],
    inputs: [refused(1, 'shedByAdmission')],
    name: 'retries a refused attempt at another instance',
  },
  {
    effects: [{...finish('retryAllowanceExhausted', 'no'), attempts: 1}],
    inputs: [refused(1, 'shedByAdmission')],
    name: 'finishes after a refusal when no retry token is left',
    policy: {retryAllowance: 0},
  },
  {
    effects: [
      {...finish('shedByAdmission', 'no'), retryAfterMilliseconds: 300},
    ],
    inputs: [refused(1, 'shedByAdmission'), refused(2, 'shedByAdmission')],
    name: 'tries no instance twice',
  },
  {
    effects: [finish('quarantined', 'no')],
    inputs: [refused(1, 'quarantined')],
    name: 'finishes after a refusal that every instance would repeat',
  },
  {
    effects: [finish('shedByAdmission', 'no')],
    inputs: [refused(1, 'shedByAdmission')],
    name: 'does not retry a request whose body cannot be sent again',
    request: {isReplayable: false},
  },
  {
    effects: [SENT],
    inputs: [ended(1, 'outcomeUnknown')],
    name: 'retries an idempotent request after an unknown outcome',
  },
  {
    effects: [finish('outcomeUnknown', 'unknown')],
    inputs: [ended(1, 'outcomeUnknown'), refused(2, 'shedByAdmission')],
    name: 'reports unknown when a refusal follows an unknown outcome',
  },
  {
    effects: [completed('unknown'), finish('outcomeUnknown', 'unknown')],
    inputs: [GRANTED, ended(1, 'outcomeUnknown')],
    name: 'does not retry a non-idempotent request after an unknown outcome',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [SENT],
    inputs: [GRANTED, refused(1, 'shedByAdmission')],
    name: 'retries a non-idempotent request that was refused before dispatch',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [finish('invalidIdempotencyKey', 'no')],
    inputs: [],
    name: 'refuses a non-idempotent request without a key',
    policy: NON_IDEMPOTENT,
  },
  {
    effects: [{...finish('ok', 'yes'), isAnswerForwarded: true}],
    inputs: [{...CALL, kind: 'claimAnswered'}],
    name: 'finishes with the answer that the ledger holds',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [finish('alreadyRun', 'yes')],
    inputs: [{...CALL, kind: 'claimRefused', result: 'alreadyRun'}],
    name: 'finishes with the result of a refused claim',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [completed('ran'), finish('ok', 'yes')],
    inputs: [GRANTED, head(1), ended(1, 'ok')],
    name: 'completes the claim with the end of the answer',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [{...finish('answerCut', 'unknown'), isAnswerForwarded: true}],
    inputs: [head(1), ended(1, 'answerCut')],
    name: 'reports a truncated answer as an error',
  },
  {
    effects: [],
    inputs: [ended(1, 'ok'), ended(1, 'ok')],
    name: 'ignores an answer to a finished call',
  },
  {
    effects: [],
    inputs: [refused(1, 'shedByAdmission'), head(1)],
    name: 'ignores an answer to an attempt that has ended',
  },
  {
    effects: [CANCELLED, finish('cancelledWhileRunning', 'unknown')],
    inputs: [CALLER_DISCONNECTED],
    name: 'cancels the attempt when the caller disconnects',
  },
  {
    effects: [],
    inputs: [GRANTED, CALLER_DISCONNECTED],
    name: 'does not cancel a non-idempotent attempt in flight',
    policy: NON_IDEMPOTENT,
    request: KEY,
  },
  {
    effects: [completed('notRun'), finish('cancelledBeforeDispatch', 'no')],
    inputs: [CALLER_DISCONNECTED],
    name: 'dispatches nothing after the caller has disconnected',
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
  {effects: [RESOLVE], inputs: [], name: 'resolves the attempt'},
  {
    effects: [SENT],
    inputs: [resolved('neverSeen')],
    name: 'retries a fenced attempt even if it is non-idempotent',
    policy: NON_IDEMPOTENT,
  },
  {
    effects: [],
    inputs: [resolved('running')],
    name: 'waits for an attempt that is running',
  },
  {
    effects: [
      CANCELLED,
      SPREAD_SUSPECTS,
      completed('unknown'),
      finish('outcomeUnknown', 'unknown'),
    ],
    inputs: [resolved('unknown')],
    name: 'reports an unknown outcome of a non-idempotent request',
    policy: NON_IDEMPOTENT,
  },
  {
    effects: [CANCELLED, SPREAD_SUSPECTS, SENT],
    inputs: [resolved('unknown')],
    name: 'retries an idempotent request with an unknown outcome',
  },
  {
    effects: [RESOLVE],
    inputs: [TICK],
    name: 'repeats the query for a non-idempotent request',
    policy: NON_IDEMPOTENT,
    tickAt: 300,
  },
  {
    effects: [CANCELLED, SPREAD_SUSPECTS, SENT],
    inputs: [TICK],
    name: 'abandons an idempotent attempt and retries at another instance',
    tickAt: 300,
  },
  {
    effects: [
      CANCELLED,
      completed('unknown'),
      finish('deadlineExceededWhileRunning', 'unknown'),
    ],
    inputs: [TICK],
    name: 'finishes at the deadline',
    policy: NON_IDEMPOTENT,
    tickAt: 1_000,
  },
];

for (const {effects, inputs, name, policy, tickAt} of LOST_SESSION_CASES) {
  t.test(`after a lost session: ${name}`, async (t) => {
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

t.test('does not send to a draining instance', async (t) => {
  const fleet = new TestFleet({daemons: ['a', 'b', 'c']});
  for (const [index, candidate] of fleet.candidates.entries()) {
    fleet.candidates[index] = {...candidate, isDraining: index > 0};
  }
  for (let call = 0; call < 20; call += 1) {
    t.match(fleet.begin('b', `call-${String(call)}`), [{daemon: 'a'}]);
  }
});

t.test('retries a request lost in transit at the only instance', async (t) => {
  const fleet = new TestFleet({daemons: ['a', 'b', 'c']});
  for (const [index, candidate] of fleet.candidates.entries()) {
    fleet.candidates[index] = {...candidate, isDraining: index !== 1};
  }
  const {callerSide} = fleet.get('a');
  t.match(begin(fleet, KEY), [{daemon: 'b'}]);
  callerSide.handle(sessionLost('b'), 1);
  t.match(callerSide.handle(resolved('neverSeen'), 2), [{daemon: 'b'}]);
});
