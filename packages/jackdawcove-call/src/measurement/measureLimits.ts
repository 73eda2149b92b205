/**
 * Measures the strategies of the concurrency limit on one service: with the
 * correct number of announced slots, with four times as many, and with a service
 * that becomes slow regardless of load.
 *
 * node packages/jackdawcove-call/dist/measurement/measureLimits.js [strategy]
 */

import type {FakeChainOptions} from './FakeChain.js';
import type {Mode} from './Modes.js';

import {createSeededRandom} from 'jackdawcove-shared';

import {Callers} from './Callers.js';
import {FakeChain} from './FakeChain.js';
import {
  FULL_CONTROL,
  FULL_CONTROL_WITH_AIMD,
  FULL_CONTROL_WITH_GRADIENT,
  FULL_CONTROL_WITH_TRIALS,
} from './Modes.js';

type Scenario = {
  readonly name: string;
  readonly overstatement: number;
  readonly slowness: number;
};

const CAPACITY_PER_SECOND = 800;
const LOAD_MULTIPLE = 2;
const START_MILLISECONDS = 20_000;
const END_MILLISECONDS = 30_000;
const MIX = {background: 0.25, high: 0.2, normal: 0.5, urgent: 0.05};
const SEEDS = [11, 12];
const SLOWDOWN_START_MILLISECONDS = 4_000;

const SCENARIOS: readonly Scenario[] = [
  {name: 'honest slots', overstatement: 1, slowness: 1},
  {name: 'slots 4x too many', overstatement: 4, slowness: 1},
  {name: 'slow by 5x', overstatement: 1, slowness: 5},
];

const STRATEGIES: readonly Mode[] = [
  {...FULL_CONTROL, name: 'fixed at slots'},
  {...FULL_CONTROL_WITH_TRIALS, name: 'trial'},
  {...FULL_CONTROL_WITH_AIMD, name: 'AIMD'},
  {...FULL_CONTROL_WITH_GRADIENT, name: 'gradient'},
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
  callers.setRate(CAPACITY_PER_SECOND * LOAD_MULTIPLE);
  chain.loop.runUntil(SLOWDOWN_START_MILLISECONDS);
  chain.setSlowness(0, scenario.slowness);
  chain.loop.runUntil(END_MILLISECONDS);
  const finished = callers
    .getRequests()
    .filter(({finishedAt}) => (finishedAt ?? 0) >= START_MILLISECONDS);
  return finished.length / ((END_MILLISECONDS - START_MILLISECONDS) / 1_000);
}

function main(): void {
  const strategyName = process.argv[2];
  for (const scenario of SCENARIOS) {
    for (const mode of STRATEGIES) {
      if (strategyName !== undefined && mode.name !== strategyName) {
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
