import {createSeededRandom, pickRandom} from 'jackdawcove-shared';
import t from 'tap';

import {FakeFleet} from '../FakeFleet.js';

const RUNS = Number(process.env.JACKDAWCOVE_RUNS ?? 150);
const FIRST_SEED = Number(process.env.JACKDAWCOVE_SEED ?? 1);
const FAULT_COUNT = 12;
const FAULT_INTERVAL_MS = 2_000;
const SETTLING_MS = 90_000;
const FAULTS = [
  'crash',
  'isolate',
  'drain',
  'reconnect',
  'pause',
  'restart',
  'restartUnderEarlierClock',
  'restartUnderSameIncarnation',
  'resume',
] as const;

const INCARNATION_DECREASES = {
  restart: 0,
  restartUnderEarlierClock: 2,
  restartUnderSameIncarnation: 1,
};

type Restart = keyof typeof INCARNATION_DECREASES;

function isRestart(fault: (typeof FAULTS)[number]): fault is Restart {
  return fault in INCARNATION_DECREASES;
}

function injectFault(fleet: FakeFleet, random: () => number): void {
  const node = pickRandom(fleet.nodes, random);
  const fault = pickRandom(FAULTS, random);
  if (node === undefined) {
    return;
  }
  if (fault === 'crash') {
    node.isRunning = false;
  } else if (fault === 'isolate') {
    fleet.isolateZone(node.zone);
  } else if (fault === 'reconnect') {
    fleet.reconnectZone(node.zone);
  } else if (fault === 'drain' && node.isRunning && !node.isPaused) {
    fleet.command(node, (membership) => membership.drain(fleet.now));
  } else if (fault === 'pause') {
    node.isPaused = true;
  } else if (fault === 'resume') {
    node.isPaused = false;
  } else if (fault !== undefined && isRestart(fault)) {
    node.isPaused = false;
    // A clock that was set back gives the new process a lower incarnation.
    node.incarnation -= INCARNATION_DECREASES[fault];
    fleet.restart(node);
  }
}

function endFaults(fleet: FakeFleet): void {
  for (const node of fleet.nodes) {
    fleet.reconnectZone(node.zone);
    node.isPaused = false;
    if (!node.isRunning) {
      fleet.restart(node);
    }
  }
}

/** Checks whether all daemons are alive and have the same records. */
function areViewsEqual(fleet: FakeFleet): boolean {
  const describeView = (node: (typeof fleet.nodes)[number]): string =>
    node.membership
      .getView()
      .getDaemons()
      .map(({incarnation, isDraining, name, state, version}) =>
        [name, incarnation, version, state, isDraining].join(),
      )
      .sort()
      .join(' ');
  const [first] = fleet.nodes;
  const expected = first === undefined ? '' : describeView(first);
  return (
    fleet.nodes.every((node) => describeView(node) === expected) &&
    fleet.nodes.every(
      ({name}) =>
        first?.membership.getView().getDaemon(name)?.state === 'alive',
    )
  );
}

t.test(`${String(RUNS)} seeded fleets converge after faults`, async (t) => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const random = createSeededRandom(seed);
    const fleet = new FakeFleet({
      daemonCount: 3 + Math.floor(random() * 9),
      faults: {duplication: 0.1, loss: random() * 0.2, maximumDelayMs: 60},
      seed,
      zoneCount: 1 + Math.floor(random() * 3),
    });
    fleet.startAll();
    for (let i = 0; i < FAULT_COUNT; i += 1) {
      fleet.run(random() * FAULT_INTERVAL_MS);
      injectFault(fleet, random);
    }
    endFaults(fleet);
    fleet.run(SETTLING_MS, () => areViewsEqual(fleet));
    t.ok(areViewsEqual(fleet), `seed ${String(seed)}`);
  }
});
