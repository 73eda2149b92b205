import type {Fault} from '../fixtures/FaultBench.js';
import type {DroppedTraffic} from '../fixtures/LinkForwarder.js';
import type {TestFleet} from '../fixtures/TestFleet.js';

import t from 'tap';

import {checkFault} from '../fixtures/FaultBench.js';

/** Partitions or reconnects daemon 2, a voter and a member of the ledger. */
function setControlPartition(fleet: TestFleet, dropped: DroppedTraffic): void {
  fleet.setDroppedTraffic(0, 2, dropped);
  fleet.setDroppedTraffic(1, 2, dropped);
}

const FAULTS: readonly Fault[] = [
  {
    completedSteps: ['answered', 'answering', 'running'],
    heal: (fleet) => {
      setControlPartition(fleet, 'none');
    },
    inject: async (fleet) => {
      setControlPartition(fleet, 'both');
    },
    name: 'a control VM is isolated at every step',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
