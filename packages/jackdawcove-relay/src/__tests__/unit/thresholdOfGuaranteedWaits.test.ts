import t from 'tap';

import {
  MINIMUM_THRESHOLD,
  PRESSURE_WINDOW_MILLISECONDS,
  RANK_COUNT,
} from '../../RelayConstants.js';
import {PressureThreshold} from '../../server/PressureThreshold.js';

const WINDOWS = 20;
const LONG_WAIT_MILLISECONDS = 500;

const CASES = [
  {isLowered: false, shedRank: 0},
  {isLowered: false, shedRank: MINIMUM_THRESHOLD - 1},
  {isLowered: true, shedRank: MINIMUM_THRESHOLD},
  {isLowered: true, shedRank: RANK_COUNT - 1},
];

for (const {isLowered, shedRank} of CASES) {
  t.test(
    `long waits of rank ${String(shedRank)} ${isLowered ? 'lower' : 'keep'} the threshold`,
    async (t) => {
      const pressure = new PressureThreshold(0);
      let lowest = RANK_COUNT;
      for (let window = 1; window <= WINDOWS; window += 1) {
        pressure.recordWait(shedRank, LONG_WAIT_MILLISECONDS);
        pressure.tick(window * PRESSURE_WINDOW_MILLISECONDS);
        lowest = Math.min(lowest, pressure.getThreshold());
      }
      t.equal(lowest < RANK_COUNT, isLowered);
    },
  );
}
