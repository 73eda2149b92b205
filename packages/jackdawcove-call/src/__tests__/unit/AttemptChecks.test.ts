import t from 'tap';

import {isLoadReport, loadReportSchema} from '../../index.js';

const LOAD = {
  downstreamThreshold: 0.5,
  inFlight: 3,
  limit: 4,
  queueingDelayMilliseconds: 1.5,
  threshold: 0,
};

const CASES: readonly unknown[] = [
  LOAD,
  {...LOAD, inFlight: 1.5},
  {...LOAD, limit: -1},
  {...LOAD, queueingDelayMilliseconds: Infinity},
  {...LOAD, threshold: '0'},
  {...LOAD, downstreamThreshold: undefined},
  {...LOAD, other: 1},
  null,
  undefined,
  'load',
];

for (const value of CASES) {
  t.test(
    `isLoadReport agrees with the schema: ${JSON.stringify(value)}`,
    async (t) => {
      t.equal(isLoadReport(value), loadReportSchema.safeParse(value).success);
    },
  );
}
