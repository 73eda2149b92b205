import type {PlacementLoad} from '../PlacementPlay.js';

import t from 'tap';

import {getCostByCount, getCostByWork} from '../../caller/loadCosts.js';
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

const CASES = [
  {load: UNEVEN, name: 'instances of different speed'},
  {
    load: {
      ...UNEVEN,
      getSpeed: (instance: number, now: number) =>
        (Math.floor(now / 600) + instance) % 7 === 0 ? 0.4 : 1,
      seed: 6,
    },
    name: 'instances that turn slow for 600 ms',
  },
  {
    load: {...UNEVEN, requestsPerSecond: 1_200, seed: 7},
    name: 'instances of different speed, half used',
  },
];

t.test('placement by the work left', async (t) => {
  for (const {load, name} of CASES) {
    t.test(name, async (t) => {
      const byCount = playPlacement(load, getCostByCount);
      const byWork = playPlacement(load, getCostByWork);
      t.comment('by count', JSON.stringify(byCount));
      t.comment('by work', JSON.stringify(byWork));
      t.ok(byWork.inTimeShare >= byCount.inTimeShare - 0.005, 'in time');
      t.ok(byWork.p99 <= byCount.p99 * 1.05, 'p99');
      t.ok(Math.min(...byWork.runs) > 0, 'no instance is left out');
    });
  }
});
