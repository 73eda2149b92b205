import type {KeepaliveAction} from '../../Keepalive.js';

import t from 'tap';

import {Keepalive} from '../../Keepalive.js';
import {DEFAULT_LIMITS} from '../../SessionConstants.js';

type Step = {
  readonly expected: KeepaliveAction;
  readonly run?: (keepalive: Keepalive) => void;
};

const TICK_MILLISECONDS = 100;

const send = (keepalive: Keepalive): void => {
  keepalive.recordSent();
};
const receive = (keepalive: Keepalive): void => {
  keepalive.recordReceived();
};
const quiet = (count: number): Step[] =>
  Array.from({length: count}, () => ({expected: 'none'}));

/** Steps of 100 ms; the limits are an interval of 400 ms and a timeout of 1,200 ms. */
const CASES: readonly (readonly [string, readonly Step[]])[] = [
  ['a session without frames is silent', quiet(30)],
  [
    'a received frame is acknowledged before the peer asks',
    [{expected: 'none', run: receive}, ...quiet(1), {expected: 'acknowledge'}],
  ],
  [
    'a frame that is not acknowledged is asked for, then the session times out',
    [
      ...quiet(20),
      {expected: 'none', run: send},
      ...quiet(2),
      {expected: 'ping'},
      ...quiet(3),
      {expected: 'ping'},
      ...quiet(3),
      {expected: 'timeout'},
    ],
  ],
  [
    'frames that are acknowledged in time need no ping',
    Array.from({length: 20}, (_, index) =>
      index % 3 === 0
        ? {expected: 'none', run: send}
        : {
            expected: 'none',
            run: (keepalive) => {
              keepalive.acknowledge(keepalive.getSentFrames());
            },
          },
    ),
  ],
];

for (const [name, steps] of CASES) {
  t.test(name, async (t) => {
    const keepalive = new Keepalive(DEFAULT_LIMITS, 0);
    for (const [index, {expected, run}] of steps.entries()) {
      run?.(keepalive);
      const now = (index + 1) * TICK_MILLISECONDS;
      const action = keepalive.tick(now, false);
      t.equal(action, expected, `after ${String(now)} ms`);
      if (action === 'acknowledge') {
        keepalive.recordReport();
      }
    }
  });
}

t.test(
  'acknowledgements travel with frames a few times a second',
  async (t) => {
    const keepalive = new Keepalive(DEFAULT_LIMITS, 0);
    t.notOk(keepalive.isReportDue(), 'nothing was received');
    keepalive.tick(200, false);
    keepalive.recordReceived();
    t.ok(keepalive.isReportDue());
    keepalive.recordReport();
    keepalive.recordReceived();
    keepalive.tick(300, false);
    t.notOk(keepalive.isReportDue(), 'the last one was 100 ms ago');
    keepalive.tick(400, false);
    t.ok(keepalive.isReportDue());
  },
);
