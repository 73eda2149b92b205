import type {PlacementLoad} from '../PlacementPlay.js';

import t from 'tap';

import {playPlacement} from '../PlacementPlay.js';

/** Runs of 55 ms in the mean; some instances are three times as fast as others. */
const LOAD: PlacementLoad = {
  callers: 40,
  callerZones: ['erie-dock', 'huron-yard', 'ontario-cellar', 'superior-shed'],
  drawRunTime: (random) => 30 + 50 * random(),
  // Each zone has instances of all speeds.
  getSpeed: (instance) => [0.6, 1, 1.4][Math.floor(instance / 6) % 3] ?? 1,
  instances: 24,
  instanceZones: ['erie-dock', 'huron-yard', 'ontario-cellar', 'superior-shed'],
  objective: 300,
  requestsPerSecond: 2_400,
  seconds: 12,
  seed: 11,
  slots: 10,
};

/**
 * `crossingShare` and `inTimeShare` (of the worst-served zone) are what the best of four
 * instances of any zone reaches, where other zones count as 2.2 or 1.15 times as slow.
 */
const CASES = [
  {
    base: {crossingShare: 0.44, inTimeShare: 1},
    load: LOAD,
    name: 'zones with six instances each',
  },
  {
    base: {crossingShare: 0.59, inTimeShare: 0.989},
    load: {
      ...LOAD,
      instanceZones: [
        'erie-dock',
        'erie-dock',
        'huron-yard',
        'huron-yard',
        'ontario-cellar',
        'superior-shed',
      ],
      requestsPerSecond: 3_000,
    },
    name: 'zones with four and eight instances',
  },
  {
    base: {crossingShare: 0.57, inTimeShare: 0.959},
    load: {
      ...LOAD,
      callerZones: [
        'erie-dock',
        'erie-dock',
        'huron-yard',
        'ontario-cellar',
        'superior-shed',
      ],
      requestsPerSecond: 3_000,
    },
    name: 'a zone with twice as many callers',
  },
  {
    base: {crossingShare: 0.51, inTimeShare: 1},
    load: {
      ...LOAD,
      instanceZones: ['erie-dock', 'huron-yard', 'ontario-cellar'],
    },
    name: 'a zone without instances',
  },
];

/** A third less has to cross, and no zone may be served worse but by chance. */
const CROSSING_FACTOR = 2 / 3;
const SERVICE_TOLERANCE = 0.01;

for (const {base, load, name} of CASES) {
  t.test(name, async (t) => {
    const outcome = playPlacement(load);
    t.comment(JSON.stringify(outcome));
    t.ok(
      outcome.crossingShare <= base.crossingShare * CROSSING_FACTOR,
      'cross',
    );
    t.ok(
      outcome.inTimeShareOfWorstZone >= base.inTimeShare - SERVICE_TOLERANCE,
      'in time in the worst zone',
    );
  });
}
