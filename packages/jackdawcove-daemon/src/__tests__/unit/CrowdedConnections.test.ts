/** Guards against connections of callers that take the memory and descriptors of others. */

import type {DaemonHost} from '../../DaemonHost.js';
import type {ClientConnection} from '../../relay/ClientConnection.js';
import type {
  ConnectionState,
  ConnectionTimeout,
} from '../../relay/findTimeout.js';

import t from 'tap';

import {DaemonGuard} from '../../dataPlane/DaemonGuard.js';
import {MemoryMonitor} from '../../host/MemoryMonitor.js';
import {readResidentBytes} from '../../host/readResidentBytes.js';
import {CallerConnections} from '../../relay/CallerConnections.js';
import {findTimeout} from '../../relay/findTimeout.js';

const LIMIT = 100_000;

/** A connection as the limits see it. */
type Fake = {
  readonly bytes: number;
  readonly isIdle?: boolean;
  /** Whether it receives a request once all others but the last are open. */
  readonly isUsed?: boolean;
  readonly name: string;
  readonly stalled: number;
};

/** Adds the connections in order and returns the names of those that were closed. */
function play(fakes: readonly Fake[], maximumCount: number): string[] {
  const closed: string[] = [];
  const usedAgain: ClientConnection[] = [];
  const nothing = (): void => undefined;
  const guard = new DaemonGuard({
    bufferedBytes: LIMIT,
    eventLoopDelayMilliseconds: 1e6,
    openCalls: 1e6,
  });
  const connections = new CallerConnections({
    guard,
    host: {
      clock: () => 0,
      log: {info: nothing},
      metrics: {increment: nothing},
    } as unknown as DaemonHost,
    maximumCount,
  });
  for (const {bytes, isIdle = false, isUsed = false, name, stalled} of fakes) {
    const close = (): void => {
      closed.push(name);
      connections.delete(connection);
      guard.addBufferedBytes(-bytes);
    };
    const connection = {
      destroy: close,
      getHeldBytes: () => ({
        getReleasableBytes: () => bytes,
        getStalledMilliseconds: () => stalled,
      }),
      isIdle: () => isIdle,
      release: close,
    } as unknown as ClientConnection;
    if (fakes.at(-1)?.name === name) {
      for (const used of usedAgain) {
        connections.recordActivity(used);
      }
    }
    connections.add(connection);
    connections.recordHeldBytes(bytes);
    if (isUsed) {
      usedAgain.push(connection);
    }
  }
  return closed;
}

const CROWDS: readonly {
  readonly closed: readonly string[];
  readonly connections: readonly Fake[];
  readonly maximumCount?: number;
  readonly name: string;
}[] = [
  {
    closed: [],
    connections: [{bytes: LIMIT, name: 'a', stalled: 60_000}],
    name: 'within the limit a stalled connection stays',
  },
  {
    closed: ['b'],
    connections: [
      {bytes: 40_000, name: 'a', stalled: 2_000},
      {bytes: 40_000, name: 'b', stalled: 9_000},
      {bytes: 60_000, name: 'c', stalled: 0},
    ],
    name: 'the one that has stalled for longest is closed first',
  },
  {
    closed: ['c'],
    connections: [
      {bytes: 30_000, name: 'a', stalled: 10},
      {bytes: 20_000, name: 'b', stalled: 900},
      {bytes: 90_000, name: 'c', stalled: 0},
    ],
    name: 'without a stalled one the largest is closed',
  },
  {
    closed: ['b'],
    connections: [
      {bytes: 1_000, name: 'a', stalled: 60_000},
      {bytes: 80_000, name: 'b', stalled: 0},
      {bytes: 20_000, name: 'c', stalled: 0},
    ],
    name: 'one that holds next to nothing stays',
  },
  {
    closed: [],
    connections: [
      {bytes: 1_000, name: 'a', stalled: 0},
      {bytes: 2 * LIMIT, name: 'b', stalled: 100},
    ],
    name: 'a single large request that makes progress is served',
  },
  {
    closed: ['b'],
    connections: [
      {bytes: 1_000, name: 'a', stalled: 0},
      {bytes: 2 * LIMIT, name: 'b', stalled: 1_500},
    ],
    name: 'a single large request that has stalled is refused',
  },
  {
    closed: ['b'],
    connections: [
      {bytes: 0, isIdle: true, isUsed: true, name: 'a', stalled: 0},
      {bytes: 0, isIdle: true, name: 'b', stalled: 0},
      {bytes: 0, name: 'c', stalled: 0},
      {bytes: 0, isIdle: true, name: 'd', stalled: 0},
    ],
    maximumCount: 3,
    name: 'at the limit the one that has been idle for longest is closed',
  },
  {
    closed: ['b'],
    connections: [
      {bytes: 0, name: 'a', stalled: 100},
      {bytes: 0, isIdle: true, name: 'b', stalled: 0},
    ],
    maximumCount: 1,
    name: 'a new connection is closed when all others are in use',
  },
];

