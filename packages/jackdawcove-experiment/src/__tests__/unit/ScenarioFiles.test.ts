import type {Scenario} from '../../scenario/ScenarioSettings.js';

import {readdirSync} from 'node:fs';
import {basename} from 'node:path';
import {fileURLToPath} from 'node:url';

import {parseFleetConfiguration} from 'jackdawcove-configuration';
import t from 'tap';

import {computeCapacity, parseChildCall} from '../../scenario/Capacity.js';
import {createFleetConfiguration} from '../../scenario/createFleetConfiguration.js';
import {parseScenario} from '../../scenario/parseScenario.js';
import {readScenarioFile} from '../../scenario/ScenarioFiles.js';

const FOLDER = fileURLToPath(new URL('../../../scenarios/', import.meta.url));
const EXTENSION = '.ini';
const MAXIMUM_DURATION_MILLISECONDS = 20_000;
const MINIMUM_CAPACITY_PER_SECOND = 80;
const MAXIMUM_CAPACITY_PER_SECOND = 250;

const VOTER_COUNTS = [3, 5, 7];

const EXPECTED_NAMES = [
  'chain1',
  'chain16',
  'chain4',
  'chain8',
  'configurationChanges',
  'crashRequest',
  'morningRush',
  'rollingRestart',
  'slowDeepService',
];

const files = readdirSync(FOLDER).filter((file) => file.endsWith(EXTENSION));

function listCalledServices(scenario: Scenario): string[] {
  const children = Object.values(scenario.services).flatMap((service) =>
    service.children.map((child) => parseChildCall(child).service),
  );
  const roots = Object.values(scenario.loads).map(({service}) => service);
  return [...children, ...roots];
}

function countInstances(scenario: Scenario): number {
  return Object.values(scenario.services).reduce(
    (sum, {instances}) => sum + instances,
    0,
  );
}

function listConfigurationDocuments(scenario: Scenario): string[] {
  const changes = scenario.faults
    .filter(({kind}) => kind === 'changeConfiguration')
    .map(({value}) => value);
  return [createFleetConfiguration(scenario), ...changes];
}

function getDepth(scenario: Scenario, service: string): number {
  const children = scenario.services[service]?.children ?? [];
  const depths = children.map((child) =>
    getDepth(scenario, parseChildCall(child).service),
  );
  return 1 + Math.max(0, ...depths);
}

t.same(
  files.map((file) => basename(file, EXTENSION)).sort(),
  EXPECTED_NAMES,
  'the folder holds the scenarios that the README lists',
);

for (const file of files) {
  t.test(file, async (t) => {
    const parsed = parseScenario(readScenarioFile(`${FOLDER}${file}`));
    if (parsed.isErr) {
      t.fail(parsed.error.join('\n'));
      return;
    }
    const scenario = parsed.value;
    const {durationMilliseconds, name} = scenario.scenario;
    const capacity = computeCapacity(scenario);
    t.equal(name, basename(file, EXTENSION));
    t.ok(durationMilliseconds <= MAXIMUM_DURATION_MILLISECONDS);
    t.ok(
      capacity >= MINIMUM_CAPACITY_PER_SECOND,
      `capacity ${String(capacity)}`,
    );
    t.ok(
      capacity <= MAXIMUM_CAPACITY_PER_SECOND,
      `capacity ${String(capacity)}`,
    );
    t.ok(VOTER_COUNTS.includes(scenario.fleet.voters));
    t.ok(countInstances(scenario) >= scenario.fleet.voters);
    for (const service of listCalledServices(scenario)) {
      t.ok(scenario.services[service], `${service} is a service`);
    }
    for (const document of listConfigurationDocuments(scenario)) {
      t.ok(parseFleetConfiguration(document).isOk, document);
    }
    for (const {atMilliseconds} of scenario.faults) {
      t.ok(atMilliseconds < durationMilliseconds);
    }
    const match = /^chain(\d+)$/.exec(name);
    if (match !== null) {
      t.equal(getDepth(scenario, 'service-1'), Number(match[1]));
    }
  });
}
