#!/usr/bin/env node
/** Command line of the experiment tool. */

import type {NamedResult} from './report/createReport.js';

import {writeFileSync} from 'node:fs';

import meow from 'meow';
import {match} from 'ts-pattern';

import {measureOverhead} from './overhead/measureOverhead.js';
import {baselineSchema} from './process/ProcessMessages.js';
import {createReport} from './report/createReport.js';
import {formatResult, summarizeResult} from './report/formatResult.js';
import {DEMO_SCENARIO_TEXT} from './scenario/DemoScenario.js';
import {runScenario} from './scenario/runScenario.js';
import {
  parseScenarioOrThrow,
  readScenarioFile,
} from './scenario/ScenarioFiles.js';

const EXIT_USAGE = 64;
const ROUND_MILLISECONDS = 3_000;

const HELP = `
  Usage
    $ jackdawcove-experiment demo
    $ jackdawcove-experiment overhead [--rate 400] [--rounds 5]
    $ jackdawcove-experiment run SCENARIO [--baseline NAME ...]

  Options
    --baseline  none (jackdawcove), noControl, fixedLimit or callerThrottling;
                given twice, both run and stand side by side
    --json      Print the figures as JSON
    --rate      Calls a second of the overhead comparison
    --rounds    Rounds of the overhead comparison
    --report    Write an HTML page with plots to this file
    --seed      Seed of the callers
`;

const cli = meow(HELP, {
  flags: {
    baseline: {isMultiple: true, type: 'string'},
    json: {default: false, type: 'boolean'},
    rate: {default: 400, type: 'number'},
    report: {type: 'string'},
    rounds: {default: 5, type: 'number'},
    seed: {type: 'number'},
  },
  importMeta: import.meta,
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function reportProgress(line: string): void {
  process.stderr.write(`… ${line}\n`);
}

async function runBaselines(text: string): Promise<void> {
  const requestedBaselines = cli.flags.baseline ?? [];
  const baselines =
    requestedBaselines.length > 0 ? requestedBaselines : ['none'];
  const results: NamedResult[] = [];
  for (const name of baselines) {
    const scenario = parseScenarioOrThrow(text, {
      baseline: baselineSchema.parse(name),
      seed: cli.flags.seed,
    });
    reportProgress(`scenario ${scenario.scenario.name}, baseline ${name}`);
    const result = await runScenario(scenario, reportProgress);
    results.push({name, result});
    print(
      cli.flags.json
        ? JSON.stringify(summarizeResult(result))
        : formatResult(result),
    );
  }
  if (cli.flags.report !== undefined) {
    writeFileSync(cli.flags.report, createReport(results));
  }
}

async function runOverhead(): Promise<void> {
  const {rate, rounds} = cli.flags;
  const figures = await measureOverhead(
    {ratePerSecond: rate, roundMilliseconds: ROUND_MILLISECONDS, rounds},
    reportProgress,
  );
  for (const row of figures) {
    print(JSON.stringify(row));
  }
}

async function main(): Promise<void> {
  const [command, file] = cli.input;
  await match({command, file})
    .with({command: 'overhead'}, runOverhead)
    .with({command: 'demo'}, async () => runBaselines(DEMO_SCENARIO_TEXT))
    .when(
      (input) => input.command === 'run' && input.file !== undefined,
      async (input) => runBaselines(readScenarioFile(input.file ?? '')),
    )
    .otherwise(async () => {
      process.stderr.write(HELP);
      process.exitCode = EXIT_USAGE;
    });
}

await main();
