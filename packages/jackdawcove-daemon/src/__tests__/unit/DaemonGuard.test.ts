import t from 'tap';

import {DaemonGuard} from '../../dataPlane/DaemonGuard.js';

const LIMITS = {
  bufferedBytes: 1_000,
  eventLoopDelayMilliseconds: 50,
  openCalls: 2,
};

const CASES: readonly {
  readonly change: (guard: DaemonGuard) => void;
  readonly isFromLoopback?: boolean;
  readonly name: string;
  readonly refusal: string | undefined;
}[] = [
  {
    change: () => undefined,
    name: 'nothing is at a limit',
    refusal: undefined,
  },
  {
    change: (guard) => {
      guard.openCall();
      guard.openCall();
    },
    name: 'calls at the limit',
    refusal: 'tooManyOpenCalls',
  },
  {
    change: (guard) => {
      guard.openCall();
      guard.openCall();
      guard.closeCall();
    },
    name: 'a call was closed',
    refusal: undefined,
  },
  {
    change: (guard) => {
      guard.addBufferedBytes(1_000);
    },
    name: 'bytes at the limit',
    refusal: 'tooManyBufferedBytes',
  },
  {
    change: (guard) => {
      guard.addBufferedBytes(1_000);
      guard.addBufferedBytes(-1);
    },
    name: 'a byte was released',
    refusal: undefined,
  },
  {
    change: (guard) => {
      guard.setEventLoopDelay(51);
    },
    name: 'a delayed event loop',
    refusal: 'daemonOverloaded',
  },
  {
    change: (guard) => {
      guard.markDraining();
    },
    name: 'draining',
    refusal: 'daemonDraining',
  },
  {
    change: (guard) => {
      guard.markDraining();
    },
    isFromLoopback: true,
    name: 'draining, call of a running request',
    refusal: undefined,
  },
];

t.test('a daemon that is not ready refuses', async (t) => {
  t.equal(new DaemonGuard(LIMITS).findRefusal(false), 'daemonStarting');
});

for (const {change, isFromLoopback = false, name, refusal} of CASES) {
  t.test(name, async (t) => {
    const guard = new DaemonGuard(LIMITS);
    guard.markReady();
    change(guard);
    t.equal(guard.findRefusal(isFromLoopback), refusal);
  });
}
