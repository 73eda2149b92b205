import t from 'tap';

import {
  DaemonGuard,
  registerEventLoopMonitor,
} from '../../dataPlane/DaemonGuard.js';
import {GUARD_INTERVAL_MILLISECONDS} from '../../dataPlane/DataPlaneConstants.js';

const LIMITS = {
  bufferedBytes: 1_000,
  eventLoopDelayMilliseconds: 50,
  openCalls: 2,
};

const CASES: readonly {
  readonly change: (guard: DaemonGuard) => void;
  readonly isFromLoopback?: boolean;
  readonly name: string;
  readonly ownBytes?: number;
  readonly refusal: string | undefined;
}[] = [
  {
    change: () => undefined,
    name: 'no limit is reached',
    refusal: undefined,
  },
  {
    change: (guard) => {
      guard.openCall();
      guard.openCall();
    },
    name: 'open calls at the limit',
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
    name: 'buffered bytes at the limit',
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
      guard.addBufferedBytes(2_000);
    },
    name: 'buffered bytes of the call itself',
    ownBytes: 1_500,
    refusal: undefined,
  },
  {
    change: (guard) => {
      guard.addBufferedBytes(2_500);
    },
    name: 'buffered bytes of the call itself and of others at the limit',
    ownBytes: 1_500,
    refusal: 'tooManyBufferedBytes',
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
    name: 'draining, but the call comes from a running request',
    refusal: undefined,
  },
];

t.test('a daemon that is not ready refuses calls', async (t) => {
  t.equal(new DaemonGuard(LIMITS).findRefusal(false), 'daemonStarting');
});

for (const {change, isFromLoopback = false, name, ownBytes, refusal} of CASES) {
  t.test(name, async (t) => {
    const guard = new DaemonGuard(LIMITS);
    guard.markReady();
    change(guard);
    t.equal(guard.findRefusal(isFromLoopback, ownBytes), refusal);
  });
}

const DELAY_CASES = [
  {lateBy: [0, 0, 0], name: 'on time', refusal: undefined},
  {lateBy: [500, 0, 0], name: 'one long pause', refusal: undefined},
  {
    lateBy: [60, 500],
    name: 'too few delays over the limit',
    refusal: undefined,
  },
  {lateBy: [60, 500, 70], name: 'late again', refusal: 'daemonOverloaded'},
  {lateBy: [60, 60, 60, 0], name: 'on time again', refusal: undefined},
];

for (const {lateBy, name, refusal} of DELAY_CASES) {
  t.test(`event loop ${name}`, async (t) => {
    const guard = new DaemonGuard(LIMITS);
    guard.markReady();
    let now = 0;
    let onTick = (): void => undefined;
    registerEventLoopMonitor(guard, {
      clock: () => now,
      registerTicker: (_interval, tick) => {
        onTick = tick;
        return () => undefined;
      },
    });
    for (const late of lateBy) {
      now += GUARD_INTERVAL_MILLISECONDS + late;
      onTick();
    }
    t.equal(guard.findRefusal(false), refusal);
  });
}
