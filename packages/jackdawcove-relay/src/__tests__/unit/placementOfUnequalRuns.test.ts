import type {PlacementLoad} from '../PlacementPlay.js';

import t from 'tap';

import {playPlacement} from '../PlacementPlay.js';

/** Run times of 50 ms in the mean; three in a hundred take seven times as long. */
function drawUnequalRunTime(random: () => number): number {
  const runTime = 25 + 34 * random();
  return random() < 0.03 ? runTime * 7 : runTime;
}

const UNEVEN: PlacementLoad = {
  callers: 40,
  drawRunTime: drawUnequalRunTime,
  getSpeed: (instance) => [0.6, 1, 1.4][instance % 3] ?? 1,
  instances: 12,
  objective: 300,
  requestsPerSecond: 1_700,
  seconds: 12,
  seed: 5,
  slots: 10,
};

/** The bounds leave a hundredth, and a twentieth of p99, to chance. */
const CASES = [
  {
    load: UNEVEN,
    maximumP99: 362,
    minimumInTime: 0.977,
    name: 'instances of different speed',
  },
  {
    load: {
      ...UNEVEN,
      getSpeed: (instance: number, now: number) =>
        (Math.floor(now / 600) + instance) % 7 === 0 ? 0.4 : 1,
      seed: 6,
    },
    maximumP99: 423,
    minimumInTime: 0.905,
    name: 'instances that turn slow for 600 ms',
  },
  {
    load: {...UNEVEN, requestsPerSecond: 1_200, seed: 7},
    maximumP99: 305,
    minimumInTime: 0.981,
    name: 'instances of different speed, half used',
  },
];

for (const {load, maximumP99, minimumInTime, name} of CASES) {
  t.test(name, async (t) => {
    const outcome = playPlacement(load);
    t.comment(JSON.stringify(outcome));
    t.ok(outcome.inTimeShare >= minimumInTime, 'in time');
    t.ok(outcome.p99 <= maximumP99, 'p99');
    t.ok(Math.min(...outcome.runs) > 0, 'no instance is left out');
  });
}
