import type {Fault} from '../fixtures/FaultBench.js';

import t from 'tap';

import {checkFault, startSpare} from '../fixtures/FaultBench.js';

const FAULTS: readonly Fault[] = [
  {
    complete: ['answered'],
    inject: async (fleet, held) => {
      await startSpare(fleet, held);
      fleet.silenceOpen(0, 1, 'both');
      const stopped = fleet.daemons[1]?.stop();
      return {stopped};
    },
    name: 'open connections go silent as the serving daemon stops',
  },
  {
    complete: ['answered'],
    heal: (fleet) => {
      fleet.setCut(0, 1, 'none');
      fleet.setCut(2, 1, 'none');
    },
    inject: async (fleet, held) => {
      await startSpare(fleet, held);
      fleet.setCut(0, 1, 'both');
      fleet.setCut(2, 1, 'both');
      fleet.backends[0]?.stop();
    },
    name: 'a zone is cut off as its backend server crashes',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
