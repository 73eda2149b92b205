import type {Fault} from '../fixtures/FaultBench.js';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {checkFault} from '../fixtures/FaultBench.js';

/** Longer than the time after which a silent session is closed and replaced. */
const NEW_SESSION_MILLISECONDS = 3_000;

const FAULTS: readonly Fault[] = [
  {
    completedSteps: ['answered'],
    inject: async (fleet) => {
      fleet.silenceOpenConnections(0, 1, 'both');
      await delay(NEW_SESSION_MILLISECONDS);
      fleet.silenceOpenConnections(0, 1, 'both');
    },
    name: 'open connections go silent twice',
  },
  {
    completedSteps: ['answered'],
    inject: async (fleet) => {
      fleet.silenceOpenConnections(0, 1, 'both');
      await delay(NEW_SESSION_MILLISECONDS);
      fleet.backends[0]?.stop();
      await fleet.backends[0]?.start();
    },
    name: 'open connections go silent before the backend server crashes',
  },
];

for (const fault of FAULTS) {
  t.test(fault.name, async (t) => checkFault(t, fault));
}
