/** Tests the utilization of instances by the limit that their daemon reports. */

import t from 'tap';

import {createInstanceStats} from '../../caller/InstanceStats.js';
import {getUtilization} from '../../caller/loadCosts.js';

const SLOTS = 40;

t.test(
  'a limit that says nothing about the instance is not used',
  async (t) => {
    const rows = [
      {expected: 0.25, limit: 0},
      {expected: 0.5, limit: 20},
      {expected: 10 / 65_535, limit: 65_535},
      {expected: 0.25, limit: 65_536},
      {expected: 0.25, limit: Number.MAX_SAFE_INTEGER},
      {expected: 0.25, limit: Number.POSITIVE_INFINITY},
      {expected: 0.25, limit: Number.NaN},
    ];
    for (const {expected, limit} of rows) {
      const stats = createInstanceStats(0);
      stats.outstanding = 9;
      stats.load = {
        condition: undefined,
        limit,
        queued: 0,
        running: 9,
        threshold: 0,
      };
      const utilization = getUtilization({now: 0, slots: SLOTS, stats});
      t.equal(utilization, expected, `limit ${String(limit)}`);
    }
  },
);
