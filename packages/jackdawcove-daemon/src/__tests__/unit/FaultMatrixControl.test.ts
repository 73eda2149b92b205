import type {Fault} from '../fixtures/FaultBench.js';
import type {Cut} from '../fixtures/LinkForwarder.js';
import type {TestFleet} from '../fixtures/TestFleet.js';

import t from 'tap';

import {checkFault} from '../fixtures/FaultBench.js';

/** Cuts or heals daemon 2, a voter and a member of the ledger. */
function setControlCut(fleet: TestFleet, cut: Cut): void {
  fleet.setCut(0, 2, cut);
  fleet.setCut(1, 2, cut);
}

const FAULTS: readonly Fault[] = [
  {
    complete: ['answered', 'answering', 'running'],
    heal: (fleet) => {
      setControlCut(fleet, 'none');
    },
    inject: async (fleet) => {
      setControlCut(fleet, 'both');
    },
    name: 'a control VM is isolated at every step',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
