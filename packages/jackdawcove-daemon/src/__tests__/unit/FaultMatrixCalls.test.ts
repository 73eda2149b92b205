import type {Fault} from '../fixtures/FaultBench.js';

import t from 'tap';

import {checkFault} from '../fixtures/FaultBench.js';

const FAULTS: readonly Fault[] = [
  {
    complete: ['answered'],
    inject: async (fleet) => {
      fleet.silenceOpen(0, 1, 'both');
    },
    name: 'open connections go silent at every step',
  },
  {
    complete: ['answered'],
    heal: (fleet) => {
      fleet.setCut(0, 1, 'none');
      fleet.setCut(2, 1, 'none');
    },
    inject: async (fleet) => {
      fleet.setCut(0, 1, 'both');
      fleet.setCut(2, 1, 'both');
    },
    name: 'an availability zone is cut off at every step',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
