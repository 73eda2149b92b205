/** Simulates a service that fails its callers for a while, behind the breakers. */

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {RouteCircuitBreakers} from '../../RouteCircuitBreakers.js';

const ARRIVALS_PER_SECOND = 13;
const OUTAGE_START = 4_000;
const OUTAGE_END = 12_000;
const END = 20_000;
const RUN_MILLISECONDS = 250;
const SEED = 5;

type Phase = {
  refused: number;
  served: number;
  wasted: number;
};

/** Simulates requests that end one run time after their arrival. */
function simulate(outageSuccessShare: number, isBreakerUsed: boolean) {
  const random = createSeededRandom(SEED);
  const breakers = new RouteCircuitBreakers();
  const before: Phase = {refused: 0, served: 0, wasted: 0};
  const during: Phase = {refused: 0, served: 0, wasted: 0};
  const after: Phase = {refused: 0, served: 0, wasted: 0};
  const running: {endsAt: number; isSuccess: boolean}[] = [];
  const step = 1_000 / ARRIVALS_PER_SECOND;
  for (let now = 0; now < END; now += step) {
    const isOutage = now >= OUTAGE_START && now < OUTAGE_END;
    const phase = now < OUTAGE_START ? before : isOutage ? during : after;
    while (running[0] !== undefined && running[0].endsAt <= now) {
      const {endsAt, isSuccess} = running.shift() as (typeof running)[number];
      breakers.recordOutcome('prices', isSuccess, endsAt);
    }
    if (isBreakerUsed && breakers.isRefused('prices', random(), now)) {
      phase.refused += 1;
      continue;
    }
    const isSuccess = random() < (isOutage ? outageSuccessShare : 0.99);
    running.push({endsAt: now + RUN_MILLISECONDS, isSuccess});
    phase[isSuccess ? 'served' : 'wasted'] += 1;
  }
  return {after, before, during};
}

t.test('most requests are refused while nearly all fail', async (t) => {
  const withoutBreaker = simulate(0.02, false);
  const withBreaker = simulate(0.02, true);
  t.equal(
    withBreaker.before.refused,
    0,
    'nothing is refused before the outage',
  );
  t.ok(
    withBreaker.during.wasted < withoutBreaker.during.wasted / 2,
    'wasted runs drop by more than half',
  );
  t.ok(
    withBreaker.during.wasted > 0,
    'some requests are let through as probes',
  );
  t.ok(
    withBreaker.after.served > withoutBreaker.after.served * 0.75,
    'at most two of the eight seconds after the outage are lost',
  );
});

t.test('requests are let through while half of them succeed', async (t) => {
  const withBreaker = simulate(0.5, true);
  const withoutBreaker = simulate(0.5, false);
  t.ok(
    withBreaker.during.served > withoutBreaker.during.served * 0.9,
    'requests that can succeed are let through',
  );
});

const CASES = [
  {
    expected: false,
    name: 'too few outcomes refuse nothing',
    outcomes: 3,
    served: 0,
  },
  {
    expected: true,
    name: 'outcomes without a success refuse requests',
    outcomes: 4,
    served: 0,
  },
  {
    expected: false,
    name: 'a success share of a fifth refuses nothing',
    outcomes: 10,
    served: 2,
  },
  {
    expected: true,
    name: 'a success share below a fifth refuses requests',
    outcomes: 11,
    served: 2,
  },
];

for (const {expected, name, outcomes, served} of CASES) {
  t.test(name, async (t) => {
    const breakers = new RouteCircuitBreakers();
    for (let index = 0; index < outcomes; index += 1) {
      breakers.recordOutcome('prices', index < served, index);
    }
    t.equal(breakers.isRefused('prices', 0, 20), expected);
    t.notOk(breakers.isRefused('prices', 0.9, 20), 'a probe');
    t.notOk(breakers.isRefused('other', 0, 20), 'another route');
    t.notOk(
      breakers.isRefused('prices', 0, 3_000),
      'outcomes expire without requests',
    );
  });
}
