import type {Fault} from '../fixtures/FaultBench.js';

import t from 'tap';

import {checkFault, startSpareBackendServer} from '../fixtures/FaultBench.js';

const FAULTS: readonly Fault[] = [
  {
    completedSteps: ['answered'],
    inject: async (fleet, held) => {
      await startSpareBackendServer(fleet, held);
      fleet.backends[0]?.stop();
    },
    name: 'the backend server crashes at every step',
  },
  {
    completedSteps: ['answered', 'answering', 'running'],
    inject: async (fleet, held) => {
      await startSpareBackendServer(fleet, held);
      const stopped = fleet.daemons[1]?.stop();
      return {stopped};
    },
    name: 'the serving daemon stops as planned at every step',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
