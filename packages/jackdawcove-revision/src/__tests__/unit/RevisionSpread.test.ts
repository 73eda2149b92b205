import {findVersionViolation} from 'jackdawcove-checker';
import {createSeededRandom, pickRandom} from 'jackdawcove-shared';
import t from 'tap';

import {SpreadFleet} from '../../measurement/SpreadFleet.js';

const TIMEOUT_MILLISECONDS = 5_000;
const RUNS = 40;

t.test('a record reaches every daemon', async (t) => {
  const cases = [
    {count: 3, isHalfDown: false, isViewStale: false, loss: 0},
    {count: 50, isHalfDown: false, isViewStale: false, loss: 0},
    {count: 50, isHalfDown: false, isViewStale: false, loss: 0.3},
    {count: 200, isHalfDown: false, isViewStale: false, loss: 0.1},
    {count: 50, isHalfDown: true, isViewStale: false, loss: 0.1},
    {count: 400, isHalfDown: true, isViewStale: true, loss: 0.05},
  ];
  for (const {count, isHalfDown, isViewStale, loss} of cases) {
    const fleet = new SpreadFleet({count, isViewStale, loss, seed: count});
    fleet.run(2_000);
    if (isHalfDown) {
      fleet.nodes
        .filter((_, position) => position % 2 === 1)
        .forEach((node) => {
          fleet.stop(node);
        });
    }
    fleet.publish(fleet.getNode(0), 1);
    const elapsed = fleet.run(TIMEOUT_MILLISECONDS, () =>
      fleet.isAppliedEverywhere(1),
    );
    const name = `${String(count)} daemons, half stopped ${String(isHalfDown)}, loss ${String(loss)}`;
    t.ok(fleet.isAppliedEverywhere(1), `${name}: ${String(elapsed)} ms`);
  }
});

t.test(
  'an isolated zone keeps its record and catches up after reconnecting',
  async (t) => {
    const fleet = new SpreadFleet({count: 40, loss: 0.05, seed: 4});
    fleet.run(2_000);
    fleet.publish(fleet.getNode(0), 1);
    fleet.run(TIMEOUT_MILLISECONDS, () => fleet.isAppliedEverywhere(1));
    const zone = fleet.nodes.slice(30);
    zone.forEach((node) => {
      node.partition = 1;
    });
    for (let version = 2; version <= 500; version += 1) {
      fleet.publish(fleet.getNode(0), version);
    }
    fleet.run(TIMEOUT_MILLISECONDS);
    const isKept = zone.every(
      ({spread}) => spread.getApplied('configuration')?.version === 1,
    );
    t.ok(isKept, 'record kept while isolated');
    zone.forEach((node) => {
      node.partition = 0;
    });
    fleet.run(TIMEOUT_MILLISECONDS, () => fleet.isAppliedEverywhere(500));
    t.ok(fleet.isAppliedEverywhere(500), 'the newest record after 499 changes');
    t.equal(findVersionViolation(fleet.observations), undefined);
  },
);

t.test('a restarted daemon waits for the newest record', async (t) => {
  const cases = [
    {
      copyVersion: 1,
      expected: 'confirmed 3',
      name: 'peers hold a newer record',
      peers: 5,
    },
    {
      copyVersion: 1,
      expected: 'unconfirmed 1',
      name: 'no reachable peer',
      peers: 0,
    },
    {
      copyVersion: 1,
      expected: 'confirmed 3',
      name: 'one reachable peer',
      peers: 1,
    },
  ];
  for (const {copyVersion, expected, name, peers} of cases) {
    const fleet = new SpreadFleet({count: 6, loss: 0, seed: 9});
    fleet.run(2_000);
    fleet.publish(fleet.getNode(0), copyVersion);
    fleet.run(1_000);
    const node = fleet.getNode(5);
    fleet.stop(node);
    fleet.publish(fleet.getNode(0), 3);
    fleet.run(1_000);
    fleet.nodes.slice(peers, 5).forEach((other) => {
      fleet.stop(other);
    });
    fleet.start(node);
    fleet.run(4_000, () => node.spread.getConfirmation() !== 'starting');
    const version = String(node.spread.getApplied('configuration')?.version);
    t.equal(`${node.spread.getConfirmation()} ${version}`, expected, name);
  }
});

function runRestarts(seed: number, acceptsOlderVersions: boolean): SpreadFleet {
  const randomNumber = createSeededRandom(seed);
  const fleet = new SpreadFleet({
    acceptsOlderVersions,
    count: 12,
    loss: 0.2,
    seed,
  });
  for (let version = 1; version <= 30; version += 1) {
    const node = pickRandom(fleet.nodes.slice(1), randomNumber);
    if (node !== undefined) {
      fleet.stop(node);
    }
    fleet.publish(fleet.getNode(0), version);
    fleet.run(randomNumber() * 600);
    if (node !== undefined) {
      fleet.start(node);
    }
  }
  fleet.run(TIMEOUT_MILLISECONDS, () => fleet.isAppliedEverywhere(30));
  return fleet;
}

t.test('versions only increase under loss and restarts', async (t) => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const fleet = runRestarts(seed, false);
    if (findVersionViolation(fleet.observations) !== undefined) {
      t.fail(`seed ${String(seed)}: a version decreased`);
    }
    if (!fleet.isAppliedEverywhere(30)) {
      t.fail(`seed ${String(seed)}: not applied everywhere`);
    }
  }
  t.pass(`${String(RUNS)} runs`);
  const broken = runRestarts(1, true);
  t.ok(
    findVersionViolation(broken.observations),
    'the check detects a decreasing version',
  );
});
