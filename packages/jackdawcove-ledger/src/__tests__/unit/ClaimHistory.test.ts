import type {LedgerBreaks} from '../LedgerNode.js';

import t from 'tap';

import {ClaimScenario} from '../ClaimScenario.js';

const RUNS = Number(process.env.JACKDAWCOVE_RUNS ?? 600);
const FIRST_SEED = Number(process.env.JACKDAWCOVE_SEED ?? 1);
const MAXIMUM_BREAK_RUNS = 300;

t.test(`${String(RUNS)} seeded histories keep every promise`, async (t) => {
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

/** Seeds that failed once. */
const KEPT_SEEDS = [
  {name: 'acknowledgements to an earlier process of the claimant', seed: 384},
];

for (const {name, seed} of KEPT_SEEDS) {
  t.test(`seed ${String(seed)}: ${name}`, async (t) => {
    t.same(new ClaimScenario(seed).run().violations, []);
  });
}

const BREAKS: readonly {breaks: LedgerBreaks; name: string}[] = [
  {breaks: {skipsMajority: true}, name: 'a claim on one member'},
  {breaks: {skipsEpochCheck: true}, name: 'no check of the epoch'},
  {
    breaks: {answersBeforeSeeding: true},
    name: 'a restarted member answers at once',
  },
];

for (const {breaks, name} of BREAKS) {
  t.test(`the checker notices: ${name}`, async (t) => {
    let runs = 0;
    let kinds: readonly string[] = [];
    while (kinds.length === 0 && runs < MAXIMUM_BREAK_RUNS) {
      runs += 1;
      const {violations} = new ClaimScenario(runs, breaks).run();
      kinds = violations.map(({kind}) => kind);
    }
    t.ok(kinds.length > 0, `${kinds.join()} within ${String(runs)} runs`);
  });
}
