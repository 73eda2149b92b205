import type {Observations, RandomFleetOptions} from '../RandomFleet.js';

import fc from 'fast-check';
import t from 'tap';

import {DEFAULT_CALLER_SWITCHES, DEFAULT_SERVER_SWITCHES} from '../../index.js';
import {RandomFleet} from '../RandomFleet.js';
import {TEST_POLICY} from '../TestFleet.js';

const RUNS = 60;
const SEED = 20_261_203;
const SEEDS_PER_SWITCH = 60;

const BASE: RandomFleetOptions = {
  daemons: ['a', 'b', 'c', 'd'],
  depth: 4,
  fanOut: 2,
  faultProbability: 0.05,
  maximumCalls: 60,
  seed: 1,
  slots: 3,
};

const arbitraryOptions = fc
  .record({
    depth: fc.integer({max: 16, min: 1}),
    fanOut: fc.integer({max: 4, min: 1}),
    faultProbability: fc.constantFrom(0, 0.02, 0.1),
    isIdempotent: fc.boolean(),
    retryAllowance: fc.integer({max: 6, min: 0}),
    seed: fc.integer({max: 1_000_000, min: 1}),
  })
  .map(({isIdempotent, retryAllowance, ...rest}) => ({
    ...BASE,
    ...rest,
    // Without the budget only the allowance bounds the retries.
    caller: {...DEFAULT_CALLER_SWITCHES, isRetryBudgetEnforced: false},
    policy: {...TEST_POLICY, isIdempotent, retryAllowance},
  }));

function areAttemptsBounded(
  observed: Observations,
  retryAllowance: number,
): boolean {
  return observed.attempts <= observed.calls + retryAllowance;
}

function areNotRunReportsTrue(observed: Observations): boolean {
  return observed.notRun.every((call) => !observed.dispatches.has(call));
}

function areCallsRunAtMostOnce(observed: Observations): boolean {
  return [...observed.dispatches.values()].every((count) => count <= 1);
}

t.test(
  'attempts are bounded and outcomes correct under random faults',
  async (t) => {
    let attempts = 0;
    let notRun = 0;
    fc.assert(
      fc.property(arbitraryOptions, (options) => {
        const observed = new RandomFleet(options).run();
        attempts += observed.attempts;
        notRun += observed.notRun.length;
        const {isIdempotent, retryAllowance} = options.policy;
        return (
          areAttemptsBounded(observed, retryAllowance) &&
          areNotRunReportsTrue(observed) &&
          (isIdempotent || areCallsRunAtMostOnce(observed))
        );
      }),
      {numRuns: RUNS, seed: SEED},
    );
    t.ok(attempts > RUNS, `more attempts than runs: ${String(attempts)}`);
    t.ok(notRun > 0, `some calls were reported as not run: ${String(notRun)}`);
  },
);

function findViolation(
  change: Partial<RandomFleetOptions>,
  holds: (observed: Observations) => boolean,
): boolean {
  for (let seed = 1; seed <= SEEDS_PER_SWITCH; seed += 1) {
    if (!holds(new RandomFleet({...BASE, ...change, seed}).run())) {
      return true;
    }
  }
  return false;
}

const SWITCHED_OFF = [
  {
    change: {
      caller: {
        ...DEFAULT_CALLER_SWITCHES,
        isRetryAllowanceEnforced: false,
        isRetryBudgetEnforced: false,
      },
    },
    holds: (observed: Observations) =>
      areAttemptsBounded(observed, TEST_POLICY.retryAllowance),
    name: 'attempts exceed calls + R without an enforced retry allowance',
  },
  {
    change: {
      policy: {isIdempotent: false},
      server: {...DEFAULT_SERVER_SWITCHES, isFencing: false},
    },
    holds: areNotRunReportsTrue,
    name: 'calls reported as not run may have run without fencing',
  },
] as const;

for (const {change, holds, name} of SWITCHED_OFF) {
  t.test(name, async (t) => {
    t.ok(findViolation(change, holds));
    t.end();
  });
}
