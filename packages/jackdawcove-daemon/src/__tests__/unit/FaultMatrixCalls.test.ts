import type {Fault} from '../fixtures/FaultBench.js';

import t from 'tap';

import {checkFault} from '../fixtures/FaultBench.js';

const FAULTS: readonly Fault[] = [
  {
    completedSteps: ['answered'],
    inject: async (fleet) => {
      fleet.silenceOpenConnections(0, 1, 'both');
    },
    name: 'open connections go silent at every step',
  },
  {
    completedSteps: ['answered'],
    heal: (fleet) => {
      fleet.setDroppedTraffic(0, 1, 'none');
      fleet.setDroppedTraffic(2, 1, 'none');
    },
    inject: async (fleet) => {
      fleet.setDroppedTraffic(0, 1, 'both');
      fleet.setDroppedTraffic(2, 1, 'both');
    },
    name: 'an availability zone is cut off at every step',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
