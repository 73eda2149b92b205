import t from 'tap';

import {LastAcknowledgement} from '../LastAcknowledgement.js';

const DEFAULT_RUNS = 15;
const MAXIMUM_RUNS_WITHOUT_SYNCS = 20;
/** Failures before: an empty disk that was full at the start, a lost successor. */
const REGRESSION_SEEDS = [6, 1005, 1062, 1125, 1216, 1223];
const RUNS = Number(process.env['JACKDAWCOVE_RUNS'] ?? DEFAULT_RUNS);
const FIRST_SEED = Number(process.env['JACKDAWCOVE_SEED'] ?? 1);

t.test(
  'an acknowledged change survives a lost disk and a loss of all power',
  async (t) => {
    const failed: string[] = [];
    let acknowledged = 0;
    const seeds = Array.from({length: RUNS}, (_, run) => FIRST_SEED + run);
    for (const seed of [...REGRESSION_SEEDS, ...seeds]) {
      const history = new LastAcknowledgement(seed);
      const problem = await history.run();
      acknowledged += history.getAcknowledged();
      if (problem !== undefined) {
        failed.push(`seed ${String(seed)}: ${problem}`);
      }
    }
    t.same(failed, []);
    t.ok(acknowledged > RUNS, `${String(acknowledged)} acknowledged changes`);
  },
);

t.test('the histories find disks that do not sync', async (t) => {
  let seed = 1;
  let problem: string | undefined;
  while (problem === undefined && seed < MAXIMUM_RUNS_WITHOUT_SYNCS) {
    seed += 1;
    problem = await new LastAcknowledgement(seed, {ignoresSyncs: true}).run();
  }
  t.not(problem, undefined, `found by seed ${String(seed)}: ${problem ?? ''}`);
});
