import type {InjectedLedgerBugs} from '../LedgerNode.js';

import t from 'tap';

import {ClaimScenario} from '../ClaimScenario.js';

const RUNS = Number(process.env.JACKDAWCOVE_RUNS ?? 600);
const FIRST_SEED = Number(process.env.JACKDAWCOVE_SEED ?? 1);
const MAXIMUM_RUNS_PER_BUG = 300;

t.test(`${String(RUNS)} seeded histories contain no violation`, async (t) => {
  const outcomes = new Map<string, number>();
  let runCount = 0;
  let sendCount = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const result = new ClaimScenario(seed).run();
    runCount += result.runCount;
    sendCount += result.sendCount;
    for (const [outcome, count] of result.outcomes) {
      outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + count);
    }
    if (result.violations.length > 0) {
      t.same(result.violations, [], `seed ${String(seed)}`);
    }
  }
  t.comment(
    `${String(sendCount)} sends, ${String(runCount)} runs`,
    Object.fromEntries(outcomes),
  );
  t.ok(runCount > RUNS, 'requests ran');
  t.ok((outcomes.get('answered') ?? 0) > RUNS / 2, 'resends got answers');
});

/** Seeds that failed before. */
const REGRESSION_SEEDS = [
  {
    name: 'acknowledgements sent to an earlier process of the claimant',
    seed: 384,
  },
];

for (const {name, seed} of REGRESSION_SEEDS) {
  t.test(`seed ${String(seed)}: ${name}`, async (t) => {
    t.same(new ClaimScenario(seed).run().violations, []);
  });
}

const INJECTED_BUGS: readonly {
  injectedBugs: InjectedLedgerBugs;
  name: string;
}[] = [
  {
    injectedBugs: {skipsMajority: true},
    name: 'a claim granted by one member',
  },
  {injectedBugs: {skipsEpochCheck: true}, name: 'no epoch check'},
  {
    injectedBugs: {answersBeforeSeeding: true},
    name: 'a restarted member answers before it has read its seeds',
  },
];

for (const {injectedBugs, name} of INJECTED_BUGS) {
  t.test(`the checker detects: ${name}`, async (t) => {
    let runs = 0;
    let kinds: readonly string[] = [];
    while (kinds.length === 0 && runs < MAXIMUM_RUNS_PER_BUG) {
      runs += 1;
      const {violations} = new ClaimScenario(runs, injectedBugs).run();
      kinds = violations.map(({kind}) => kind);
    }
    t.ok(kinds.length > 0, `${kinds.join()} within ${String(runs)} runs`);
  });
}
