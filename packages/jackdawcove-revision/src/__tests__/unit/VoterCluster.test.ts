import type {InjectedBug} from '../SimulatedVoter.js';

import t from 'tap';

import {VoterCluster} from '../VoterCluster.js';
import {FAULT_PROFILES, NO_FAULTS} from '../VoterFaults.js';

const DEFAULT_RUNS = 400;
const MAXIMUM_RUNS_PER_BUG = 300;
const DEFAULT_SEED = 1;
/**
 * Seeds of earlier failures: a leader could only be elected with the log of a
 * voter whose removal was not committed.
 */
const REGRESSION_SEEDS = [2963, 4259, 8013, 8779, 8893, 9569, 51183, 51233];
const RUNS = Number(process.env['JACKDAWCOVE_RUNS'] ?? DEFAULT_RUNS);
const FIRST_SEED = Number(process.env['JACKDAWCOVE_SEED'] ?? DEFAULT_SEED);

function run(
  seed: number,
  bug?: InjectedBug,
): {accepted: number; violations: readonly string[]} {
  const faults = FAULT_PROFILES[seed % FAULT_PROFILES.length] ?? NO_FAULTS;
  const cluster = new VoterCluster(
    bug === undefined ? {faults, seed} : {faults, injectedBug: bug, seed},
  );
  const violations = cluster.run();
  return {accepted: cluster.getAcceptedCount(), violations};
}

t.test('seeded runs under faults', async (t) => {
  let accepted = 0;
  const failed: string[] = [];
  const seeds = Array.from({length: RUNS}, (_, run) => FIRST_SEED + run);
  for (const seed of [...REGRESSION_SEEDS, ...seeds]) {
    const result = run(seed);
    accepted += result.accepted;
    if (result.violations.length > 0) {
      failed.push(`seed ${String(seed)}: ${result.violations.join('; ')}`);
    }
  }
  t.same(failed, [], `${String(RUNS)} runs`);
  t.ok(accepted > RUNS, `${String(accepted)} accepted changes`);
});

t.test('the checks detect injected bugs', async (t) => {
  const bugs: InjectedBug[] = [
    'acknowledgeUnsynced',
    'forgetResults',
    'reuseIdentity',
    'staleReads',
    'voteForAnyLog',
  ];
  for (const bug of bugs) {
    let seed = 1;
    while (
      seed <= MAXIMUM_RUNS_PER_BUG &&
      run(seed, bug).violations.length === 0
    ) {
      seed += 1;
    }
    t.ok(
      seed <= MAXIMUM_RUNS_PER_BUG,
      `${bug} detected by seed ${String(seed)}`,
    );
  }
});