for (const {closed, connections, maximumCount = 100, name} of CROWDS) {
  t.test(name, (t) => {
    t.same(play(connections, maximumCount), closed);
    t.end();
  });
}

const STATE: ConnectionState = {
  hasOpenRequests: false,
  hasUnreadAnswers: false,
  inactiveMilliseconds: 0,
  isEnding: false,
  position: 'start',
  stalledMilliseconds: 0,
};
const TIMEOUTS = {
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};
const STATES: readonly {
  readonly name: string;
  readonly state: Partial<ConnectionState>;
  readonly timeout: ConnectionTimeout | undefined;
}[] = [
  {
    name: 'idle for a while',
    state: {inactiveMilliseconds: 14_000},
    timeout: undefined,
  },
  {
    name: 'idle for too long',
    state: {inactiveMilliseconds: 16_000},
    timeout: 'idle',
  },
  {
    name: 'half a head',
    state: {inactiveMilliseconds: 4_000, position: 'head'},
    timeout: 'request',
  },
  {
    name: 'a body that pauses',
    state: {inactiveMilliseconds: 14_000, position: 'body'},
    timeout: undefined,
  },
  {
    name: 'a body that has stalled',
    state: {inactiveMilliseconds: 16_000, position: 'body'},
    timeout: 'request',
  },
  {
    name: 'a body behind an open request',
    state: {
      hasOpenRequests: true,
      inactiveMilliseconds: 16_000,
      position: 'body',
    },
    timeout: undefined,
  },
  {
    name: 'an answer that is read slowly',
    state: {hasUnreadAnswers: true, stalledMilliseconds: 14_000},
    timeout: undefined,
  },
  {
    name: 'an answer that is not read',
    state: {
      hasUnreadAnswers: true,
      inactiveMilliseconds: 16_000,
      stalledMilliseconds: 16_000,
    },
    timeout: 'unread',
  },
  {
    name: 'a last answer that is read slowly',
    state: {
      hasUnreadAnswers: true,
      isEnding: true,
      stalledMilliseconds: 14_000,
    },
    timeout: undefined,
  },
  {
    name: 'a caller that does not close after its last answer',
    state: {
      inactiveMilliseconds: 4_000,
      isEnding: true,
      stalledMilliseconds: 4_000,
    },
    timeout: 'unread',
  },
  {
    name: 'an idle connection that was closed a moment ago',
    state: {
      inactiveMilliseconds: 1_000,
      isEnding: true,
      stalledMilliseconds: 16_000,
    },
    timeout: undefined,
  },
];

for (const {name, state, timeout} of STATES) {
  t.test(`timeouts: ${name}`, (t) => {
    t.equal(findTimeout({...STATE, ...state}, TIMEOUTS), timeout);
    t.end();
  });
}

t.test('the memory is known without a descriptor left', (t) => {
  const read = (): number => {
    throw new Error('EMFILE: too many open files, uv_resident_set_memory');
  };
  t.ok(readResidentBytes(read) > 0);
  t.equal(
    readResidentBytes(() => 7),
    7,
  );
  t.end();
});

t.test('garbage is collected only when much of the memory is new', (t) => {
  let collections = 0;
  let used = 0;
  const monitor = new MemoryMonitor({
    bufferedBytes: LIMIT,
    collectGarbage: () => {
      collections += 1;
      used -= LIMIT;
    },
    readUsedBytes: () => used,
  });
  const steps = [
    {collected: 0, used: LIMIT},
    {collected: 1, used: 2 * LIMIT},
    {collected: 1, used: 1.4 * LIMIT},
    {collected: 2, used: 3 * LIMIT},
    {collected: 2, used: 2.2 * LIMIT},
  ];
  for (const step of steps) {
    ({used} = step);
    monitor.recordReceivedBytes(LIMIT);
    t.equal(collections, step.collected);
  }
  t.end();
});
