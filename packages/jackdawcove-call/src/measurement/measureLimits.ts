/**
 * Measures the strategies of the adaptive limit on one service: honest slots,
 * slots announced four times too many, and a service that is slow for reasons
 * of its own.
 *
 * node packages/jackdawcove-call/dist/measurement/measureLimits.js [strategy]
 */

import type {FakeChainOptions} from './FakeChain.js';
import type {Mode} from './Modes.js';

import {createSeededRandom} from 'jackdawcove-shared';

import {Callers} from './Callers.js';
import {FakeChain} from './FakeChain.js';
import {
  OURS,
  OURS_WITH_AIMD,
  OURS_WITH_GRADIENT,
  OURS_WITH_TRIALS,
} from './Modes.js';

type Scenario = {
  readonly name: string;
  readonly overstatement: number;
  readonly slowness: number;
};

const CAPACITY_PER_SECOND = 800;
const LOAD = 2;
const MEASURED_FROM = 20_000;
const MEASURED_TO = 30_000;
const MIX = {background: 0.25, high: 0.2, normal: 0.5, urgent: 0.05};
const SEEDS = [11, 12];
const SLOW_FROM = 4_000;

const SCENARIOS: readonly Scenario[] = [
  {name: 'honest slots', overstatement: 1, slowness: 1},
  {name: 'slots 4x too many', overstatement: 4, slowness: 1},
  {name: 'slow by 5x', overstatement: 1, slowness: 5},
];

const STRATEGIES: readonly Mode[] = [
  {...OURS, name: 'fixed at slots'},
  {...OURS_WITH_TRIALS, name: 'trial'},
  {...OURS_WITH_AIMD, name: 'AIMD'},
  {...OURS_WITH_GRADIENT, name: 'gradient'},
];

function run(mode: Mode, scenario: Scenario, seed: number): number {
  const options: FakeChainOptions = {
    capacityPerSecond: CAPACITY_PER_SECOND,
    depth: 1,
    instancesPerService: 2,
    mode,
    overstatement: scenario.overstatement,
    ownMilliseconds: 50,
    seed,
    spareFactor: 1,
    timeoutMilliseconds: 2_000,
  };
  const chain = new FakeChain(options);
  const randomNumber = createSeededRandom(seed);
  const callers = new Callers({chain, mix: MIX, randomNumber, resends: 3});
  callers.setRate(CAPACITY_PER_SECOND * LOAD);
  chain.loop.runUntil(SLOW_FROM);
  chain.setSlowness(0, scenario.slowness);
  chain.loop.runUntil(MEASURED_TO);
  const finished = callers
    .getRequests()
    .filter(({finishedAt}) => (finishedAt ?? 0) >= MEASURED_FROM);
  return finished.length / ((MEASURED_TO - MEASURED_FROM) / 1_000);
}

function main(): void {
  const only = process.argv[2];
  for (const scenario of SCENARIOS) {
    for (const mode of STRATEGIES) {
      if (only !== undefined && mode.name !== only) {
        continue;
      }
      const rates = SEEDS.map((seed) => run(mode, scenario, seed));
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
      const name = scenario.name.padEnd(18);
      process.stdout.write(
        `${name} ${mode.name.padEnd(14)} goodput ${mean.toFixed(1)}/s\n`,
      );
    }
  }
}

main();
