import type {Fault} from '../fixtures/FaultBench.js';

import t from 'tap';

import {checkFault, startSpareBackendServer} from '../fixtures/FaultBench.js';

const FAULTS: readonly Fault[] = [
  {
    completedSteps: ['answered'],
    inject: async (fleet, held) => {
      await startSpareBackendServer(fleet, held);
      fleet.silenceOpenConnections(0, 1, 'both');
      const stopped = fleet.daemons[1]?.stop();
      return {stopped};
    },
    name: 'open connections go silent as the serving daemon stops',
  },
  {
    completedSteps: ['answered'],
    heal: (fleet) => {
      fleet.setDroppedTraffic(0, 1, 'none');
      fleet.setDroppedTraffic(2, 1, 'none');
    },
    inject: async (fleet, held) => {
      await startSpareBackendServer(fleet, held);
      fleet.setDroppedTraffic(0, 1, 'both');
      fleet.setDroppedTraffic(2, 1, 'both');
      fleet.backends[0]?.stop();
    },
    name: 'a zone is cut off as its backend server crashes',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
